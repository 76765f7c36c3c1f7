// Keeps the members of each group in step with the databases that announce themselves, one change at a time.
#pragma once

#include "daisyrelay/control/controltiming.h"
#include "daisyrelay/control/groupmembers.h"
#include "daisyrelay/control/knownbackends.h"

#include <optional>

namespace daisyrelay {

/// What the keeper needs to know of one group.
struct GroupView {
    const GroupTerm &term; ///< With a primary.
    const GroupMembers &members;
    const KnownBackends &backends;
    bool isConfirmed = false; ///< Every entry applies the current members.
    Instant leaderSince {};
};

/// Proposes joins, removals and the end of a transition.
///
/// A transition ends once a member beside the primary has every write that was acknowledged under the previous
/// members: it has reached a position that the primary told after all entries applied the new members.
class GroupMemberManager
{
public:
    explicit GroupMemberManager(ControlTiming timing);

    /// Returns the first members of a group, once its databases had time to appear.
    std::optional<GroupMembersCommand> proposeInitialMembers(
        Instant now, const GroupKey &group, const KnownBackends &backends, Instant leaderSince);

    /// Returns the next change of the members, if one is due.
    std::optional<GroupMembersCommand> proposeNextChange(Instant now, const GroupView &view);

    /// Tells whether the primary is to be asked for its position now; the answer goes to onPrimaryPosition().
    bool takePositionQuery(const GroupKey &group);

    void onPrimaryPosition(const GroupKey &group, std::optional<LogPoint> point);

    void reset();

private:
    struct Progress {
        Instant proposedAt {};
        std::uint64_t generation = 0; ///< The transition that the question belongs to.
        Term term = 0;
        bool needsPosition = false;
        bool isPositionQueried = false;
        std::optional<LogPoint> catchUpPoint; ///< Where the primary was after the new members were in force.
    };

    [[nodiscard]] bool isTransitionComplete(Progress &progress, const GroupView &view) const;
    [[nodiscard]] std::optional<std::vector<BackendId>> nextMembers(Instant now, const GroupView &view) const;

    ControlTiming timing_;
    std::map<GroupKey, Progress> progress_;
};

} // namespace daisyrelay
