#include "callersessions.h"

#include <algorithm>
#include <limits>

#include <boost/asio/post.hpp>

namespace daisyrelay {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Limit on the response bytes that a caller has not read yet. A session has one statement in flight, so a caller that
/// exceeds the limit does not read its responses and is disconnected.
static constexpr std::size_t MaxUnsentBytes = std::size_t { 4 } * 1024 * 1024;

/// Without free descriptors, accepting fails again at once for as long as connections wait.
static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(20);

/// Limit on the bytes of all sessions that have arrived and were not decoded. A process has 256 MB at the users'
/// deployments.
static constexpr std::size_t MaxBufferedBytes = std::size_t { 8 } * 1024 * 1024;
/// Limits on the bytes of one session that awaits a response; the first one holds while few sessions are open.
static constexpr std::size_t MaxSessionBuffer = std::size_t { 64 } * 1024;
static constexpr std::size_t MinSessionBuffer = std::size_t { 4 } * 1024;

/// A caller that reads slowly may keep its window closed for longer than a VM or a server that is alive.
static constexpr Duration CallerUserTimeout = std::chrono::seconds(4);

CallerSessions::CallerSessions(asio::io_context &context, const PlatformHooks &platform, Hooks hooks)
    : context_(context), platform_(platform), hooks_(std::move(hooks)), acceptor_(context), acceptTimer_(context)
{
}

Expected<void> CallerSessions::listen(const Endpoint &address)
{
    if (Expected<void> listening = listenOn(acceptor_, address); !listening) {
        return listening;
    }
    accept();
    return {};
}

void CallerSessions::accept()
{
    acceptor_.async_accept([this](const ErrorCode &error, tcp::socket socket) {
        // The event loop may have accepted the connection just before the listening socket was closed.
        if (!error) {
            addSession(std::move(socket));
        }
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!error) {
            accept();
            return;
        }
        acceptTimer_.expires_after(AcceptRetryDelay);
        acceptTimer_.async_wait([this](const ErrorCode &timerError) {
            if (!timerError && acceptor_.is_open()) {
                accept();
            }
        });
    });
}

void CallerSessions::stopListening()
{
    ErrorCode error;
    acceptor_.non_blocking(true, error);
    while (!error && acceptor_.is_open()) {
        // Closing the listening socket would reset the connections in its backlog, so they are accepted first.
        tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        if (!error) {
            addSession(std::move(socket));
        }
    }
    acceptor_.close(error);
}

void CallerSessions::addSession(tcp::socket socket)
{
    const SessionId id = nextSessionId_++;
    SessionState &state = sessions_[id];
    state.stream = std::make_shared<ByteStream>(std::move(socket), CallerUserTimeout);
    ByteStream::Hooks hooks;
    hooks.onBytes = [this, id](std::string_view bytes) { return processBytes(id, bytes); };
    hooks.onClosed = [this, id](const ErrorCode &) {
        forget(id);
        hooks_.onClosed(id);
    };
    state.stream->setHooks(std::move(hooks));
    state.stream->start();
}

void CallerSessions::forget(SessionId session)
{
    if (const auto found = sessions_.find(session); found != sessions_.end()) {
        bufferedBytes_ -= found->second.bufferedBytes;
        sessions_.erase(found);
    }
}

std::size_t CallerSessions::bufferShare() const
{
    return std::clamp(
        MaxBufferedBytes / std::max<std::size_t>(sessions_.size(), 1), MinSessionBuffer, MaxSessionBuffer);
}

void CallerSessions::awaitResponse(SessionState &state)
{
    state.isAwaitingResponse = true;
    state.stream->setMaxUnconsumedBytes(bufferShare());
}

std::size_t CallerSessions::processBytes(SessionId session, std::string_view bytes)
{
    const std::size_t consumedBytes = decodeMessages(session, bytes);
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return bytes.size();
    }
    SessionState &state = found->second;
    const std::size_t remainingBytes = bytes.size() - consumedBytes;
    bufferedBytes_ += remainingBytes - state.bufferedBytes;
    state.bufferedBytes = remainingBytes;
    if (!state.isAwaitingResponse && remainingBytes > bufferShare() && bufferedBytes_ > MaxBufferedBytes) {
        hooks_.onMalformed("no room for a large message");
        rejectSession(session, ResponseCode::Busy, "no room for a large message");
        hooks_.onClosed(session);
        return bytes.size();
    }
    return consumedBytes;
}

std::size_t CallerSessions::decodeMessages(SessionId session, std::string_view bytes)
{
    std::size_t consumedBytes = 0;
    while (consumedBytes < bytes.size()) {
        const auto found = sessions_.find(session);
        if (found == sessions_.end()) {
            return bytes.size();
        }
        SessionState &state = found->second;
        if (state.isAwaitingResponse) {
            return consumedBytes;
        }
        Decoded<CallerMessage> decoded = platform_.decodeCallerMessage(bytes.substr(consumedBytes));
        if (decoded.consumedBytes == 0) {
            return consumedBytes;
        }
        consumedBytes += decoded.consumedBytes;
        if (auto *statement = std::get_if<Statement>(&decoded.message); statement != nullptr && state.isOpened) {
            awaitResponse(state);
            hooks_.onStatement(session, std::move(*statement));
        } else if (const auto *sessionStart = std::get_if<SessionStart>(&decoded.message);
                   sessionStart != nullptr && !state.isOpened) {
            awaitResponse(state);
            state.isOpened = true;
            hooks_.onOpened(session, *sessionStart);
        } else if (std::holds_alternative<SessionEnd>(decoded.message)) {
            const std::shared_ptr<ByteStream> stream = state.stream;
            forget(session);
            closeAfterWrites(stream);
            hooks_.onClosed(session);
            return bytes.size();
        } else {
            const auto *malformedMessage = std::get_if<MalformedMessage>(&decoded.message);
            hooks_.onMalformed(malformedMessage != nullptr ? malformedMessage->reason : "out of order");
            rejectSession(session, ResponseCode::BadMessage,
                malformedMessage != nullptr ? malformedMessage->reason : "out of order");
            hooks_.onClosed(session);
            return bytes.size();
        }
    }
    return consumedBytes;
}

void CallerSessions::resumeReading(SessionId session)
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    found->second.isAwaitingResponse = false;
    found->second.stream->setMaxUnconsumedBytes(std::numeric_limits<std::size_t>::max());
    if (!found->second.stream->hasUnconsumedBytes()) {
        return;
    }
    // Posted because this function may be called from within processBytes() of the same session.
    asio::post(context_, [this, session]() {
        if (const auto current = sessions_.find(session); current != sessions_.end()) {
            current->second.stream->processUnconsumedBytes();
        }
    });
}

void CallerSessions::sendGreeting(SessionId session)
{
    if (const auto found = sessions_.find(session); found != sessions_.end()) {
        std::string bytes;
        platform_.encodeGreeting(bytes);
        found->second.stream->write(bytes);
        resumeReading(session);
    }
}

void CallerSessions::rejectSession(SessionId session, ResponseCode code, std::string_view detail)
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    forget(session);
    std::string bytes;
    platform_.encodeRejection(bytes, code, detail);
    stream->write(bytes);
    closeAfterWrites(stream);
}

void CallerSessions::sendResponse(SessionId session, const CallerResponse &response)
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    std::string bytes;
    platform_.encodeResponse(bytes, response);
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    stream->write(bytes);
    if (stream->unsentBytes() > MaxUnsentBytes) {
        forget(session);
        stream->close();
        hooks_.onClosed(session);
        return;
    }
    resumeReading(session);
}

void CallerSessions::close(SessionId session)
{
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) {
        return;
    }
    const std::shared_ptr<ByteStream> stream = found->second.stream;
    if (!found->second.isAwaitingResponse && hasUnreadMessage(*stream)) {
        return;
    }
    forget(session);
    closeAfterWrites(stream);
    hooks_.onClosed(session);
}

// Bytes in the socket may complete a message. A caller that sends half a message must not keep its session open.
bool CallerSessions::hasUnreadMessage(const ByteStream &stream) const
{
    return stream.isOpen()
        && (stream.unreadBytes() > stream.unconsumedBytes().size()
            || platform_.decodeCallerMessage(stream.unconsumedBytes()).consumedBytes > 0);
}

void CallerSessions::readArrivedBytes()
{
    std::vector<std::shared_ptr<ByteStream>> streams;
    for (const auto &[id, session] : sessions_) {
        streams.push_back(session.stream);
    }
    for (const std::shared_ptr<ByteStream> &stream : streams) {
        stream->readArrivedBytes();
    }
}

void CallerSessions::closeAfterWrites(const std::shared_ptr<ByteStream> &stream)
{
    stream->closeAfterWrites();
    std::erase_if(closingStreams_, [](const std::weak_ptr<ByteStream> &closing) { return closing.expired(); });
    if (stream->isOpen()) {
        closingStreams_.push_back(stream);
    }
}

CallerSessions::Backlog CallerSessions::backlog() const
{
    Backlog backlog;
    backlog.bufferedBytes = bufferedBytes_;
    const auto add = [&backlog](const ByteStream &stream) {
        if (stream.isOpen()) {
            ++backlog.connections;
            backlog.unsentBytes += stream.unsentBytes();
        }
    };
    for (const auto &[id, session] : sessions_) {
        add(*session.stream);
        backlog.unreadBytes += hasUnreadMessage(*session.stream) ? session.stream->unreadBytes() : 0;
    }
    for (const std::weak_ptr<ByteStream> &closing : closingStreams_) {
        if (const std::shared_ptr<ByteStream> stream = closing.lock(); stream) {
            add(*stream);
        }
    }
    return backlog;
}

} // namespace daisyrelay
