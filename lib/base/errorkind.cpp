#include "daisyrelay/base/errorkind.h"

#include <array>
#include <cassert>

namespace daisyrelay {

namespace {

constexpr std::array Answers {
    ErrorAnswer { ErrorKind::BadRequest, "bad-request", 400, Ran::No, false },
    ErrorAnswer { ErrorKind::UnknownClass, "unknown-class", 404, Ran::No, false },
    ErrorAnswer { ErrorKind::UnknownService, "unknown-service", 404, Ran::No, false },
    ErrorAnswer { ErrorKind::UnknownGroup, "unknown-group", 404, Ran::No, false },
    ErrorAnswer { ErrorKind::UnknownPath, "unknown-path", 404, Ran::No, false },
    ErrorAnswer { ErrorKind::BodyTooLarge, "body-too-large", 413, Ran::No, false },
    ErrorAnswer { ErrorKind::BadToken, "bad-token", 400, Ran::No, false },
    ErrorAnswer { ErrorKind::KeyRequired, "key-required", 400, Ran::No, false },
    ErrorAnswer { ErrorKind::DuplicateInFlight, "duplicate-in-flight", 409, Ran::Unknown, true },
    ErrorAnswer { ErrorKind::DuplicateRan, "duplicate-ran", 409, Ran::Yes, false },
    ErrorAnswer { ErrorKind::DuplicateUnknown, "duplicate-unknown", 409, Ran::Unknown, false },
    ErrorAnswer { ErrorKind::KeyReused, "key-reused", 422, Ran::No, false },
    ErrorAnswer { ErrorKind::KeyMemoryLost, "key-memory-lost", 503, Ran::Unknown, true },
    ErrorAnswer { ErrorKind::Overloaded, "overloaded", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::QueueFull, "queue-full", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::DeadlinePassed, "deadline-passed", 504, Ran::No, true },
    ErrorAnswer { ErrorKind::NoPrimary, "no-primary", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::NoLease, "no-lease", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::TooStale, "too-stale", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::LostWrite, "lost-write", 409, Ran::No, false },
    ErrorAnswer { ErrorKind::OutcomeUnknown, "outcome-unknown", 504, Ran::Unknown, false },
    ErrorAnswer { ErrorKind::BackendBusy, "backend-busy", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::BackendUnavailable, "backend-unavailable", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::StatementFailed, "statement-failed", 422, Ran::Unknown, false },
    ErrorAnswer { ErrorKind::TransactionUnknown, "transaction-unknown", 404, Ran::Unknown, false },
    ErrorAnswer { ErrorKind::TransactionExpired, "transaction-expired", 410, Ran::No, false },
    ErrorAnswer { ErrorKind::TransactionBusy, "transaction-busy", 409, Ran::No, true },
    ErrorAnswer { ErrorKind::TransactionLost, "transaction-lost", 410, Ran::Unknown, false },
    ErrorAnswer { ErrorKind::Draining, "draining", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::PeerUnreachable, "peer-unreachable", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::NoQuorum, "no-quorum", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::ChangeOutcomeUnknown, "change-outcome-unknown", 503, Ran::Unknown, true },
    ErrorAnswer { ErrorKind::VersionConflict, "version-conflict", 412, Ran::No, false },
    ErrorAnswer { ErrorKind::InvalidConfig, "invalid-config", 422, Ran::No, false },
    ErrorAnswer { ErrorKind::StorageCorrupt, "storage-corrupt", 500, Ran::No, false },
    ErrorAnswer { ErrorKind::StorageFailed, "storage-failed", 503, Ran::No, true },
    ErrorAnswer { ErrorKind::Internal, "internal", 500, Ran::Unknown, false },
};

} // namespace

const ErrorAnswer &answerFor(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < Answers.size() && Answers[index].kind == kind && "the table must list the kinds in order");
    return Answers[index];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (const ErrorAnswer &answer : Answers) {
        if (answer.name == name) {
            return answer.kind;
        }
    }
    return std::nullopt;
}

std::string_view ranName(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        break;
    }
    return "unknown";
}

std::size_t errorKindCount()
{
    return Answers.size();
}

} // namespace daisyrelay
