// Statements and responses as callers and backend servers exchange them with the proxy.
#pragma once

#include "daisyrelay/base.h"

#include <optional>
#include <string>
#include <vector>

namespace daisyrelay {

enum class StatementType : std::uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    Set, ///< Sets a session value.
    Prepare,
    Execute, ///< Runs a prepared read or write.
    Deallocate,
    Reset, ///< Clears session values and prepared statements. This and the following types are sent by the proxy only.
    Status, ///< Requests role, term and position.
    Pause, ///< Stops a replica from receiving from primaries of lower terms.
    Resume,
    StepDown, ///< Makes a primary of a lower term a replica.
};

/// A statement of a caller, or of the proxy itself if the id is empty.
struct Statement {
    std::string id;
    StatementType type = StatementType::Read;
    std::string text; ///< Read, Write, Commit: the statement as the caller sent it.
    std::string name; ///< Set, Prepare, Execute, Deallocate: name of the value or of the prepared statement.
    std::string argument; ///< Set: the value. Prepare: the shape. Execute: the text after the name.
    bool preparesWrite = false; ///< Prepare: whether the prepared statement writes.
    Term term = 0; ///< Pause, StepDown: the lowest term whose primary the server still follows.
    std::optional<LogPoint>
        minPoint; ///< The backend server rejects the statement if its log has not reached this point.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, type, text, name, argument, preparesWrite, term, minPoint);
    }
};

enum class ResponseCode : std::uint8_t {
    Ok,
    // The attempt had no effect.
    Busy,
    Aborted,
    Lagging,
    NotPrimary,
    WrongBackend,
    ConnectionLimit,
    UnknownStatement,
    BadMessage,
    UnknownDatabase,
    Unauthorized, ///< No workspace has the caller's key.
    // The statement ran, or may have run.
    Failed,
    TimedOut,
    InDoubt,
};

enum class TransactionState : std::uint8_t {
    Idle,
    Open,
    Failed, ///< Only COMMIT and ROLLBACK are accepted.
};

/// The response of a backend server to one statement.
struct BackendResponse {
    ResponseCode code = ResponseCode::Ok;
    std::string signature; ///< The backend server's signature of what it ran; empty if it signed nothing.
    std::vector<std::string> rows;
    std::string detail; ///< Human-readable.
    TransactionState state = TransactionState::Idle;
    std::optional<LogPoint> position; ///< Log position of the backend server.
    std::optional<LogPoint> received; ///< End of the log, in the response to Status.
};

/// The response of a backend server to Status, Pause, Resume and StepDown.
struct BackendStatus {
    bool isPrimary = false;
    Term term = 0; ///< The highest term that the server knows, as primary, replica or after a Pause or StepDown.
    Term ownTerm = 0; ///< The term that the server leads or follows.
    LogPoint received; ///< The end of the log, whether applied or not.
};

/// The response to a caller.
struct CallerResponse {
    ResponseCode code = ResponseCode::Ok;
    std::string signature; ///< Signature of the backend server; empty if the proxy responded itself.
    std::vector<std::string> rows;
    std::string detail; ///< Human-readable.
    TransactionState state = TransactionState::Idle;
    std::optional<LogPoint> position; ///< Log position of the backend server that ran the statement.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(code, signature, rows, detail, state, position);
    }
};

/// Returns the name of \p code in logs and metrics.
std::string_view responseCodeName(ResponseCode code);

} // namespace daisyrelay
