// The databases of a group that count for acknowledgments and for the survey before a promotion.
#pragma once

#include "daisyrelay/base.h"

#include <set>
#include <vector>

namespace daisyrelay {

/// A change of members runs in two steps. Until it settles, a survey must satisfy the previous members and the current
/// ones, so that a write acknowledged under either set is found.
struct GroupMembers {
    std::uint64_t generation = 0;
    std::vector<BackendId> members;
    std::vector<BackendId> previous; ///< Empty once the change has settled.

    bool operator==(const GroupMembers &) const = default;

    [[nodiscard]] bool contains(const BackendId &backend) const;

    /// Tells whether the databases that answered hold every write that was acknowledged. An acknowledged write is on
    /// two members, so at most one member may be missing; a group of one member needs that one.
    [[nodiscard]] bool canPromote(const std::set<BackendId> &responded) const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(generation, members, previous);
    }
};

} // namespace daisyrelay
