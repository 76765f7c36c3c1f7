// The sessions of callers: accepts connections, reads one statement at a time and writes the responses.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

#include "bytestream.h"

#include <unordered_map>
#include <vector>

namespace daisyrelay {

/// Decodes the next statement of a session only after the response to the previous one was sent. Bytes that arrive
/// meanwhile are buffered up to a limit for each session, beyond which the connection is not read. If the buffers of
/// all sessions are full, a session with a large unfinished message is rejected.
class CallerSessions
{
public:
    struct Hooks {
        std::function<void(SessionId session, const SessionStart &start)> onOpened;
        std::function<void(SessionId session, Statement statement)> onStatement;
        std::function<void(SessionId session)> onClosed; ///< Also called after close() and after a malformed message.
        std::function<void(std::string_view reason)> onMalformed;
    };

    CallerSessions(boost::asio::io_context &context, const PlatformHooks &platform, Hooks hooks);

    Expected<void> listen(const Endpoint &address);
    /// Closes the listening socket after accepting the connections in its backlog.
    void stopListening();

    /// Accepts the session, so that its caller can send statements.
    void sendGreeting(SessionId session);
    /// Sends an error and closes the session; onClosed is not called.
    void rejectSession(SessionId session, ResponseCode code, std::string_view detail);
    /// Sends \p response and reads the next statement.
    void sendResponse(SessionId session, const CallerResponse &response);
    /// Closes the session once all responses are written. A session with a complete statement that has arrived and was
    /// not read is not closed; its statement is read next.
    void close(SessionId session);

    /// Reads what has arrived on all connections.
    void readArrivedBytes();

    /// What the connections of callers still hold.
    struct Backlog {
        std::size_t connections = 0; ///< Open connections, including those that close after their writes.
        std::size_t unsentBytes = 0;
        std::size_t unreadBytes = 0; ///< Of messages that may be complete.
        std::size_t bufferedBytes = 0; ///< Read from open connections and not decoded.
    };
    [[nodiscard]] Backlog backlog() const;

private:
    struct SessionState {
        std::shared_ptr<ByteStream> stream;
        bool isOpened = false;
        bool isAwaitingResponse = false; ///< No further message is read until the response was sent.
        std::size_t bufferedBytes = 0; ///< Arrived and not decoded.
    };

    void accept();
    void addSession(boost::asio::ip::tcp::socket socket);
    /// Decodes messages and accounts for the bytes that remain. \returns the number of bytes consumed.
    std::size_t processBytes(SessionId session, std::string_view bytes);
    std::size_t decodeMessages(SessionId session, std::string_view bytes);
    /// Suspends decoding until the response to the message that was just read is sent.
    void awaitResponse(SessionState &state);
    void forget(SessionId session);
    /// Returns how many bytes a session may buffer while it awaits a response.
    [[nodiscard]] std::size_t bufferShare() const;
    void resumeReading(SessionId session);
    [[nodiscard]] bool hasUnreadMessage(const ByteStream &stream) const;
    void closeAfterWrites(const std::shared_ptr<ByteStream> &stream);

    boost::asio::io_context &context_;
    const PlatformHooks &platform_;
    Hooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    std::unordered_map<SessionId, SessionState> sessions_;
    std::size_t bufferedBytes_ = 0; ///< Of all sessions.
    std::vector<std::weak_ptr<ByteStream>> closingStreams_; ///< Ended sessions whose responses are not all written.
    SessionId nextSessionId_ = 1;
};

} // namespace daisyrelay
