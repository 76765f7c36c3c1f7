// A caller's statement and its result, in the form that entries process and forward.
#pragma once

#include "daisyrelay/base.h"

namespace daisyrelay {

enum class StatementKind : std::uint8_t {
    Read,
    Write,
};

/// Effect of a statement on its transaction. Execute without a transaction is a standalone statement.
enum class StatementAction : std::uint8_t {
    Execute,
    Begin,
    Commit,
    Rollback,
};

/// A validated request of a caller.
struct StatementRequest {
    GroupKey group;
    ClassId classId;
    StatementKind kind = StatementKind::Read;
    StatementAction action = StatementAction::Execute;
    bool isRepeatable = true; ///< Whether executing the statement more than once is harmless.
    IdempotencyKey key; ///< Empty if the caller sent none.
    TransactionId transaction; ///< Empty outside a transaction.
    std::string statement;
    /// Selects the group by the configured key ranges. Resolved by the entry that receives the request and not
    /// forwarded.
    std::string routingKey;
    std::chrono::milliseconds timeLeft { 0 }; ///< Time until the deadline, as of the time the message was sent.
    LogPoint minPoint; ///< Minimum position for reads: the position of the session in the group.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, classId, kind, action, isRepeatable, key, transaction, statement, timeLeft, minPoint);
    }
};

/// The response of a database to a statement.
struct StatementResult {
    std::string resultJson; ///< Result of the statement as JSON.
    GroupKey group;
    BackendId backend;
    bool isFromPrimary = false; ///< Whether the primary executed the statement.
    LogPoint point; ///< Position of the database after the statement.
    TransactionId transaction; ///< Set in the response to Begin.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(resultJson, group, backend, isFromPrimary, point, transaction);
    }
};

} // namespace daisyrelay
