// Messages between entries: statements forwarded to an entry that holds connections to the backend server, and requests
// for the log position of a primary.
#pragma once

#include "daisyrelay/wire/routeconfiguration.h"
#include "daisyrelay/wire/sessionstatement.h"

#include <array>
#include <map>
#include <optional>
#include <utility>

namespace daisyrelay {

/// Requests that a home of a backend server run a statement of a session at the sender.
struct ForwardedStatement {
    std::uint64_t sessionId = 0; ///< Session identifier at the sender.
    std::uint64_t sequence = 0; ///< Increases with each request of the sender.
    DatabaseRoute route; ///< Route in force at the sender.
    WorkspaceId workspace; ///< Workspace of the session; empty if the configuration requires no keys.
    Statement statement;
    bool inTransaction = false;
    bool beginsTransaction = false; ///< First statement of the transaction.
    bool isReadOnly = false; ///< Whether the transaction is read-only.
    bool needsPrimary = false; ///< The server must confirm that it is the primary.
    std::vector<std::pair<std::string, std::string>> values; ///< Session values.
    bool isPreparedWrite = false; ///< For Execute: whether the prepared statement writes.
    std::string preparedShape; ///< For Execute: shape of the prepared statement.
    std::optional<LogPoint> lastWrite; ///< Position of the session's last write to the service of the route.
    std::uint64_t lastWriteGeneration = 0; ///< Generation of the primary that acknowledged the last write.
    std::chrono::milliseconds remainingTimeout { 0 }; ///< Time left until the response is due.
    std::chrono::milliseconds maxQueueTime { 0 }; ///< Time that the statement may still be queued.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sessionId, sequence, route, workspace, statement, inTransaction, beginsTransaction, isReadOnly,
            needsPrimary, values, isPreparedWrite, preparedShape, lastWrite, lastWriteGeneration, remainingTimeout,
            maxQueueTime);
    }
};

/// The load of a home when it sent a response.
struct HomeLoad {
    static constexpr std::size_t Priorities = 4; ///< Less urgent priorities share the last value.

    std::uint64_t runId = 0; ///< Differs between runs of the home.
    std::uint32_t sequence = 0; ///< Increases with each report of a run.
    std::uint32_t heldMs = 0; ///< Time between the arrival of the statement and its response.
    std::array<std::int32_t, Priorities> waitMs {}; ///< Predicted time until the response to a new statement of each
                                                    ///< priority.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(runId, sequence, heldMs);
        for (std::int32_t &wait : waitMs) {
            archive(wait);
        }
    }
};

/// The response to a ForwardedStatement.
struct ForwardedStatementResponse {
    std::uint64_t sessionId = 0;
    std::uint64_t sequence = 0;
    CallerResponse response;
    std::uint64_t generation = 0; ///< Generation of the primary that ran the statement; zero for a replica.
    bool isOverloaded = false; ///< The statement did not run because it could not have run in time.
    HomeLoad load;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sessionId, sequence, response, generation, isOverloaded, load);
    }
};

/// Ends a forwarded session; its statement and transaction in progress are rolled back.
struct ForwardedSessionEnd {
    std::uint64_t sessionId = 0;
    std::uint64_t sequence = 0; ///< Statements up to this sequence number must not run any more.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sessionId, sequence);
    }
};

/// Requests a sign of life from a home that owes the response to a statement.
struct HomeProbe {
    std::uint64_t sessionId = 0;
    std::uint64_t sequence = 0; ///< Of the statement.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sessionId, sequence);
    }
};

/// The response to a HomeProbe.
struct HomeProbeResponse {
    std::uint64_t sessionId = 0;
    std::uint64_t sequence = 0;
    bool isPending
        = false; ///< Whether the home still has the statement. If not, the statement or its response was lost.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sessionId, sequence, isPending);
    }
};

/// Requests the log position of a primary from one of its homes.
struct PositionRequest {
    ServiceId service;
    std::uint64_t sequence = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, sequence);
    }
};

/// The response to a PositionRequest. The primary reported the position after the request had arrived.
struct PositionResponse {
    ServiceId service;
    std::uint64_t sequence = 0;
    std::uint64_t generation = 0; ///< Generation of the primary.
    LogPoint point;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, sequence, generation, point);
    }
};

} // namespace daisyrelay
