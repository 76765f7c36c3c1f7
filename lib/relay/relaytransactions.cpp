// Transactions: their statements are routed to the entry that holds the connection and run only on that connection.
#include "relayimpl.h"

namespace daisyrelay {

static constexpr std::int64_t RetryAfterMs = 20;

namespace {

/// The parts of a transaction identifier VM.BOOT.NUMBER, where only the VM may contain dots.
struct TransactionIdParts {
    VmId entry;
    std::string bootId;
};

} // namespace

static std::optional<TransactionIdParts> parseTransactionId(const TransactionId &id)
{
    const std::size_t numberDot = id.value.rfind('.');
    if (numberDot == std::string::npos || numberDot == 0) {
        return std::nullopt;
    }
    const std::size_t bootDot = id.value.rfind('.', numberDot - 1);
    if (bootDot == std::string::npos || bootDot == 0) {
        return std::nullopt;
    }
    return TransactionIdParts { VmId { id.value.substr(0, bootDot) },
        id.value.substr(bootDot + 1, numberDot - bootDot - 1) };
}

void RelayCore::Impl::routeToTransactionEntry(Instant now, Operation &operation)
{
    const std::optional<TransactionIdParts> parts = parseTransactionId(operation.request.transaction);
    if (!parts) {
        fail(now, operation, { ErrorKind::TransactionUnknown, "the transaction identifier is malformed", 0 });
    } else if (parts->entry == options_.vm) {
        runInTransaction(now, operation);
    } else {
        forward(now, operation, parts->entry);
    }
}

void RelayCore::Impl::runInTransaction(Instant now, Operation &operation)
{
    const TransactionId &id = operation.request.transaction;
    OpenTransaction *transaction = transactions_.find(id);
    if (transaction == nullptr) {
        const std::optional<TransactionIdParts> parts = parseTransactionId(id);
        if (const Expected<StatementResult> *outcome = transactions_.outcomeOf(id); outcome != nullptr) {
            const bool isRepeatedCommit = operation.request.action == StatementAction::Commit;
            Expected<StatementResult> response = *outcome;
            if (response && !isRepeatedCommit) {
                response = tl::unexpected(Error { ErrorKind::TransactionExpired, "the transaction has ended", 0 });
            }
            finish(now, operation.id, std::move(response));
        } else if (parts && parts->bootId != options_.bootId) {
            fail(
                now, operation, { ErrorKind::TransactionLost, "the entry that held the transaction has restarted", 0 });
        } else {
            fail(now, operation, { ErrorKind::TransactionUnknown, "the transaction is not open on this entry", 0 });
        }
        return;
    }
    if (transaction->runningWork != 0) {
        fail(now, operation,
            { ErrorKind::TransactionBusy, "another statement of the transaction is running", RetryAfterMs });
        return;
    }
    const bool isRollback = operation.request.action == StatementAction::Rollback;
    if (!isRollback && !canAcknowledge(now, transaction->group, transaction->term)) {
        fail(now, operation, acknowledgeError(now));
        return;
    }
    transaction->runningWork = operation.id;
    transaction->lastUsedAt = now;
    operation.request.group = transaction->group;
    operation.request.classId = transaction->classId;
    operation.target = transaction->target;
    operation.route = Route { transaction->backend, transaction->term, 0, true, false };
    operation.stage = OperationStage::Queued;
    const BackendId backend = transaction->backend;
    poolOf(backend).submit(now,
        { operation.id, operation.request.classId, operation.deadline, operation.target.latencyP99, false,
            transaction->connection });
    performPoolActions(now, backend);
}

void RelayCore::Impl::closeTransaction(Instant now, const TransactionId &id, Error outcome)
{
    const OpenTransaction *open = transactions_.find(id);
    if (open == nullptr) {
        return;
    }
    const OpenTransaction transaction = *open;
    transactions_.close(id, tl::unexpected(std::move(outcome)));
    // Closing the connection makes the database roll back.
    poolOf(transaction.backend).finish(now, transaction.connection, false);
    performPoolActions(now, transaction.backend);
}

void RelayCore::Impl::expireTransactions(Instant now)
{
    for (const TransactionId &id : transactions_.idleSince(now - options_.transactionIdleTimeout)) {
        counters_.add("transactions.expired");
        closeTransaction(now, id,
            { ErrorKind::TransactionExpired, "the transaction was rolled back because it exceeded the idle timeout",
                0 });
    }
}

} // namespace daisyrelay
