// The change of the primary of one group, from revoking the old term to recording the new one.
#pragma once

#include "daisyrelay/control/controltiming.h"
#include "daisyrelay/control/groupmembers.h"
#include "daisyrelay/wire.h"

#include <map>
#include <optional>
#include <set>

namespace daisyrelay {

enum class FailoverStage : std::uint8_t {
    Revoking, ///< Waits until no entry can acknowledge writes of the old term.
    Surveying, ///< Queries the positions of the members.
    Promoting, ///< The promotion of a database is in flight.
    Recording, ///< The new term is proposed to the replicated log.
};

/// Collects positions and chooses the database to promote.
class GroupFailover
{
public:
    /// \p oldPrimary is empty if the group had none. \p isPlanned tells that it is leaving and still works.
    GroupFailover(ControlTiming timing, Term term, BackendId oldPrimary, bool isPlanned);

    /// Starts the survey after the old term was revoked on all entries.
    void startSurvey(Instant now);

    /// Returns the databases to query now.
    std::vector<BackendId> nextQueries(Instant now, const GroupMembers &members);

    /// Records the position of a database; \p point is empty if the database did not respond.
    void onPosition(Instant now, const BackendId &backend, std::optional<LogPoint> point);

    /// Chooses the database to promote if the responses allow it. Databases in \p leaving are chosen only as a last
    /// resort.
    std::optional<BackendId> chooseCandidate(
        Instant now, const GroupMembers &members, const std::set<BackendId> &leaving);

    /// Records that the candidate is the primary from \p point on; the term has to be recorded next.
    void onPromoted(const LogPoint &point);

    /// Returns the term to propose, repeatedly until the log shows it.
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
    std::set<BackendId> queried_; ///< Databases queried in this round.
    std::set<BackendId> pending_; ///< Databases with a query in flight.
    std::map<BackendId, LogPoint> points_; ///< Positions of the databases that responded to their last query.
    BackendId candidate_;
    LogPoint startPoint_; ///< Position at which the candidate's term began.
    Instant proposedAt_ {};
};

/// Returns the name of \p stage on the status page.
std::string_view failoverStageName(FailoverStage stage);

} // namespace daisyrelay
