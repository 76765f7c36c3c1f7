// The closed list of error kinds and the table from kind to answer. Every refusal names one of these kinds, and each
// kind has its own counter.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace daisyrelay {

/// Every way in which a request can fail.
enum class ErrorKind : std::uint8_t {
    BadRequest,
    UnknownClass,
    UnknownService,
    UnknownGroup,
    UnknownPath,
    BodyTooLarge,
    BadToken,
    KeyRequired,
    DuplicateInFlight,
    DuplicateRan,
    DuplicateUnknown,
    KeyReused,
    KeyMemoryLost,
    Overloaded,
    QueueFull,
    DeadlinePassed,
    NoPrimary,
    NoLease,
    TooStale,
    LostWrite,
    OutcomeUnknown,
    BackendBusy,
    BackendUnavailable,
    StatementFailed,
    TransactionUnknown,
    TransactionExpired,
    TransactionBusy,
    TransactionLost,
    Draining,
    PeerUnreachable,
    NoQuorum,
    ChangeOutcomeUnknown,
    VersionConflict,
    InvalidConfig,
    StorageCorrupt,
    StorageFailed,
    Internal,
};

/// What an error says about the request: whether the database ran it.
enum class Executed : std::uint8_t {
    No,
    Yes,
    Unknown,
};

/// The answer that belongs to one error kind.
struct ErrorResponse {
    ErrorKind kind;
    std::string_view name; ///< The kind as callers see it.
    int httpStatus;
    Executed executed;
    bool canRetry; ///< Whether the same request can succeed later.
};

/// An error as a value: its kind and a detail for people.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    std::int64_t retryAfterMs = 0; ///< Zero when there is nothing to wait for.

    bool operator==(const Error &) const = default;
};

template <typename T>
using Expected = tl::expected<T, Error>;

/// Returns the row of the table for \p kind.
const ErrorResponse &errorResponseFor(ErrorKind kind);

/// Returns the kind whose name is \p name.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// Returns "no", "yes" or "unknown".
std::string_view executedName(Executed executed);

/// The number of error kinds.
std::size_t errorKindCount();

} // namespace daisyrelay
