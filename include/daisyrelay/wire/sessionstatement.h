// Statements and answers, as callers and backend servers exchange them with the proxy.
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
    Set, ///< A session value.
    Prepare,
    Execute, ///< A prepared read or write.
    Deallocate,
    Reset, ///< Clears session values and prepared statements; sent by the proxy only, as are the following.
    Status, ///< Asks for role, term and position.
    Pause, ///< A replica receives nothing more from primaries below a term.
    Resume,
};

/// One statement of a caller, or of the proxy itself if it has no id.
struct Statement {
    std::string id;
    StatementType kind = StatementType::Read;
    std::string text; ///< Read, Write, Commit: as the caller sent it.
    std::string name; ///< Set, Prepare, Execute, Deallocate.
    std::string argument; ///< Set: the value. Prepare: the shape. Execute: what follows the name.
    bool preparesWrite = false; ///< Prepare.
    Term term = 0; ///< Pause.
    std::optional<LogPoint> minPoint; ///< The log of the backend server must hold this, or nothing runs.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, kind, text, name, argument, preparesWrite, term, minPoint);
    }
};

enum class ResponseCode : std::uint8_t {
    Ok,
    // Nothing of the attempt is kept.
    Busy,
    Aborted,
    Lagging,
    NotPrimary,
    WrongBackend,
    ConnectionLimit,
    UnknownStatement,
    BadMessage,
    UnknownDatabase,
    // It ran, or may have run.
    Failed,
    TimedOut,
    InDoubt,
};

enum class TransactionState : std::uint8_t {
    Idle,
    Open,
    Failed, ///< Only its end is accepted.
};

/// The answer of a backend server to one statement.
struct BackendResponse {
    ResponseCode code = ResponseCode::Ok;
    std::string signature; ///< The backend server's signature of what it ran; empty if it signed nothing.
    std::vector<std::string> rows;
    std::string detail; ///< For people.
    TransactionState state = TransactionState::Idle;
    std::optional<LogPoint> position; ///< Of the backend server's log.
};

/// What a backend server answers to Status, Pause and Resume.
struct BackendStatus {
    bool isPrimary = false;
    Term term = 0;
    LogPoint received; ///< The end of its log, applied or not.
};

/// The answer to a caller.
struct CallerResponse {
    ResponseCode code = ResponseCode::Ok;
    std::string signature; ///< Empty if the proxy answers by itself.
    std::vector<std::string> rows;
    std::string detail;
    TransactionState state = TransactionState::Idle;
    std::optional<LogPoint> position;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(code, signature, rows, detail, state, position);
    }
};

/// Returns the word for \p code in logs and metrics.
std::string_view responseCodeName(ResponseCode code);

} // namespace daisyrelay
