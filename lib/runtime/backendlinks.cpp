#include "backendlinks.h"

namespace daisyrelay {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

BackendLinks::BackendLinks(asio::io_context &context, const PlatformHooks &platform, Hooks hooks)
    : context_(context), platform_(platform), hooks_(std::move(hooks))
{
}

void BackendLinks::open(const OpenBackendConnection &request)
{
    const ConnectionId id = request.connection;
    Link &link = links_[id];
    link.stream = std::make_shared<ByteStream>(asio::ip::tcp::socket(context_));
    ByteStream::Hooks hooks;
    hooks.onBytes = [this, id](std::string_view bytes) { return take(id, bytes); };
    hooks.onClosed = [this, id](const ErrorCode &error) {
        const auto found = links_.find(id);
        const bool opened = found != links_.end() && found->second.opened;
        const ConnectionLoss early
            = error == asio::error::timed_out ? ConnectionLoss::TimedOut : ConnectionLoss::Refused;
        lose(id, opened ? ConnectionLoss::Broken : early);
    };
    link.stream->setHooks(std::move(hooks));
    std::string opening;
    platform_.encodeOpening(opening, request.backend);
    link.stream->write(opening);
    link.stream->connect({ request.backend.host, request.backend.port }, request.timeout);
}

void BackendLinks::close(ConnectionId connection)
{
    const auto found = links_.find(connection);
    if (found == links_.end()) {
        return;
    }
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    const bool opened = found->second.opened;
    links_.erase(found);
    if (!opened) {
        stream->close();
        return;
    }
    std::string closing;
    platform_.encodeClosing(closing);
    stream->setHooks({});
    stream->write(closing);
    stream->closeAfterWrites();
}

void BackendLinks::run(const RunExchange &exchange)
{
    const auto found = links_.find(exchange.connection);
    if (found == links_.end()) {
        return;
    }
    Link &link = found->second;
    link.expected = exchange.statements.size();
    link.answers.clear();
    std::string bytes;
    for (const Statement &statement : exchange.statements) {
        platform_.encodeStatement(bytes, statement);
    }
    link.stream->write(bytes);
}

std::size_t BackendLinks::take(ConnectionId connection, std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size()) {
        const auto found = links_.find(connection);
        if (found == links_.end()) {
            return bytes.size();
        }
        Decoded<BackendMessage> decoded = platform_.decodeBackend(bytes.substr(used));
        if (decoded.consumed == 0) {
            return used;
        }
        used += decoded.consumed;
        if (!takeMessage(connection, found->second, std::move(decoded.message))) {
            return bytes.size();
        }
    }
    return used;
}

static ConnectionLoss lossOf(ResponseCode code)
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

bool BackendLinks::takeMessage(ConnectionId connection, Link &link, BackendMessage message)
{
    if (std::holds_alternative<Malformed>(message)) {
        lose(connection, link.opened ? ConnectionLoss::Broken : ConnectionLoss::WrongBackend);
        return false;
    }
    if (!link.opened) {
        if (const auto *error = std::get_if<BackendError>(&message); error != nullptr) {
            lose(connection, lossOf(error->code));
            return false;
        }
        if (const auto *ready = std::get_if<BackendReady>(&message); ready != nullptr) {
            link.opened = true;
            hooks_.onOpened(connection, ready->position);
        }
        return true;
    }
    if (link.answers.size() >= link.expected) {
        // Nothing was asked, so this can only be the answer to something that was given up.
        lose(connection, ConnectionLoss::Broken);
        return false;
    }
    if (auto *row = std::get_if<BackendRow>(&message); row != nullptr) {
        link.current.rows.push_back(std::move(row->text));
    } else if (auto *done = std::get_if<BackendDone>(&message); done != nullptr) {
        link.current.signature = std::move(done->proof);
        link.ended = true;
    } else if (auto *error = std::get_if<BackendError>(&message); error != nullptr) {
        link.current.code = error->code;
        link.current.detail = std::move(error->detail);
        link.ended = true;
    } else if (const auto *ready = std::get_if<BackendReady>(&message); ready != nullptr) {
        if (!link.ended) {
            lose(connection, ConnectionLoss::Broken);
            return false;
        }
        link.current.state = ready->state;
        link.current.position = ready->position;
        link.answers.push_back(std::exchange(link.current, {}));
        link.ended = false;
        if (link.answers.size() == link.expected) {
            link.expected = 0;
            hooks_.onExchange(connection, std::exchange(link.answers, {}));
        }
    }
    return true;
}

void BackendLinks::lose(ConnectionId connection, ConnectionLoss loss)
{
    const auto found = links_.find(connection);
    if (found == links_.end()) {
        return;
    }
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    links_.erase(found);
    stream->close();
    hooks_.onLost(connection, loss);
}

} // namespace daisyrelay
