// The change of primary of one group, from taking the old term back to recording the new one.
#pragma once

#include "daisyrelay/control/controltiming.h"
#include "daisyrelay/control/groupmembers.h"
#include "daisyrelay/wire.h"

#include <map>
#include <optional>
#include <set>

namespace daisyrelay {

enum class FailoverStage : std::uint8_t {
    Revoking, ///< Until no entry can acknowledge writes of the old term.
    Surveying, ///< Asks the members for their positions.
    Promoting, ///< A database was told to be the primary.
    Recording, ///< The new term is on its way into the replicated log.
};

/// Collects positions and chooses the database to promote.
class GroupFailover
{
public:
    /// \p oldPrimary is empty if the group had none; \p planned if it is leaving and still works.
    GroupFailover(ControlTiming timing, Term term, BackendId oldPrimary, bool isPlanned);

    /// The old term is revoked everywhere.
    void startSurvey(Instant now);

    /// Returns the databases to ask now.
    std::vector<BackendId> nextQueries(Instant now, const GroupMembers &members);

    /// Takes in the answer of a database; empty if it gave none.
    void onPosition(Instant now, const BackendId &backend, std::optional<LogPoint> point);

    /// Chooses the database to promote, once the answers allow it. \p leaving databases are not chosen.
    std::optional<BackendId> chooseCandidate(
        Instant now, const GroupMembers &members, const std::set<BackendId> &leaving);

    /// The candidate is the primary from \p point on; the term is to be recorded.
    void onPromoted(const LogPoint &point);

    /// Returns the term to propose, at first and again while the log does not show it.
    std::optional<GroupTerm> takeTermProposal(Instant now, const GroupKey &group);

    [[nodiscard]] FailoverStage stage() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] const BackendId &oldPrimary() const;
    [[nodiscard]] const BackendId &candidate() const;

private:
    [[nodiscard]] bool haveAllResponded(const GroupMembers &members) const;
    [[nodiscard]] std::optional<BackendId> mostAdvanced(const std::set<BackendId> &excluded) const;

    ControlTiming timing_;
    Term term_ = 0;
    BackendId oldPrimary_;
    bool isPlanned_ = false;
    FailoverStage stage_ = FailoverStage::Revoking;
    Instant surveyStartedAt_ {};
    Instant roundStartedAt_ {};
    std::set<BackendId> queried_; ///< In this round.
    std::set<BackendId> pending_;
    std::map<BackendId, LogPoint> points_; ///< Of the databases that answered last time they were asked.
    BackendId candidate_;
    LogPoint startPoint_; ///< Where the candidate's term began.
    Instant proposedAt_ {};
};

/// Returns the name of \p stage for the status page.
std::string_view failoverStageName(FailoverStage stage);

} // namespace daisyrelay
