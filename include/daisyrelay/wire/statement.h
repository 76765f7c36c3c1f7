// A caller's statement and its outcome, in the form in which entries hold and forward them.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

enum class StatementKind : std::uint8_t {
    Read,
    Write,
};

/// What a statement does to its transaction; Execute without a transaction is a statement of its own.
enum class StatementAction : std::uint8_t {
    Execute,
    Begin,
    Commit,
    Rollback,
};

/// A checked request of a caller.
struct StatementRequest {
    GroupKey group;
    ClassId classId;
    StatementKind kind = StatementKind::Read;
    StatementAction action = StatementAction::Execute;
    bool isRepeatable = true;
    IdempotencyKey key; ///< Empty where the caller sent none.
    TransactionId transaction; ///< Empty outside a transaction.
    std::string statement;
    std::string routingKey; ///< Names the group through the key ranges; resolved by the entry that hears it.
    std::chrono::milliseconds timeLeft { 0 }; ///< Time left when the message was sent.
    LogPoint minPoint; ///< The session's position in the group: reads must not be older.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, classId, kind, action, isRepeatable, key, transaction, statement, timeLeft, minPoint);
    }
};

/// The answer of a database to a statement.
struct StatementResult {
    std::string resultJson;
    GroupKey group;
    BackendId backend;
    bool isFromPrimary = false;
    LogPoint point;
    TransactionId transaction; ///< Set by the answer to Begin.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(resultJson, group, backend, isFromPrimary, point, transaction);
    }
};

} // namespace daisyrelay
