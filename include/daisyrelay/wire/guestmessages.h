// Statements that an entry runs on behalf of another, which holds no connection to the backend server.
#pragma once

#include "daisyrelay/wire/routeconfiguration.h"
#include "daisyrelay/wire/sessionstatement.h"

#include <map>
#include <optional>
#include <utility>

namespace daisyrelay {

/// Asks a home of a backend server to run a statement of a session that lives on the sender.
struct GuestRequest {
    std::uint64_t channel = 0; ///< The session, as the sender numbers it.
    std::uint64_t sequence = 0; ///< Rises with each request of a channel.
    DatabaseRoute route; ///< As the sender has it in force.
    Statement statement;
    bool inTransaction = false;
    bool first = false; ///< Begins the transaction.
    bool readOnly = false; ///< Of the transaction.
    bool atPrimary = false; ///< A read that must prove that its server leads.
    std::vector<std::pair<std::string, std::string>> values; ///< Of the session.
    bool preparedWrites = false; ///< What an Execute refers to, and its shape.
    std::string preparedShape;
    std::optional<LogPoint> floor; ///< The session's own writes,
    std::uint64_t floorGeneration = 0; ///< and the primary that acknowledged them.
    std::chrono::milliseconds remaining { 0 }; ///< Of the statement's timeout.
    std::chrono::milliseconds hold { 0 }; ///< How long it may still wait to be sent.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(channel, sequence, route, statement, inTransaction, first, readOnly, atPrimary, values, preparedWrites,
            preparedShape, floor, floorGeneration, remaining, hold);
    }
};

/// The answer to a GuestRequest.
struct GuestAnswer {
    std::uint64_t channel = 0;
    std::uint64_t sequence = 0;
    CallerAnswer answer;
    std::uint64_t generation = 0; ///< Of the primary that ran it; zero if a replica did.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(channel, sequence, answer, generation);
    }
};

/// Rolls back what a channel has begun.
struct GuestEnd {
    std::uint64_t channel = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(channel);
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
struct PositionAnswer {
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
