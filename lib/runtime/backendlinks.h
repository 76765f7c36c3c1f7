// The connections to backend servers: opens them, sends statements, collects answers.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

#include "bytestream.h"

#include <unordered_map>

namespace daisyrelay {

class BackendLinks
{
public:
    struct Hooks {
        std::function<void(ConnectionId connection, std::optional<LogPoint> position)> onOpened;
        std::function<void(ConnectionId connection, ConnectionLoss loss)> onLost;
        std::function<void(ConnectionId connection, std::vector<BackendResponse> answers)> onExchange;
    };

    BackendLinks(boost::asio::io_context &context, const PlatformHooks &platform, Hooks hooks);

    void open(const OpenBackendConnection &request);
    void close(ConnectionId connection);
    void run(const RunExchange &exchange);

private:
    struct Link {
        std::shared_ptr<ByteStream> stream;
        bool opened = false;
        std::size_t expected = 0; ///< Answers of the exchange under way.
        std::vector<BackendResponse> answers;
        BackendResponse current;
        bool ended = false; ///< Whether the current answer has its outcome.
        ConnectionLoss refusal = ConnectionLoss::Broken;
    };

    std::size_t take(ConnectionId connection, std::string_view bytes);

    /// \returns false if the link is gone or must be closed.
    bool takeMessage(ConnectionId connection, Link &link, BackendMessage message);
    void lose(ConnectionId connection, ConnectionLoss loss);

    boost::asio::io_context &context_;
    const PlatformHooks &platform_;
    Hooks hooks_;
    std::unordered_map<ConnectionId, Link> links_;
};

} // namespace daisyrelay
