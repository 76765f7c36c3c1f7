// The sessions of callers: accepts them, reads one statement at a time, writes answers.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

#include "bytestream.h"

#include <unordered_map>

namespace daisyrelay {

class CallerLinks
{
public:
    struct Hooks {
        std::function<void(SessionId session, const std::string &database)> onOpened;
        std::function<void(SessionId session, Statement statement)> onStatement;
        std::function<void(SessionId session)> onClosed;
        std::function<void(std::string_view reason)> onMalformed;
    };

    CallerLinks(boost::asio::io_context &context, const PlatformHooks &platform, Hooks hooks);

    Expected<void> listen(const Endpoint &address);
    void stopListening();

    void greet(SessionId session);
    void reject(SessionId session, ResponseCode code, std::string_view detail);
    void answer(SessionId session, const CallerResponse &answer);
    void close(SessionId session);

private:
    struct Link {
        std::shared_ptr<ByteStream> stream;
        bool opened = false;
        bool waiting = false; ///< For the answer to what was read last.
    };

    void accept();
    void add(boost::asio::ip::tcp::socket socket);
    std::size_t take(SessionId session, std::string_view bytes);
    void resume(SessionId session);

    boost::asio::io_context &context_;
    const PlatformHooks &platform_;
    Hooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_map<SessionId, Link> links_;
    SessionId nextSession_ = 1;
};

} // namespace daisyrelay
