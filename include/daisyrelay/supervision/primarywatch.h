// Watches the primary of one service and replaces it: evidence, survey, promotion with a fencing token, confirmation.
#pragma once

#include "daisyrelay/supervision/entryregistry.h"
#include "daisyrelay/supervision/supervisionactions.h"
#include "daisyrelay/telemetry.h"

#include <optional>
#include <set>

namespace daisyrelay {

/// What a watch looks at and acts through.
struct WatchContext {
    const SupervisionState &state;
    const EntryRegistry &entries;
    const std::map<BackendId, Instant> &heardAt; ///< The last heartbeat of each backend server.
    EventLog &log;
    std::function<std::uint64_t()> nextId;
    std::function<void(SupervisionAction)> act;
};

/// Lives while its VM leads. A promotion whose fate is unknown is overtaken by one with a higher token, never assumed
/// to have failed.
class PrimaryWatch
{
public:
    PrimaryWatch(Instant now, ServiceId service, SupervisionTiming timing);

    void tick(Instant now, const WatchContext &context);

    /// \returns whether the probe was one of this watch.
    bool onProbe(Instant now, const ProbeOutcome &outcome, const WatchContext &context);

    /// The command with \p ticket was committed at \p index, which is the fencing token.
    bool onDecided(Instant now, const DecidePromotion &decision, std::uint64_t index, const WatchContext &context);

    bool onPromotion(Instant now, std::uint64_t token, PromotionOutcome outcome, const WatchContext &context);

    /// Tells whether a replacement is under way.
    [[nodiscard]] bool isReplacing() const;

private:
    enum class Stage : std::uint8_t {
        Adopting, ///< No primary was ever found.
        Watching,
        Surveying,
        Deciding, ///< The token is on its way through the log.
        Promoting, ///< The platform was asked.
        Settling, ///< The platform has accepted; the new primary does not lead yet.
    };

    void adopt(Instant now, const WatchContext &context);
    void watch(Instant now, const WatchContext &context);
    void survey(Instant now, const WatchContext &context, std::string_view reason);
    void finishSurvey(Instant now, const WatchContext &context);
    void decide(Instant now, const WatchContext &context);
    void settle(Instant now, const WatchContext &context);
    void retry(Instant now, Duration delay);
    void enter(Instant now, Stage stage);
    void probe(const WatchContext &context, const BackendRecord &backend, ProbeKind kind, Duration timeout);
    void record(Instant now, const WatchContext &context, const BackendId &backend, std::string_view reason);
    void logEvidence(Instant now, const BackendId &backend, ProbeResult result, const WatchContext &context);
    [[nodiscard]] std::string_view failureOf(Instant now, const WatchContext &context, const PrimaryRecord &primary);
    [[nodiscard]] std::vector<const BackendRecord *> replicas(
        Instant now, const WatchContext &context, const BackendId &primary) const;
    [[nodiscard]] bool mustPause(const WatchContext &context) const;

    ServiceId service_;
    SupervisionTiming timing_;
    Stage stage_ = Stage::Adopting;
    Instant enteredAt_ {};
    Instant createdAt_ {};
    Instant provenAt_ {}; ///< When the primary last proved that it leads.
    Instant proofBy_ {}; ///< Heartbeats of entries count from here on.
    Instant askedAt_ {};
    Instant recordedAt_ {};
    std::optional<Instant> deposedSince_;
    std::optional<Instant> refusedSince_;
    std::optional<Instant> cutSince_;
    std::map<std::uint64_t, BackendId> probes_;
    std::set<BackendId> asked_;
    std::map<BackendId, ProbeOutcome> answers_;
    Term highestTerm_ = 0;
    BackendId target_;
    std::uint64_t ticket_ = 0;
    std::uint64_t token_ = 0;
    Instant retryAt_ {};
    std::optional<ProbeResult> probedBefore_;
};

} // namespace daisyrelay
