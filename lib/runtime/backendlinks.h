// The connections to backend servers: opens them, sends statements, collects answers.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

#include "bytestream.h"

#include <unordered_map>

namespace daisyrelay {

class BackendConnections
{
public:
    struct Hooks {
        std::function<void(ConnectionId connection, std::optional<LogPoint> position)> onOpened;
        std::function<void(ConnectionId connection, ConnectionLoss loss)> onLost;
        std::function<void(ConnectionId connection, std::vector<BackendResponse> responses)> onExchange;
    };

    BackendConnections(boost::asio::io_context &context, const PlatformHooks &platform, Hooks hooks);

    void open(const OpenBackendConnection &request);
    void close(ConnectionId connection);
    void runExchange(const RunExchange &exchange);

private:
    struct ConnectionState {
        std::shared_ptr<ByteStream> stream;
        bool isOpened = false;
        std::size_t expectedResponses = 0; ///< Answers of the exchange under way.
        std::vector<BackendResponse> responses;
        BackendResponse currentResponse;
        bool hasOutcome = false; ///< Whether the current answer has its outcome.
        ConnectionLoss refusal = ConnectionLoss::Broken;
    };

    std::size_t processBytes(ConnectionId connection, std::string_view bytes);

    /// \returns false if the link is gone or must be closed.
    bool handleMessage(ConnectionId connection, ConnectionState &state, BackendMessage message);
    void dropConnection(ConnectionId connection, ConnectionLoss loss);

    boost::asio::io_context &context_;
    const PlatformHooks &platform_;
    Hooks hooks_;
    std::unordered_map<ConnectionId, ConnectionState> connections_;
};

} // namespace daisyrelay
