// Connections to backend servers: opens them, sends statements and collects the responses.
#pragma once

#include "daisyrelay/runtime/platformhooks.h"

#include "bytestream.h"

#include <unordered_map>

namespace daisyrelay {

/// Runs exchanges on connections that are identified by ConnectionId.
class BackendConnections
{
public:
    struct Hooks {
        std::function<void(ConnectionId connection, std::optional<LogPoint> position)> onOpened;
        std::function<void(ConnectionId connection, ConnectionLoss loss)> onLost;
        std::function<void(ConnectionId connection, std::vector<BackendResponse> responses)> onExchange;
    };

    BackendConnections(boost::asio::io_context &context, const PlatformHooks &platform, Hooks hooks);

    /// Opens a connection; onOpened or onLost reports the result.
    void open(const OpenBackendConnection &request);
    /// Closes a connection; onLost is not called.
    void close(ConnectionId connection);
    /// Sends all statements of \p exchange at once. onExchange is called once with all responses,
    /// unless the connection is lost.
    void runExchange(const RunExchange &exchange);

private:
    struct ConnectionState {
        std::shared_ptr<ByteStream> stream;
        bool isOpened = false;
        std::size_t expectedResponses = 0; ///< Responses of the exchange in flight; zero without one.
        std::vector<bool> asksStatus; ///< Whether each statement of the exchange in flight is a Status.
        std::vector<BackendResponse> responses;
        BackendResponse currentResponse;
        bool hasOutcome = false; ///< Whether currentResponse has its result or error.
        ConnectionLoss refusal = ConnectionLoss::Broken;
    };

    /// \returns the number of bytes consumed.
    std::size_t processBytes(ConnectionId connection, std::string_view bytes);

    /// \returns false if the connection was dropped.
    bool handleMessage(ConnectionId connection, ConnectionState &state, BackendMessage message);
    void dropConnection(ConnectionId connection, ConnectionLoss loss);

    boost::asio::io_context &context_;
    const PlatformHooks &platform_;
    Hooks hooks_;
    std::unordered_map<ConnectionId, ConnectionState> connections_;
};

} // namespace daisyrelay
