#include "backendconnections.h"

namespace daisyrelay {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

BackendConnections::BackendConnections(asio::io_context &context, const PlatformHooks &platform, Hooks hooks)
    : context_(context), platform_(platform), hooks_(std::move(hooks))
{
}

void BackendConnections::open(const OpenBackendConnection &request)
{
    const ConnectionId id = request.connection;
    ConnectionState &state = connections_[id];
    state.stream = std::make_shared<ByteStream>(asio::ip::tcp::socket(context_));
    ByteStream::Hooks hooks;
    hooks.onBytes = [this, id](std::string_view bytes) { return processBytes(id, bytes); };
    hooks.onClosed = [this, id](const ErrorCode &error) {
        const auto found = connections_.find(id);
        const bool isOpened = found != connections_.end() && found->second.isOpened;
        const ConnectionLoss lossBeforeOpened
            = error == asio::error::timed_out ? ConnectionLoss::TimedOut : ConnectionLoss::Refused;
        dropConnection(id, isOpened ? ConnectionLoss::Broken : lossBeforeOpened);
    };
    state.stream->setHooks(std::move(hooks));
    std::string openMessage;
    platform_.encodeOpenConnection(openMessage, request.backend, request.workspace);
    state.stream->write(openMessage);
    state.stream->connect({ request.backend.host, request.backend.port }, request.timeout);
}

void BackendConnections::close(ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    const bool isOpened = found->second.isOpened;
    connections_.erase(found);
    if (!isOpened) {
        stream->close();
        return;
    }
    std::string closeMessage;
    platform_.encodeCloseConnection(closeMessage);
    stream->setHooks({});
    stream->write(closeMessage);
    stream->closeAfterWrites();
}

void BackendConnections::runExchange(const RunExchange &exchange)
{
    const auto found = connections_.find(exchange.connection);
    if (found == connections_.end()) {
        return;
    }
    ConnectionState &state = found->second;
    state.expectedResponses = exchange.statements.size();
    state.responses.clear();
    state.asksStatus.clear();
    std::string bytes;
    for (const Statement &statement : exchange.statements) {
        state.asksStatus.push_back(statement.type == StatementType::Status);
        platform_.encodeStatement(bytes, statement);
    }
    state.stream->write(bytes);
}

std::size_t BackendConnections::processBytes(ConnectionId connection, std::string_view bytes)
{
    std::size_t consumedBytes = 0;
    while (consumedBytes < bytes.size()) {
        const auto found = connections_.find(connection);
        if (found == connections_.end()) {
            return bytes.size();
        }
        Decoded<BackendMessage> decoded = platform_.decodeBackendMessage(bytes.substr(consumedBytes));
        if (decoded.consumedBytes == 0) {
            return consumedBytes;
        }
        consumedBytes += decoded.consumedBytes;
        if (!handleMessage(connection, found->second, std::move(decoded.message))) {
            return bytes.size();
        }
    }
    return consumedBytes;
}

static ConnectionLoss toConnectionLoss(ResponseCode code)
{
    switch (code) {
    case ResponseCode::WrongBackend:
        return ConnectionLoss::WrongBackend;
    case ResponseCode::ConnectionLimit:
        return ConnectionLoss::ConnectionLimit;
    default:
        return ConnectionLoss::Refused;
    }
}

bool BackendConnections::handleMessage(ConnectionId connection, ConnectionState &state, BackendMessage message)
{
    if (std::holds_alternative<MalformedMessage>(message)) {
        dropConnection(connection, state.isOpened ? ConnectionLoss::Broken : ConnectionLoss::WrongBackend);
        return false;
    }
    if (!state.isOpened) {
        if (const auto *error = std::get_if<BackendError>(&message); error != nullptr) {
            dropConnection(connection, toConnectionLoss(error->code));
            return false;
        }
        if (const auto *ready = std::get_if<BackendReady>(&message); ready != nullptr) {
            state.isOpened = true;
            hooks_.onOpened(connection, ready->position);
        }
        return true;
    }
    if (state.responses.size() >= state.expectedResponses) {
        // No exchange is in flight, so the message can only belong to an exchange that was abandoned.
        dropConnection(connection, ConnectionLoss::Broken);
        return false;
    }
    if (auto *row = std::get_if<BackendRow>(&message); row != nullptr) {
        state.currentResponse.rows.push_back(std::move(row->text));
    } else if (auto *success = std::get_if<BackendDone>(&message); success != nullptr) {
        state.currentResponse.signature = std::move(success->signature);
        state.hasOutcome = true;
    } else if (auto *error = std::get_if<BackendError>(&message); error != nullptr) {
        state.currentResponse.code = error->code;
        state.currentResponse.detail = std::move(error->detail);
        state.hasOutcome = true;
    } else if (const auto *ready = std::get_if<BackendReady>(&message); ready != nullptr) {
        if (!state.hasOutcome) {
            dropConnection(connection, ConnectionLoss::Broken);
            return false;
        }
        state.currentResponse.state = ready->state;
        state.currentResponse.position = ready->position;
        if (state.asksStatus[state.responses.size()] && state.currentResponse.rows.size() == 1) {
            const std::optional<BackendStatus> status
                = platform_.decodeBackendStatus(state.currentResponse.rows.front());
            state.currentResponse.received = status ? std::optional(status->received) : std::nullopt;
        }
        state.responses.push_back(std::exchange(state.currentResponse, {}));
        state.hasOutcome = false;
        if (state.responses.size() == state.expectedResponses) {
            state.expectedResponses = 0;
            hooks_.onExchange(connection, std::exchange(state.responses, {}));
        }
    }
    return true;
}

void BackendConnections::dropConnection(ConnectionId connection, ConnectionLoss loss)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    connections_.erase(found);
    stream->close();
    hooks_.onLost(connection, loss);
}

} // namespace daisyrelay
