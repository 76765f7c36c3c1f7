// Monitors the primary of one service and replaces it: evidence, survey, promotion with a fencing token, confirmation.
#pragma once

#include "daisyrelay/supervision/entryregistry.h"
#include "daisyrelay/supervision/failoverforecast.h"
#include "daisyrelay/supervision/leaseledger.h"
#include "daisyrelay/supervision/supervisionactions.h"
#include "daisyrelay/telemetry.h"

#include <optional>
#include <set>

namespace daisyrelay {

/// Inputs and outputs of a PrimaryMonitor.
struct MonitorContext {
    const SupervisionState &state;
    const EntryRegistry &entries;
    LeaseLedger &leases;
    const std::map<BackendId, Instant> &lastHeartbeatAt; ///< Time of the last heartbeat of each backend server.
    EventLog &log;
    Metrics &metrics;
    Term leaderTerm = 0;
    std::function<std::uint64_t()> nextId;
    std::function<void(SupervisionAction)> emit;
    FailoverForecast &forecast;
    Duration probeInterval {}; ///< Interval between two probes of a primary that responds.
};

/// Monitors one service while this control VM is the leader. A promotion with an unknown outcome is superseded by one
/// with a higher fencing token; it is never assumed to have failed. If the platform does not fence, no other server is
/// promoted and no lease is granted while such a promotion may still be carried out.
class PrimaryMonitor
{
public:
    PrimaryMonitor(Instant now, ServiceId service, SupervisionTiming timing);

    void tick(Instant now, const MonitorContext &context);

    /// Returns whether tick() has to be called. A primary that is healthy needs it only for its next probe.
    [[nodiscard]] bool isDue(Instant now) const;

    /// \returns whether this monitor sent the probe.
    bool onProbe(Instant now, const ProbeOutcome &outcome, const MonitorContext &context);

    /// Handles the commit of \p decision at log index \p index, which is the fencing token of the promotion.
    bool onPromotionCommitted(
        Instant now, const DecidePromotion &decision, std::uint64_t index, const MonitorContext &context);

    /// Handles the outcome of the promotion with \p token. \returns whether this monitor awaits it.
    bool onPromotion(Instant now, std::uint64_t token, PromotionOutcome outcome, const MonitorContext &context);

    /// Tells whether the primary is being replaced.
    [[nodiscard]] bool isFailingOver() const;

    /// Returns whether the primary is not known to lead and \p replica may hold the only copy of commits that were
    /// acknowledged. A server that ends passes its log on to its successor, which is asked in its place.
    [[nodiscard]] bool mayNeedReplica(Instant now, const MonitorContext &context, const BackendId &replica) const;

    /// Returns the expected time until the primary is replaced. Requires a failover in progress.
    [[nodiscard]] Duration expectedRemaining(
        Instant now, const LeaseLedger &leases, const FailoverForecast &forecast) const;

private:
    enum class Stage : std::uint8_t {
        FindingPrimary, ///< No primary has been recorded yet.
        Monitoring,
        CheckingReplicas, ///< Asks whether all replicas respond before the primary is made a replica.
        Withdrawing, ///< Waits until no entry can use the primary. If the platform fences, only until the primary is a
                     ///< replica, and only where commits wait for a replica.
        Surveying,
        Proposing, ///< The promotion is proposed to the replicated log; the index of its entry becomes the fencing
                   ///< token.
        Promoting, ///< The promotion call to the platform is in flight.
        AwaitingRole, ///< The platform has accepted the promotion; the new primary has not taken the role yet.
    };

    void findPrimary(Instant now, const MonitorContext &context);
    void monitor(Instant now, const MonitorContext &context);
    /// Records that no promotion is in doubt any more.
    void settlePromotion(Instant now, const MonitorContext &context, const PrimaryRecord &primary);
    void startFailover(Instant now, const MonitorContext &context, std::string_view reason);
    /// Withdraws the service from the entries and makes the primary step down.
    void withdraw(Instant now, const MonitorContext &context);
    void awaitRelease(Instant now, const MonitorContext &context);
    void stepDown(Instant now, const MonitorContext &context);
    /// Tells whether the platform fences and the primary cannot confirm that it is a replica.
    [[nodiscard]] bool isPrimaryLost(Instant now, const MonitorContext &context) const;
    void checkReplicas(Instant now, const MonitorContext &context);
    void finishCheck(Instant now, const MonitorContext &context);
    void askReplicas(Instant now, const MonitorContext &context, ProbeKind kind);
    [[nodiscard]] bool haveAllResponded() const;
    /// Returns the servers other than the primary that have started since the survey asked.
    [[nodiscard]] std::vector<const BackendRecord *> lateServers(Instant now, const MonitorContext &context) const;
    /// Tells whether a server has started, or taken the primary role, since the survey asked.
    [[nodiscard]] bool isSurveyOutdated(Instant now, const MonitorContext &context) const;
    /// Stops servers that have started since the survey, and a primary that has, from acknowledging commits.
    void pauseLateServers(Instant now, const MonitorContext &context);
    bool onLateProbe(Instant now, const ProbeOutcome &outcome, const MonitorContext &context);
    void logWithoutCandidate(Instant now, const MonitorContext &context) const;
    /// Tells whether a server that has not sent a heartbeat yet may hold more than the \p best of the surveyed ones.
    bool awaitsUnknownServer(Instant now, const LogPoint &best, const MonitorContext &context);
    void startSurvey(Instant now, const MonitorContext &context);
    void finishSurvey(Instant now, const MonitorContext &context);
    /// Records a surveyed server that leads the newest term as the primary. \returns whether there is one.
    bool adoptClaimant(Instant now, const MonitorContext &context);
    void resumeUnlessInDoubt(Instant now, const MonitorContext &context);
    void resumeReplicas(Instant now, const MonitorContext &context);
    /// Tells whether the servers that answered the survey receive nothing from the primary any more.
    [[nodiscard]] bool isPauseEffective() const;
    void proposePromotion(Instant now, const MonitorContext &context);
    void awaitPrimaryRole(Instant now, const MonitorContext &context);
    /// Returns whether \p outcome of a probe shows that the promotion of the candidate has taken effect.
    [[nodiscard]] bool hasTakenRole(Instant now, const ProbeOutcome &outcome) const;
    void retryAfter(Instant now, Duration delay, const MonitorContext &context);
    /// Returns the server that a promotion without a known outcome may still make the primary.
    [[nodiscard]] std::optional<BackendId> candidateInDoubt(Instant now, const MonitorContext &context) const;
    /// Tells whether a promotion without a known outcome may still take the role from the recorded primary, and a call
    /// with a higher token would prevent it. Replicas that its survey has paused must not receive until then.
    [[nodiscard]] bool mustSupersede(Instant now, const MonitorContext &context) const;
    void enterStage(Instant now, Stage stage);
    void probe(const MonitorContext &context, const BackendRecord &backend, ProbeKind kind, Duration timeout);
    void proposePrimary(Instant now, const MonitorContext &context, const BackendId &backend, std::string_view reason);
    void logProbeResult(Instant now, const BackendId &backend, ProbeResult result, const MonitorContext &context);
    [[nodiscard]] std::string_view failureReason(
        Instant now, const MonitorContext &context, const PrimaryRecord &primary);
    [[nodiscard]] bool isAlive(Instant now, const MonitorContext &context, const BackendId &backend) const;
    /// Returns the servers that a survey asks: those that may be promoted or may hold the only copy of a commit.
    [[nodiscard]] std::vector<const BackendRecord *> replicas(
        Instant now, const MonitorContext &context, const BackendId &primary) const;
    [[nodiscard]] bool mustPauseReplication(const MonitorContext &context) const;
    /// Asks a new primary for the position at which it leads.
    void measureLead(Instant now, const MonitorContext &context, const BackendId &primary);
    void onLeadMeasured(const ProbeOutcome &outcome);
    /// Tells whether the primary owes its position. A server gets one probe at a time; another one would end it.
    [[nodiscard]] bool isMeasuringLead(Instant now) const;
    /// Tells whether a log that ends at \p received holds commits which the promotion of the recorded primary has
    /// rolled back.
    [[nodiscard]] bool hasDiverged(const LogPoint &received, const MonitorContext &context) const;
    /// Tells whether the survey must be repeated because \p best has diverged and the primary may return.
    bool awaitsPrimary(Instant now, const BackendRecord &best, const MonitorContext &context);

    ServiceId service_;
    SupervisionTiming timing_;
    Stage stage_ = Stage::FindingPrimary;
    Instant enteredAt_ {};
    Instant createdAt_ {};
    Instant confirmedAt_ {}; ///< Time of the last confirmation that the primary has the role.
    Instant reportsCountFrom_ {}; ///< Earlier reports of entries do not count as confirmation.
    Instant probedAt_ {};
    Instant nextTickAt_ {};
    Instant recordedAt_ {};
    std::optional<Instant> deposedSince_;
    std::optional<Instant> refusedSince_;
    std::optional<Instant> unreachableSince_;
    std::map<std::uint64_t, BackendId> probes_;
    std::map<BackendId, std::int64_t> surveyed_; ///< Start time of each server that the survey asked.
    std::set<BackendId> claimants_; ///< Servers whose records claimed the primary role when the survey began.
    std::map<BackendId, ProbeOutcome> surveyOutcomes_;
    Term highestTerm_ = 0;
    Term highestOwnTerm_ = 0; ///< Highest term of a primary that any server leads or follows.
    std::set<BackendId> paused_; ///< Servers that may be paused, by this leader or by a former one.
    std::map<std::uint64_t, BackendId> resumes_; ///< Resume probes without an outcome.
    Instant resumedAt_ {};
    Term pauseTerm_ = 0; ///< Term of the pauses of the current survey.
    BackendId candidate_;
    BackendId ineffective_; ///< Last candidate whose accepted promotion had no effect: the platform may consider it the
                            ///< primary although it has stepped down.
    std::uint64_t proposalId_ = 0;
    std::uint64_t token_ = 0;
    Instant retryAt_ {};
    std::optional<ProbeResult> lastProbeResult_;
    bool hasSteppedDown_ = false; ///< The primary has confirmed that it is a replica.
    bool isPrimaryRefusing_ = false; ///< The primary does not run, or refuses connections.
    LogPoint finalPoint_; ///< End of the log of the primary that has stepped down.
    std::optional<Instant> awaitsServerSince_; ///< Since when no surveyed server has the log up to finalPoint_.
    std::map<std::uint64_t, BackendId> latePauses_; ///< Pauses of servers that have started late, without an outcome.
    std::uint64_t lateStepDown_ = 0; ///< Last probe that tells a primary which may have restarted to step down.
    Instant lateStepDownAt_ {};
    BackendId leader_; ///< The primary that leadPoint_ belongs to; empty until it has responded.
    BackendId measured_; ///< Server that leadProbe_ was sent to.
    LogPoint leadPoint_; ///< Term of the primary, and its position when it was first asked as such.
    std::uint64_t leadProbe_ = 0; ///< Last probe that asks for leadPoint_.
    Instant leadAskedAt_ {};
    std::optional<Instant> awaitsPrimarySince_; ///< Since when surveys find only logs that have diverged.
    bool isCallInFlight_ = false; ///< The last promotion has no outcome yet, or has been accepted.
    /// Earlier promotions without an outcome may be carried out until then. No value before the first tick.
    std::optional<Instant> inDoubtUntil_;
};

} // namespace daisyrelay
