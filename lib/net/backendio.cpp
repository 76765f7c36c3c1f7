#include "backendio.h"

#include "protocol.h"

namespace daisyrelay {

static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// The last resort against a server that is silent as a whole; a single silent connection is judged by its pool.
static constexpr Duration MaxStatementDuration = std::chrono::minutes(5);
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);
static constexpr std::chrono::milliseconds ReplicaPollWait(200);

BackendClient::BackendClient(EventLoopThread &thread, Counters &counters, FaultInjector &faults, Hooks hooks)
    : thread_(thread), counters_(counters), faults_(faults), hooks_(std::move(hooks))
{
}

void BackendClient::connect(const ConnectBackend &action)
{
    auto connection = std::make_shared<HttpConnection>(thread_.context());
    connections_[action.connection] = { connection, Clock::now(), action.address.host };
    if (faults_.blocksOutgoing(action.address.host) || faults_.blocksIncoming(action.address.host)) {
        runAfter(ConnectTimeout, [this, id = action.connection]() { dropConnection(id); });
        return;
    }
    connection->connect(action.address, ConnectTimeout, [this, id = action.connection, connection](bool isConnected) {
        if (!connections_.contains(id)) {
            return;
        }
        if (!isConnected) {
            dropConnection(id);
            return;
        }
        verifyConnection(id, connection);
    });
}

void BackendClient::verifyConnection(ConnectionId id, const std::shared_ptr<HttpConnection> &connection)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/status";
    connection->request(request, ConnectTimeout, [this, id](std::optional<HttpResponse> response) {
        if (!connections_.contains(id)) {
            return;
        }
        if (!response || !parseStatusPoint(*response)) {
            dropConnection(id);
            return;
        }
        connections_.at(id).lastUsedAt = Clock::now();
        hooks_.onOpened(id);
    });
}

void BackendClient::runAfter(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(thread_.context(), delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &) { task(); });
}

void BackendClient::dropConnection(ConnectionId id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<HttpConnection> connection = found->second.client;
    connections_.erase(found);
    connection->close();
    hooks_.onClosed(id);
}

void BackendClient::disconnect(const DisconnectBackend &action)
{
    const auto found = connections_.find(action.connection);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<HttpConnection> connection = found->second.client;
    connections_.erase(found);
    connection->close();
}

void BackendClient::setMaxUnprobedIdle(Duration maxUnprobedIdle)
{
    maxUnprobedIdle_ = maxUnprobedIdle;
}

static BackendStatementResponse makeResponse(const SendStatement &action, BackendOutcome outcome)
{
    BackendStatementResponse backendResponse;
    backendResponse.connection = action.connection;
    backendResponse.work = action.work;
    backendResponse.outcome = outcome;
    return backendResponse;
}

void BackendClient::send(const SendStatement &action)
{
    const auto found = connections_.find(action.connection);
    if (found == connections_.end()) {
        hooks_.onResponse(makeResponse(action, BackendOutcome::Lost));
        return;
    }
    if (faults_.blocksOutgoing(found->second.host)) {
        return; // The network loses it, and nobody is told.
    }
    const std::shared_ptr<HttpConnection> connection = found->second.client;
    const Instant now = Clock::now();
    const bool isRecentlyUsed = now - std::exchange(found->second.lastUsedAt, now) < maxUnprobedIdle_;
    // In a transaction the server would have to be asked on its own connection between two statements; TCP's user
    // timeout judges those.
    if (isRecentlyUsed || !action.statement.transaction.empty()) {
        transmitStatement(action, connection);
        return;
    }
    probeAndTransmit(action, connection);
}

void BackendClient::probeAndTransmit(const SendStatement &action, const std::shared_ptr<HttpConnection> &connection)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/status";
    connection->request(request, ProbeTimeout, [this, action, connection](std::optional<HttpResponse> response) {
        if (!connections_.contains(action.connection)) {
            return;
        }
        if (response && parseStatusPoint(*response)) {
            transmitStatement(action, connection);
            return;
        }
        counters_.add("connections.died-idle");
        // Nothing of the statement was sent, so it is refused and not lost.
        hooks_.onResponse(makeResponse(action, BackendOutcome::Busy));
        dropConnection(action.connection);
    });
}

void BackendClient::transmitStatement(const SendStatement &action, const std::shared_ptr<HttpConnection> &connection)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/statements";
    request.body = backendStatementBody(action.statement);
    connection->request(request, MaxStatementDuration,
        [this, lostResponse = makeResponse(action, BackendOutcome::Lost), requestId = action.statement.requestId](
            const std::optional<HttpResponse> &response) { onHttpResponse(lostResponse, requestId, response); });
}

void BackendClient::onHttpResponse(const BackendStatementResponse &lostResponse, const std::string &requestId,
    const std::optional<HttpResponse> &response)
{
    const auto found = connections_.find(lostResponse.connection);
    if (found != connections_.end() && faults_.blocksIncoming(found->second.host)) {
        return;
    }
    if (!response) {
        hooks_.onResponse(lostResponse);
        dropConnection(lostResponse.connection);
        return;
    }
    Expected<BackendStatementResponse> backendResponse = parseBackendResponse(*response, requestId);
    if (!backendResponse) {
        counters_.add("answers.mismatched");
        hooks_.onResponse(lostResponse);
        dropConnection(lostResponse.connection);
        return;
    }
    if (found != connections_.end()) {
        found->second.lastUsedAt = Clock::now();
    }
    backendResponse->connection = lostResponse.connection;
    backendResponse->work = lostResponse.work;
    hooks_.onResponse(std::move(*backendResponse));
}

void BackendClient::pollReplica(const AwaitBackendPosition &action)
{
    if (faults_.blocksOutgoing(action.address.host) || faults_.blocksIncoming(action.address.host)) {
        runAfter(ConnectTimeout, [this, backend = action.backend]() { hooks_.onReplicaPoint(backend, std::nullopt); });
        return;
    }
    std::shared_ptr<HttpConnection> &connection = replicaConnections_[action.backend];
    if (connection && connection->isOpen()) {
        requestReplicaPoint(action, connection);
        return;
    }
    connection = std::make_shared<HttpConnection>(thread_.context());
    connection->connect(action.address, ConnectTimeout, [this, action, connection](bool isConnected) {
        if (!isConnected) {
            hooks_.onReplicaPoint(action.backend, std::nullopt);
            return;
        }
        requestReplicaPoint(action, connection);
    });
}

void BackendClient::requestReplicaPoint(
    const AwaitBackendPosition &action, const std::shared_ptr<HttpConnection> &connection)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/status?min_position=" + std::to_string(action.minPosition)
        + "&wait_ms=" + std::to_string(ReplicaPollWait.count());
    connection->request(request, ReplicaPollWait + ConnectTimeout,
        [this, backend = action.backend](std::optional<HttpResponse> response) {
            if (!response) {
                hooks_.onReplicaPoint(backend, std::nullopt);
                return;
            }
            const Expected<LogPoint> point = parseStatusPoint(*response);
            hooks_.onReplicaPoint(backend, point ? std::optional(*point) : std::nullopt);
        });
}

} // namespace daisyrelay
