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
class BackendIo
{
public:
    struct Hooks {
        std::function<void(ConnectionId)> onOpened;
        std::function<void(ConnectionId)> onClosed;
        std::function<void(BackendResponse)> onReply;
        std::function<void(BackendId, std::optional<LogPoint>)> onReplicaPoint;
    };

    BackendIo(Duty &duty, Counters &counters, FaultPlan &faults, Hooks hooks);

    void connect(const ConnectBackend &action);
    void disconnect(const DisconnectBackend &action);
    void send(const SendStatement &action);
    void watch(const AwaitBackendPosition &action);

    /// Changes after how long without use a connection is asked for its status before it carries a statement.
    void setTrustedIdle(Duration trustedIdle);

private:
    struct BackendConnection {
        std::shared_ptr<HttpConnection> http;
        Instant lastUse;
        std::string host; ///< Where the connection leads.
    };

    void verify(ConnectionId id, const std::shared_ptr<HttpConnection> &connection);
    void drop(ConnectionId id);
    void probe(const SendStatement &action, const std::shared_ptr<HttpConnection> &connection);
    void transmit(const SendStatement &action, const std::shared_ptr<HttpConnection> &connection);
    void onAnswer(
        const BackendResponse &lost, const std::string &requestId, const std::optional<HttpResponse> &response);
    void after(Duration delay, std::function<void()> task);
    void askReplica(const AwaitBackendPosition &action, const std::shared_ptr<HttpConnection> &connection);

    Duty &duty_;
    Counters &counters_;
    FaultPlan &faults_;
    Hooks hooks_;
    Duration trustedIdle_ = std::chrono::seconds(5);
    std::map<ConnectionId, BackendConnection> connections_;
    std::map<BackendId, std::shared_ptr<HttpConnection>> watchers_;
};

} // namespace daisyrelay
