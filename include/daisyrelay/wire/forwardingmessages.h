// Statements that an entry runs on behalf of another, which holds no connection to the backend server.
#pragma once

#include "daisyrelay/wire/routeconfiguration.h"
#include "daisyrelay/wire/sessionstatement.h"

#include <map>
#include <optional>
#include <utility>

namespace daisyrelay {

/// Asks a home of a backend server to run a statement of a session that lives on the sender.
struct ForwardedStatement {
    std::uint64_t sessionId = 0; ///< The session, as the sender numbers it.
    std::uint64_t sequence = 0; ///< Rises with each request of a channel.
    DatabaseRoute route; ///< As the sender has it in force.
    Statement statement;
    bool inTransaction = false;
    bool beginsTransaction = false; ///< Begins the transaction.
    bool isReadOnly = false; ///< Of the transaction.
    bool needsPrimary = false; ///< A read that must prove that its server leads.
    std::vector<std::pair<std::string, std::string>> values; ///< Of the session.
    bool preparedIsWrite = false; ///< What an Execute refers to, and its shape.
    std::string preparedShape;
    std::optional<LogPoint> lastWrite; ///< The session's own writes,
    std::uint64_t lastWriteGeneration = 0; ///< and the primary that acknowledged them.
    std::chrono::milliseconds remainingTimeout { 0 }; ///< Of the statement's timeout.
    std::chrono::milliseconds maxQueueTime { 0 }; ///< How long it may still wait to be sent.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sessionId, sequence, route, statement, inTransaction, beginsTransaction, isReadOnly, needsPrimary,
            values, preparedIsWrite, preparedShape, lastWrite, lastWriteGeneration, remainingTimeout, maxQueueTime);
    }
};

/// The answer to a ForwardedStatement.
struct ForwardedStatementResponse {
    std::uint64_t sessionId = 0;
    std::uint64_t sequence = 0;
    CallerResponse response;
    std::uint64_t generation = 0; ///< Of the primary that ran it; zero if a replica did.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sessionId, sequence, response, generation);
    }
};

/// Rolls back what a channel has begun.
struct ForwardedSessionEnd {
    std::uint64_t sessionId = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sessionId);
    }
};

/// Asks a home of a primary where its log stands.
struct PositionRequest {
    ServiceId service;
    std::uint64_t sequence = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, sequence);
    }
};

/// The position was asked for after the request had arrived.
struct PositionResponse {
    ServiceId service;
    std::uint64_t sequence = 0;
    std::uint64_t generation = 0; ///< Of the primary.
    LogPoint point;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(service, sequence, generation, point);
    }
};

} // namespace daisyrelay
