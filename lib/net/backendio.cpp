#include "backendio.h"

#include "protocol.h"

namespace daisyrelay {

static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// The last resort against a server that is silent as a whole; a single silent connection is judged by its pool.
static constexpr Duration LongestStatement = std::chrono::minutes(5);
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);
static constexpr std::chrono::milliseconds WatchWait(200);

BackendIo::BackendIo(Duty &duty, Counters &counters, FaultPlan &faults, Hooks hooks)
    : duty_(duty), counters_(counters), faults_(faults), hooks_(std::move(hooks))
{
}

void BackendIo::connect(const ConnectBackend &action)
{
    auto connection = std::make_shared<HttpConnection>(duty_.context());
    connections_[action.connection] = { connection, Clock::now(), action.address.host };
    if (faults_.cutsOut(action.address.host) || faults_.cutsIn(action.address.host)) {
        after(ConnectTimeout, [this, id = action.connection]() { drop(id); });
        return;
    }
    connection->connect(action.address, ConnectTimeout, [this, id = action.connection, connection](bool connected) {
        if (!connections_.contains(id)) {
            return;
        }
        if (!connected) {
            drop(id);
            return;
        }
        verify(id, connection);
    });
}

void BackendIo::verify(ConnectionId id, const std::shared_ptr<HttpConnection> &connection)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/status";
    connection->request(request, ConnectTimeout, [this, id](std::optional<HttpResponse> response) {
        if (!connections_.contains(id)) {
            return;
        }
        if (!response || !parseStatusPoint(*response)) {
            drop(id);
            return;
        }
        connections_.at(id).lastUse = Clock::now();
        hooks_.onOpened(id);
    });
}

void BackendIo::after(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(duty_.context(), delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &) { task(); });
}

void BackendIo::drop(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<HttpConnection> connection = found->second.http;
    connections_.erase(found);
    connection->close();
    hooks_.onClosed(id);
}

void BackendIo::disconnect(const DisconnectBackend &action)
{
    const auto found = connections_.find(action.connection);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<HttpConnection> connection = found->second.http;
    connections_.erase(found);
    connection->close();
}

void BackendIo::setTrustedIdle(Duration trustedIdle)
{
    trustedIdle_ = trustedIdle;
}

static BackendResponse replyTo(const SendStatement &action, BackendOutcome outcome)
{
    BackendResponse reply;
    reply.connection = action.connection;
    reply.work = action.work;
    reply.outcome = outcome;
    return reply;
}

void BackendIo::send(const SendStatement &action)
{
    const auto found = connections_.find(action.connection);
    if (found == connections_.end()) {
        hooks_.onReply(replyTo(action, BackendOutcome::Lost));
        return;
    }
    if (faults_.cutsOut(found->second.host)) {
        return; // The network loses it, and nobody is told.
    }
    const std::shared_ptr<HttpConnection> connection = found->second.http;
    const Instant now = Clock::now();
    const bool trusted = now - std::exchange(found->second.lastUse, now) < trustedIdle_;
    // In a transaction the server would have to be asked on its own connection between two statements; TCP's user
    // timeout judges those.
    if (trusted || !action.statement.transaction.empty()) {
        transmit(action, connection);
        return;
    }
    probe(action, connection);
}

void BackendIo::probe(const SendStatement &action, const std::shared_ptr<HttpConnection> &connection)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/status";
    connection->request(request, ProbeTimeout, [this, action, connection](std::optional<HttpResponse> response) {
        if (!connections_.contains(action.connection)) {
            return;
        }
        if (response && parseStatusPoint(*response)) {
            transmit(action, connection);
            return;
        }
        counters_.add("connections.died-idle");
        // Nothing of the statement was sent, so it is refused and not lost.
        hooks_.onReply(replyTo(action, BackendOutcome::Busy));
        drop(action.connection);
    });
}

void BackendIo::transmit(const SendStatement &action, const std::shared_ptr<HttpConnection> &connection)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/statements";
    request.body = backendStatementBody(action.statement);
    connection->request(request, LongestStatement,
        [this, lost = replyTo(action, BackendOutcome::Lost), requestId = action.statement.requestId](
            const std::optional<HttpResponse> &response) { onAnswer(lost, requestId, response); });
}

void BackendIo::onAnswer(
    const BackendResponse &lost, const std::string &requestId, const std::optional<HttpResponse> &response)
{
    const auto used = connections_.find(lost.connection);
    if (used != connections_.end() && faults_.cutsIn(used->second.host)) {
        return;
    }
    if (!response) {
        hooks_.onReply(lost);
        drop(lost.connection);
        return;
    }
    Expected<BackendResponse> reply = parseBackendReply(*response, requestId);
    if (!reply) {
        counters_.add("answers.mismatched");
        hooks_.onReply(lost);
        drop(lost.connection);
        return;
    }
    if (used != connections_.end()) {
        used->second.lastUse = Clock::now();
    }
    reply->connection = lost.connection;
    reply->work = lost.work;
    hooks_.onReply(std::move(*reply));
}

void BackendIo::watch(const AwaitBackendPosition &action)
{
    if (faults_.cutsOut(action.address.host) || faults_.cutsIn(action.address.host)) {
        after(ConnectTimeout, [this, backend = action.backend]() { hooks_.onReplicaPoint(backend, std::nullopt); });
        return;
    }
    std::shared_ptr<HttpConnection> &connection = watchers_[action.backend];
    if (connection && connection->isOpen()) {
        askReplica(action, connection);
        return;
    }
    connection = std::make_shared<HttpConnection>(duty_.context());
    connection->connect(action.address, ConnectTimeout, [this, action, connection](bool connected) {
        if (!connected) {
            hooks_.onReplicaPoint(action.backend, std::nullopt);
            return;
        }
        askReplica(action, connection);
    });
}

void BackendIo::askReplica(const AwaitBackendPosition &action, const std::shared_ptr<HttpConnection> &connection)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/status?min_position=" + std::to_string(action.minPosition)
        + "&wait_ms=" + std::to_string(WatchWait.count());
    connection->request(
        request, WatchWait + ConnectTimeout, [this, backend = action.backend](std::optional<HttpResponse> response) {
            if (!response) {
                hooks_.onReplicaPoint(backend, std::nullopt);
                return;
            }
            const Expected<LogPoint> point = parseStatusPoint(*response);
            hooks_.onReplicaPoint(backend, point ? std::optional(*point) : std::nullopt);
        });
}

} // namespace daisyrelay
