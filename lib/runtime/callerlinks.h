// The sessions of callers: accepts them, reads one statement at a time, writes answers.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

#include "bytestream.h"

#include <unordered_map>

namespace daisyrelay {

class CallerSessions
{
public:
    struct Hooks {
        std::function<void(SessionId session, const std::string &database)> onOpened;
        std::function<void(SessionId session, Statement statement)> onStatement;
        std::function<void(SessionId session)> onClosed;
        std::function<void(std::string_view reason)> onMalformed;
    };

    CallerSessions(boost::asio::io_context &context, const PlatformHooks &platform, Hooks hooks);

    Expected<void> listen(const Endpoint &address);
    void stopListening();

    void sendGreeting(SessionId session);
    void rejectSession(SessionId session, ResponseCode code, std::string_view detail);
    void sendResponse(SessionId session, const CallerResponse &response);
    void close(SessionId session);

private:
    struct SessionState {
        std::shared_ptr<ByteStream> stream;
        bool isOpened = false;
        bool isAwaitingResponse = false; ///< For the answer to what was read last.
    };

    void accept();
    void addSession(boost::asio::ip::tcp::socket socket);
    std::size_t processBytes(SessionId session, std::string_view bytes);
    void resumeReading(SessionId session);

    boost::asio::io_context &context_;
    const PlatformHooks &platform_;
    Hooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_map<SessionId, SessionState> sessions_;
    SessionId nextSession_ = 1;
};

} // namespace daisyrelay
