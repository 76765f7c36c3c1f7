// HTTP connections to backend servers.
#pragma once

#include "daisyrelay/io/httpconnection.h"
#include "daisyrelay/net/eventloopthread.h"
#include "daisyrelay/net/faultinjector.h"
#include "daisyrelay/relay.h"

#include <functional>
#include <map>
#include <memory>

namespace daisyrelay {

/// Performs the backend actions of the relay core and reports their results through hooks. Must be used on the backend
/// thread only.
class BackendClient
{
public:
    struct Hooks {
        std::function<void(ConnectionId)> onOpened; ///< A connection was opened and verified.
        std::function<void(ConnectionId)> onClosed;
        std::function<void(BackendStatementResponse)> onResponse;
        std::function<void(BackendId, std::optional<LogPoint>)> onReplicaPoint;
    };

    BackendClient(EventLoopThread &thread, Counters &counters, FaultInjector &faults, Hooks hooks);

    void connect(const ConnectBackend &action);
    void disconnect(const DisconnectBackend &action);
    void send(const SendStatement &action);
    /// Requests the log position of a replica, which is reported through onReplicaPoint.
    void pollReplica(const AwaitBackendPosition &action);

    /// Sets how long a connection may be idle before its next statement is preceded by a status request.
    void setMaxUnprobedIdle(Duration maxUnprobedIdle);

private:
    struct BackendConnection {
        std::shared_ptr<HttpConnection> client;
        Instant lastUsedAt;
        std::string host; ///< Address of the backend server.
    };

    /// Requests the status of the server and reports the connection as opened if the response is valid.
    void verifyConnection(ConnectionId id, const std::shared_ptr<HttpConnection> &connection);
    void dropConnection(ConnectionId id);
    /// Requests the status of the server and sends the statement only if the response is valid.
    void probeAndTransmit(const SendStatement &action, const std::shared_ptr<HttpConnection> &connection);
    void transmitStatement(const SendStatement &action, const std::shared_ptr<HttpConnection> &connection);
    void onHttpResponse(const BackendStatementResponse &lostResponse, const std::string &requestId,
        const std::optional<HttpResponse> &response);
    void runAfter(Duration delay, std::function<void()> task);
    void requestReplicaPoint(const AwaitBackendPosition &action, const std::shared_ptr<HttpConnection> &connection);

    EventLoopThread &thread_;
    Counters &counters_;
    FaultInjector &faults_;
    Hooks hooks_;
    Duration maxUnprobedIdle_ = std::chrono::seconds(5);
    std::map<ConnectionId, BackendConnection> connections_;
    std::map<BackendId, std::shared_ptr<HttpConnection>> replicaConnections_;
};

} // namespace daisyrelay
