// Decides at an entry which operations run within the rate limits of workspaces.
#pragma once

#include "daisyrelay/ratelimits/ratelimitoptions.h"
#include "daisyrelay/ratelimits/slidingcount.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace daisyrelay {

/// Holds tokens in stock for each workspace with a rate limit, and requests more from the coordinators.
///
/// Only what this entry used lately is requested ahead of need. An entry that runs few operations of a workspace
/// requests each token when an operation waits for it, since tokens in stock would mostly expire there.
class RateLimitClient
{
public:
    enum class Admission {
        Admitted,
        Waiting, ///< A token was requested; the operation calls acquire() again after each grant or tick.
        Denied,
    };

    struct Decision {
        Admission admission = Admission::Denied;
        Duration retryAfter { 0 }; ///< When a token is free, if denied.
    };

    explicit RateLimitClient(std::uint64_t runId, RateLimitOptions options = {});

    /// Applies the limits of a new configuration. What was granted under a higher limit is dropped.
    void setLimits(Instant now, const std::vector<Workspace> &workspaces);

    /// Sets the coordinators. Ignores tables that are older than the present one or invalid.
    void setHolders(const CoordinatorTable &table);

    /// Sets the number of entries that share the limits. Zero, which is ignored, means that it is not known.
    void setEntryCount(Instant now, std::uint32_t count);

    /// Takes a token for an operation of \p workspace that waits since \p waitingSince, which is \p now at the first
    /// call for the operation.
    Decision acquire(Instant now, const WorkspaceId &workspace, Instant waitingSince);

    /// Returns the requests to send, each with its recipient.
    [[nodiscard]] std::vector<std::pair<VmId, RateLimitRequest>> takeRequests();

    /// Returns whether \p grant was the response to a request of this entry; otherwise, it changes nothing.
    bool onGrant(Instant now, const VmId &from, const RateLimitGrant &grant);

    /// Repeats unanswered requests and sends probes to coordinators. Called every few milliseconds while operations
    /// wait, otherwise at least every 100 ms.
    void tick(Instant now);

    /// Numbers of ignored messages, and of operations that ran on an allowance.
    [[nodiscard]] const Counters &counters() const;

private:
    /// What is known of the coordinator of a slot.
    struct Coordinator {
        VmId vm;
        std::optional<Instant> contactAt; ///< When the last request that was answered with authority was sent.
        std::optional<Instant> unansweredSince; ///< When the first request after the last response was sent.
        std::optional<Instant> lastSentAt;
        bool isRefusing = false; ///< The VM responded that it has no authority.
        Duration retryDelay { 0 }; ///< Of requests while the coordinator is silent.
    };

    struct Batch {
        Instant expiresAt;
        std::uint32_t tokens = 0;
    };

    struct SentRequest {
        std::uint64_t sequence = 0;
        VmId to;
        Instant sentAt;
        std::uint32_t wanted = 0;
    };

    struct State {
        State();

        Workspace limit; ///< Without the keys.
        std::deque<Batch> stock; ///< In the order of expiry.
        std::vector<SentRequest> sent; ///< Requests without a response.
        std::map<Instant, std::uint32_t> waiting; ///< Numbers of waiting operations by the start of their wait.
        SlidingCount recentUse; ///< Tokens taken in the last 250 ms.
        SlidingCount steadyUse; ///< Tokens taken in the last second.
        SlidingCount granted; ///< Tokens granted in the last 10 s.
        std::optional<Instant> deniedUntil; ///< When the coordinator will have a token again.
        double credit = 0; ///< Operations that may run without a coordinator.
        Instant creditedUntil; ///< The allowance for the time before this is part of the credit.
    };

    Coordinator &coordinatorOf(const WorkspaceId &workspace);
    static bool isSilent(Instant now, const Coordinator &coordinator);
    static Instant nextRequestAt(Instant now, const Coordinator &coordinator);
    static void dropExpired(Instant now, Duration lifetime, State &state);
    static bool takeFromStock(State &state);
    bool takeUncoordinated(Instant now, State &state);
    bool takeOffline(Instant now, State &state, const Coordinator &coordinator);
    void request(Instant now, State &state);
    void send(Instant now, State &state, Coordinator &coordinator, std::uint32_t wanted);
    Decision decideWithoutToken(Instant now, State &state, Instant waitingSince);
    double initialCredit(const WorkspaceId &workspace) const;
    const char *reasonToIgnore(const VmId &from, const RateLimitGrant &grant) const;

    std::uint64_t runId_;
    RateLimitOptions options_;
    std::uint64_t lastSequence_ = 0;
    std::uint64_t tableVersion_ = 0;
    std::uint32_t entryCount_ = 0;
    Instant entryCountSince_; ///< When the number of entries first became known.
    std::array<Coordinator, CoordinatorSlotCount> coordinators_;
    std::unordered_map<WorkspaceId, State> states_; ///< Of all workspaces with a limit.
    std::vector<std::pair<VmId, RateLimitRequest>> outbox_;
    Counters counters_;
};

} // namespace daisyrelay
