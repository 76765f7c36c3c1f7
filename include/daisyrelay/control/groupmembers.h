// The databases of a group that count for acknowledgments and for the survey before a promotion.
#pragma once

#include "daisyrelay/base.h"

#include <set>
#include <vector>

namespace daisyrelay {

/// Members change in two steps. Until the transition completes, a survey must satisfy both the previous and the current
/// members, so that it finds a write that was acknowledged under either set.
struct GroupMembers {
    std::uint64_t generation = 0;
    std::vector<BackendId> members;
    std::vector<BackendId> previous; ///< Empty once the transition has completed.

    bool operator==(const GroupMembers &) const = default;

    [[nodiscard]] bool contains(const BackendId &backend) const;

    /// Tells whether the databases that responded hold every acknowledged write. An acknowledged write is on two
    /// members, so at most one member may be missing; a group with one member needs that one.
    [[nodiscard]] bool canPromote(const std::set<BackendId> &responded) const;

    /// Returns the databases whose copies count for an acknowledgment. While the sole member of a group is joined by a
    /// second one, no copy of the latter counts: the survey still requires the former, so the write would not survive
    /// it.
    [[nodiscard]] const std::vector<BackendId> &acknowledgingMembers() const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(generation, members, previous);
    }
};

} // namespace daisyrelay
