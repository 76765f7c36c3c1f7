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
    bool confirmed = false; ///< Every entry applies the current members.
    Instant leadingSince {};
};

/// Proposes joins, removals and the end of a transition.
///
/// A transition ends once a member beside the primary has every write that was acknowledged under the previous
/// members: it has reached a position that the primary told after all entries applied the new members.
class MemberKeeper
{
public:
    explicit MemberKeeper(ControlTiming timing);

    /// Returns the first members of a group, once its databases had time to appear.
    std::optional<GroupMembersCommand> form(
        Instant now, const GroupKey &group, const KnownBackends &backends, Instant leadingSince);

    /// Returns the next change of the members, if one is due.
    std::optional<GroupMembersCommand> next(Instant now, const GroupView &view);

    /// Tells whether the primary is to be asked for its position now; the answer goes to primaryAt().
    bool takeQuestion(const GroupKey &group);

    void primaryAt(const GroupKey &group, std::optional<LogPoint> point);

    void reset();

private:
    struct Progress {
        Instant proposedAt {};
        std::uint64_t generation = 0; ///< The transition that the question belongs to.
        Term term = 0;
        bool wantsQuestion = false;
        bool asked = false;
        std::optional<LogPoint> mark; ///< Where the primary was after the new members were in force.
    };

    [[nodiscard]] bool settled(Progress &progress, const GroupView &view) const;
    [[nodiscard]] std::optional<std::vector<BackendId>> changed(Instant now, const GroupView &view) const;

    ControlTiming timing_;
    std::map<GroupKey, Progress> progress_;
};

} // namespace daisyrelay
