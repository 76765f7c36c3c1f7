// The connections to backend servers; runs on the backend thread.
#pragma once

#include "daisyrelay/io/httpconnection.h"
#include "daisyrelay/net/duty.h"
#include "daisyrelay/net/faultplan.h"
#include "daisyrelay/relay.h"

#include <functional>
#include <map>
#include <memory>

namespace daisyrelay {

/// Opens, uses and closes connections as the relay core asks, and reports what comes of it.
class BackendClient
{
public:
    struct Hooks {
        std::function<void(ConnectionId)> onOpened;
        std::function<void(ConnectionId)> onClosed;
        std::function<void(BackendStatementResponse)> onResponse;
        std::function<void(BackendId, std::optional<LogPoint>)> onReplicaPoint;
    };

    BackendClient(EventLoopThread &thread, Counters &counters, FaultInjector &faults, Hooks hooks);

    void connect(const ConnectBackend &action);
    void disconnect(const DisconnectBackend &action);
    void send(const SendStatement &action);
    void pollReplica(const AwaitBackendPosition &action);

    /// Changes after how long without use a connection is asked for its status before it carries a statement.
    void setMaxUnprobedIdle(Duration maxUnprobedIdle);

private:
    struct BackendConnection {
        std::shared_ptr<HttpConnection> client;
        Instant lastUsedAt;
        std::string host; ///< Where the connection leads.
    };

    void verifyConnection(ConnectionId id, const std::shared_ptr<HttpConnection> &connection);
    void dropConnection(ConnectionId id);
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
