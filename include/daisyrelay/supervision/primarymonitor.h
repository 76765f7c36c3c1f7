// Watches the primary of one service and replaces it: evidence, survey, promotion with a fencing token, confirmation.
#pragma once

#include "daisyrelay/supervision/entryregistry.h"
#include "daisyrelay/supervision/supervisionactions.h"
#include "daisyrelay/telemetry.h"

#include <optional>
#include <set>

namespace daisyrelay {

/// What a watch looks at and acts through.
struct MonitorContext {
    const SupervisionState &state;
    const EntryRegistry &entries;
    const std::map<BackendId, Instant> &lastHeartbeatAt; ///< The last heartbeat of each backend server.
    EventLog &log;
    std::function<std::uint64_t()> nextId;
    std::function<void(SupervisionAction)> emit;
};

/// Lives while its VM leads. A promotion whose fate is unknown is overtaken by one with a higher token, never assumed
/// to have failed.
class PrimaryMonitor
{
public:
    PrimaryMonitor(Instant now, ServiceId service, SupervisionTiming timing);

    void tick(Instant now, const MonitorContext &context);

    /// \returns whether the probe was one of this watch.
    bool onProbe(Instant now, const ProbeOutcome &outcome, const MonitorContext &context);

    /// The command with \p ticket was committed at \p index, which is the fencing token.
    bool onPromotionCommitted(
        Instant now, const DecidePromotion &decision, std::uint64_t index, const MonitorContext &context);

    bool onPromotion(Instant now, std::uint64_t token, PromotionOutcome outcome, const MonitorContext &context);

    /// Tells whether a replacement is under way.
    [[nodiscard]] bool isFailingOver() const;

private:
    enum class Stage : std::uint8_t {
        FindingPrimary, ///< No primary was ever found.
        Monitoring,
        Surveying,
        Proposing, ///< The token is on its way through the log.
        Promoting, ///< The platform was asked.
        AwaitingRole, ///< The platform has accepted; the new primary does not lead yet.
    };

    void findPrimary(Instant now, const MonitorContext &context);
    void monitor(Instant now, const MonitorContext &context);
    void startSurvey(Instant now, const MonitorContext &context, std::string_view reason);
    void finishSurvey(Instant now, const MonitorContext &context);
    void proposePromotion(Instant now, const MonitorContext &context);
    void awaitPrimaryRole(Instant now, const MonitorContext &context);
    void retryAfter(Instant now, Duration delay);
    void enterStage(Instant now, Stage stage);
    void probe(const MonitorContext &context, const BackendRecord &backend, ProbeKind kind, Duration timeout);
    void proposePrimary(Instant now, const MonitorContext &context, const BackendId &backend, std::string_view reason);
    void logProbeResult(Instant now, const BackendId &backend, ProbeResult result, const MonitorContext &context);
    [[nodiscard]] std::string_view failureReason(
        Instant now, const MonitorContext &context, const PrimaryRecord &primary);
    [[nodiscard]] std::vector<const BackendRecord *> replicas(
        Instant now, const MonitorContext &context, const BackendId &primary) const;
    [[nodiscard]] bool mustPauseReplication(const MonitorContext &context) const;

    ServiceId service_;
    SupervisionTiming timing_;
    Stage stage_ = Stage::FindingPrimary;
    Instant enteredAt_ {};
    Instant createdAt_ {};
    Instant confirmedAt_ {}; ///< When the primary last proved that it leads.
    Instant reportsCountFrom_ {}; ///< Heartbeats of entries count from here on.
    Instant probedAt_ {};
    Instant recordedAt_ {};
    std::optional<Instant> deposedSince_;
    std::optional<Instant> refusedSince_;
    std::optional<Instant> unreachableSince_;
    std::map<std::uint64_t, BackendId> probes_;
    std::set<BackendId> surveyed_;
    std::map<BackendId, ProbeOutcome> surveyOutcomes_;
    Term highestTerm_ = 0;
    BackendId candidate_;
    std::uint64_t proposalId_ = 0;
    std::uint64_t token_ = 0;
    Instant retryAt_ {};
    std::optional<ProbeResult> lastProbeResult_;
};

} // namespace daisyrelay
