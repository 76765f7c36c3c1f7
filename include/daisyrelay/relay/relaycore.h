// The life of a request: checks it, routes it, runs it here or at the home of the database, and answers it once.
#pragma once

#include "daisyrelay/relay/relayactions.h"
#include "daisyrelay/routing.h"
#include "daisyrelay/session.h"

#include <memory>

namespace daisyrelay {

/// What a RelayCore needs to know of its process.
struct RelayOptions {
    VmId vm;
    ZoneId zone;
    std::string secret;
    std::string bootId; ///< Differs between two runs of the same VM.
    Duration transactionIdleTimeout = std::chrono::seconds(10);
    ReadPolicy readPolicy = ReadPolicy::CheapestFresh;
    std::vector<VmId> keyStoreVms {}; ///< The VMs that keep idempotency keys; the same on every entry.
    bool isFirstStart = false; ///< This VM has never run before, so that as a keeper it has nothing to remember.
    bool hasAdmissionControl = true; ///< False: refuse nothing before its deadline; a baseline for comparison.
    std::uint32_t fixedShareEntries = 0; ///< Entries that split each database evenly instead of homes; a baseline.
    std::uint64_t randomSeed = 0; ///< Of the choices between equals and of jitter.
};

/// A caller's request as it came in.
struct CallerRequest {
    CallId call = 0;
    StatementRequest request;
    std::string token; ///< As sent by the caller; may be empty.
};

/// The request path of one entry; holds no clock, socket or thread.
class RelayCore
{
public:
    RelayCore(RelayOptions options, Counters &counters);
    ~RelayCore();
    RelayCore(const RelayCore &) = delete;
    RelayCore &operator=(const RelayCore &) = delete;

    void onCallerRequest(Instant now, const CallerRequest &request);
    void onForwardRequest(Instant now, const VmId &from, const ForwardRequest &request);
    void onForwardResponse(Instant now, const VmId &from, const ForwardResponse &response);
    void onPeerUnreachable(Instant now, const VmId &vm);
    void onKeyClaim(Instant now, const VmId &from, const KeyClaim &claim);
    void onKeyClaimResponse(Instant now, const VmId &from, const KeyClaimResponse &response);
    void onKeyCopyRequest(Instant now, const VmId &from, const KeyCopyRequest &request);
    void onKeyCopyChunk(Instant now, const VmId &from, const KeyCopyChunk &chunk);

    void onConnectionOpened(Instant now, ConnectionId connection);
    void onConnectionClosed(Instant now, ConnectionId connection);
    void onBackendResponse(Instant now, const BackendStatementResponse &response);

    /// The answer to AwaitBackendPosition; \p point is empty if the question failed.
    void onBackendPosition(Instant now, const BackendId &backend, std::optional<LogPoint> point);

    void onAnnouncement(Instant now, const BackendAnnouncement &announcement);
    void onLease(Instant now, const LeaseState &lease);
    void onConfiguration(Instant now, std::uint64_t version, const Configuration &configuration);

    /// Refuses new requests from now on; what is open is finished.
    void drain(Instant now);

    /// Expires deadlines, idle transactions and silent backend servers.
    void tick(Instant now);

    [[nodiscard]] std::vector<RelayAction> takeActions();

    /// Whether nothing is open any more.
    [[nodiscard]] bool isIdle() const;

    [[nodiscard]] const BackendTable &backends() const;
    [[nodiscard]] const LeaseState &lease() const;
    [[nodiscard]] std::uint64_t configVersion() const;

    /// Returns this entry's view of each backend server it works with, for the lease request.
    [[nodiscard]] std::vector<BackendView> backendViews(Instant now) const;

    /// Returns the databases of which more connections are open than the lease grants now.
    [[nodiscard]] std::vector<BackendId> backendsOverGrant(Instant now) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyrelay
