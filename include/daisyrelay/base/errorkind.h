// The complete list of error kinds and the response for each of them. Every error response names one of these kinds,
// and each kind has its own counter.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace daisyrelay {

/// Reasons for which a request can fail.
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

/// Whether the database executed the failed request.
enum class Executed : std::uint8_t {
    No,
    Yes,
    Unknown,
};

/// The response to a caller for one error kind.
struct ErrorResponse {
    ErrorKind kind;
    std::string_view name; ///< Name of the kind in responses and counters.
    int httpStatus; ///< HTTP status code of the response.
    Executed executed; ///< Whether the database executed the request.
    bool canRetry; ///< Whether the same request can succeed when it is repeated later.
};

/// An error value with its kind and a human-readable detail.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    std::int64_t retryAfterMs = 0; ///< Suggested delay before a retry, in milliseconds; zero if there is none.

    bool operator==(const Error &) const = default;
};

template <typename T>
using Expected = tl::expected<T, Error>;

/// Returns the response for \p kind.
const ErrorResponse &errorResponseFor(ErrorKind kind);

/// Returns the kind with the name \p name, or no value if there is none.
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// Returns "no", "yes" or "unknown".
std::string_view executedName(Executed executed);

/// Returns the number of error kinds.
std::size_t errorKindCount();

} // namespace daisyrelay
