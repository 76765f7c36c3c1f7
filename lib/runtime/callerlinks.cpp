#include "callerlinks.h"

#include <boost/asio/post.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// A caller has one statement under way, so that more than this ahead of an answer is a mistake.
static constexpr std::size_t MostUnsent = std::size_t { 4 } * 1024 * 1024;

CallerLinks::CallerLinks(asio::io_context &context, const PlatformHooks &platform, Hooks hooks)
    : context_(context), platform_(platform), hooks_(std::move(hooks)), acceptor_(context)
{
}

Expected<void> CallerLinks::listen(const Endpoint &address)
{
    if (Expected<void> listening = listenOn(acceptor_, address); !listening) {
        return listening;
    }
    accept();
    return {};
}

void CallerLinks::accept()
{
    acceptor_.async_accept([this](const ErrorCode &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!error) {
            add(std::move(socket));
        }
        accept();
    });
}

void CallerLinks::stopListening()
{
    ErrorCode error;
    acceptor_.non_blocking(true, error);
    while (!error && acceptor_.is_open()) {
        // Closing would reset the connections that wait to be accepted.
        tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        if (!error) {
            add(std::move(socket));
        }
    }
    acceptor_.close(error);
}

void CallerLinks::add(tcp::socket socket)
{
    const SessionId id = nextSession_++;
    Link &link = links_[id];
    link.stream = std::make_shared<ByteStream>(std::move(socket));
    ByteStream::Hooks hooks;
    hooks.onBytes = [this, id](std::string_view bytes) { return take(id, bytes); };
    hooks.onClosed = [this, id](const ErrorCode &) {
        links_.erase(id);
        hooks_.onClosed(id);
    };
    link.stream->setHooks(std::move(hooks));
    link.stream->start();
}

std::size_t CallerLinks::take(SessionId session, std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size()) {
        const auto found = links_.find(session);
        if (found == links_.end()) {
            return bytes.size();
        }
        Link &link = found->second;
        if (link.waiting) {
            return used;
        }
        Decoded<CallerMessage> decoded = platform_.decodeCaller(bytes.substr(used));
        if (decoded.consumed == 0) {
            return used;
        }
        used += decoded.consumed;
        if (auto *statement = std::get_if<Statement>(&decoded.message); statement != nullptr && link.opened) {
            link.waiting = true;
            hooks_.onStatement(session, std::move(*statement));
        } else if (const auto *opens = std::get_if<CallerOpens>(&decoded.message); opens != nullptr && !link.opened) {
            link.waiting = true;
            link.opened = true;
            hooks_.onOpened(session, opens->database);
        } else if (std::holds_alternative<CallerLeaves>(decoded.message)) {
            const std::shared_ptr<ByteStream> stream = link.stream;
            links_.erase(found);
            stream->closeAfterWrites();
            hooks_.onClosed(session);
            return bytes.size();
        } else {
            const auto *malformed = std::get_if<Malformed>(&decoded.message);
            hooks_.onMalformed(malformed != nullptr ? malformed->reason : "out of order");
            reject(session, ResponseCode::BadMessage, malformed != nullptr ? malformed->reason : "out of order");
            hooks_.onClosed(session);
            return bytes.size();
        }
    }
    return used;
}

void CallerLinks::resume(SessionId session)
{
    const auto found = links_.find(session);
    if (found == links_.end()) {
        return;
    }
    found->second.waiting = false;
    if (!found->second.stream->hasUnused()) {
        return;
    }
    // The answer that is being written may itself have come from within the reading of bytes.
    asio::post(context_, [this, session]() {
        if (const auto again = links_.find(session); again != links_.end()) {
            again->second.stream->retryBytes();
        }
    });
}

void CallerLinks::greet(SessionId session)
{
    if (const auto found = links_.find(session); found != links_.end()) {
        std::string bytes;
        platform_.encodeGreeting(bytes);
        found->second.stream->write(bytes);
        resume(session);
    }
}

void CallerLinks::reject(SessionId session, ResponseCode code, std::string_view detail)
{
    const auto found = links_.find(session);
    if (found == links_.end()) {
        return;
    }
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    links_.erase(found);
    std::string bytes;
    platform_.encodeRejection(bytes, code, detail);
    stream->write(bytes);
    stream->closeAfterWrites();
}

void CallerLinks::answer(SessionId session, const CallerResponse &answer)
{
    const auto found = links_.find(session);
    if (found == links_.end()) {
        return;
    }
    std::string bytes;
    platform_.encodeAnswer(bytes, answer);
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    stream->write(bytes);
    if (stream->unsent() > MostUnsent) {
        links_.erase(session);
        stream->close();
        hooks_.onClosed(session);
        return;
    }
    resume(session);
}

void CallerLinks::close(SessionId session)
{
    const auto found = links_.find(session);
    if (found == links_.end()) {
        return;
    }
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    links_.erase(found);
    stream->closeAfterWrites();
    hooks_.onClosed(session);
}

} // namespace daisyrelay
