// Runs the probes of the supervisor against backend servers.
#pragma once

#include "backendconnections.h"

#include <map>

namespace daisyrelay {

/// Keeps one connection to each backend server and reuses it until a probe fails or the connection is idle.
class ProbeClient
{
public:
    using ResultHandler = std::function<void(const ProbeOutcome &outcome)>;

    ProbeClient(boost::asio::io_context &context, const PlatformHooks &platform, ResultHandler onResult);

    /// Starts a probe. A probe that is still in flight for the same server is reported as NoResponse.
    void startProbe(const ProbeBackend &probe);

    /// Reports probes past their deadline as NoResponse and closes idle connections.
    void tick(Instant now);

    void closeAll();

private:
    struct ProbeConnection {
        ConnectionId connection = 0;
        bool isOpened = false;
        std::int64_t startedAtMs = 0; ///< Incarnation of the server that the connection was opened to.
        Instant lastUsedAt {};
        std::optional<ProbeBackend> probe;
        Instant deadline {};
    };

    void sendProbe(ProbeConnection &state);
    void finishProbe(const BackendId &backend, ProbeOutcome outcome, bool shouldKeepConnection);
    void onExchange(ConnectionId connection, const std::vector<BackendResponse> &responses);
    [[nodiscard]] BackendId backendForConnection(ConnectionId connection) const;

    const PlatformHooks &platform_;
    ResultHandler onResult_;
    BackendConnections connections_;
    std::map<BackendId, ProbeConnection> connectionByBackend_;
    ConnectionId nextConnectionId_ = 1;
};

} // namespace daisyrelay
