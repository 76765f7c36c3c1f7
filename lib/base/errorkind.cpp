#include "daisyrelay/base/errorkind.h"

#include <array>
#include <cassert>

namespace daisyrelay {

namespace {

constexpr std::array ErrorResponses {
    ErrorResponse { ErrorKind::BadRequest, "bad-request", 400, Executed::No, false },
    ErrorResponse { ErrorKind::UnknownClass, "unknown-class", 404, Executed::No, false },
    ErrorResponse { ErrorKind::UnknownService, "unknown-service", 404, Executed::No, false },
    ErrorResponse { ErrorKind::UnknownGroup, "unknown-group", 404, Executed::No, false },
    ErrorResponse { ErrorKind::UnknownPath, "unknown-path", 404, Executed::No, false },
    ErrorResponse { ErrorKind::BodyTooLarge, "body-too-large", 413, Executed::No, false },
    ErrorResponse { ErrorKind::BadToken, "bad-token", 400, Executed::No, false },
    ErrorResponse { ErrorKind::KeyRequired, "key-required", 400, Executed::No, false },
    ErrorResponse { ErrorKind::DuplicateInFlight, "duplicate-in-flight", 409, Executed::Unknown, true },
    ErrorResponse { ErrorKind::DuplicateRan, "duplicate-ran", 409, Executed::Yes, false },
    ErrorResponse { ErrorKind::DuplicateUnknown, "duplicate-unknown", 409, Executed::Unknown, false },
    ErrorResponse { ErrorKind::KeyReused, "key-reused", 422, Executed::No, false },
    ErrorResponse { ErrorKind::KeyMemoryLost, "key-memory-lost", 503, Executed::Unknown, true },
    ErrorResponse { ErrorKind::Overloaded, "overloaded", 503, Executed::No, true },
    ErrorResponse { ErrorKind::QueueFull, "queue-full", 503, Executed::No, true },
    ErrorResponse { ErrorKind::DeadlinePassed, "deadline-passed", 504, Executed::No, true },
    ErrorResponse { ErrorKind::NoPrimary, "no-primary", 503, Executed::No, true },
    ErrorResponse { ErrorKind::NoLease, "no-lease", 503, Executed::No, true },
    ErrorResponse { ErrorKind::TooStale, "too-stale", 503, Executed::No, true },
    ErrorResponse { ErrorKind::LostWrite, "lost-write", 409, Executed::No, false },
    ErrorResponse { ErrorKind::OutcomeUnknown, "outcome-unknown", 504, Executed::Unknown, false },
    ErrorResponse { ErrorKind::BackendBusy, "backend-busy", 503, Executed::No, true },
    ErrorResponse { ErrorKind::BackendUnavailable, "backend-unavailable", 503, Executed::No, true },
    ErrorResponse { ErrorKind::StatementFailed, "statement-failed", 422, Executed::Unknown, false },
    ErrorResponse { ErrorKind::TransactionUnknown, "transaction-unknown", 404, Executed::Unknown, false },
    ErrorResponse { ErrorKind::TransactionExpired, "transaction-expired", 410, Executed::No, false },
    ErrorResponse { ErrorKind::TransactionBusy, "transaction-busy", 409, Executed::No, true },
    ErrorResponse { ErrorKind::TransactionLost, "transaction-lost", 410, Executed::Unknown, false },
    ErrorResponse { ErrorKind::Draining, "draining", 503, Executed::No, true },
    ErrorResponse { ErrorKind::PeerUnreachable, "peer-unreachable", 503, Executed::No, true },
    ErrorResponse { ErrorKind::NoQuorum, "no-quorum", 503, Executed::No, true },
    ErrorResponse { ErrorKind::ChangeOutcomeUnknown, "change-outcome-unknown", 503, Executed::Unknown, true },
    ErrorResponse { ErrorKind::VersionConflict, "version-conflict", 412, Executed::No, false },
    ErrorResponse { ErrorKind::InvalidConfig, "invalid-config", 422, Executed::No, false },
    ErrorResponse { ErrorKind::StorageCorrupt, "storage-corrupt", 500, Executed::No, false },
    ErrorResponse { ErrorKind::StorageFailed, "storage-failed", 503, Executed::No, true },
    ErrorResponse { ErrorKind::Internal, "internal", 500, Executed::Unknown, false },
};

} // namespace

const ErrorResponse &errorResponseFor(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < ErrorResponses.size() && ErrorResponses[index].kind == kind
        && "the table must list the kinds in order");
    return ErrorResponses[index];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (const ErrorResponse &response : ErrorResponses) {
        if (response.name == name) {
            return response.kind;
        }
    }
    return std::nullopt;
}

std::string_view executedName(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Yes:
        return "yes";
    case Executed::Unknown:
        break;
    }
    return "unknown";
}

std::size_t errorKindCount()
{
    return ErrorResponses.size();
}

} // namespace daisyrelay
