// Request processing of one entry: checks a request, routes it, runs it here or at the home of the database, and
// responds exactly once.
#pragma once

#include "daisyrelay/relay/relayactions.h"
#include "daisyrelay/routing.h"
#include "daisyrelay/session.h"

#include <memory>

namespace daisyrelay {

/// Parameters that a RelayCore gets from its process.
struct RelayOptions {
    VmId vm;
    ZoneId zone;
    std::string secret;
    std::string bootId; ///< Differs between two runs of the same VM.
    Duration transactionIdleTimeout = std::chrono::seconds(10);
    ReadPolicy readPolicy = ReadPolicy::CheapestFresh;
    std::vector<VmId> keyStoreVms {}; ///< VMs that store idempotency keys; the same on every entry.
    bool isFirstStart = false; ///< Whether this VM has never run before, so that its key store has not lost any keys.
    /// If false, no request is rejected before its deadline; a baseline for comparison.
    bool hasAdmissionControl = true;
    /// Number of entries that split each database evenly instead of using homes; zero uses homes. A baseline for
    /// comparison.
    std::uint32_t fixedShareEntries = 0;
    std::uint64_t randomSeed = 0; ///< Seed of the choice between equal backend servers and of jitter.
};

/// A caller's request as received.
struct CallerRequest {
    CallId call = 0;
    StatementRequest request;
    std::string token; ///< Session token as sent by the caller; may be empty.
};

/// Processes the requests of one entry; holds no clock, socket or thread.
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

    /// Handles the result of AwaitBackendPosition; \p point is empty if the request failed.
    void onBackendPosition(Instant now, const BackendId &backend, std::optional<LogPoint> point);

    void onAnnouncement(Instant now, const BackendAnnouncement &announcement);
    void onLease(Instant now, const LeaseState &lease);
    void onConfiguration(Instant now, std::uint64_t version, const Configuration &configuration);

    /// Rejects new requests from now on; open requests and transactions are completed.
    void drain(Instant now);

    /// Handles passed deadlines, idle transactions and silent backend servers.
    void tick(Instant now);

    [[nodiscard]] std::vector<RelayAction> takeActions();

    /// Returns whether no request and no transaction is open.
    [[nodiscard]] bool isIdle() const;

    [[nodiscard]] const BackendTable &backends() const;
    [[nodiscard]] const LeaseState &lease() const;
    [[nodiscard]] std::uint64_t configVersion() const;

    /// Returns this entry's view of each known backend server, for the lease request.
    [[nodiscard]] std::vector<BackendView> backendViews(Instant now) const;

    /// Returns the databases to which more connections are open than the lease currently grants.
    [[nodiscard]] std::vector<BackendId> backendsOverGrant(Instant now) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyrelay
