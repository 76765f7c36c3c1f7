// What passes with time: deadlines, waits, idle transactions, leases and terms.
#include "relayimpl.h"

namespace daisyrelay {

static constexpr Duration PoolsInterval = std::chrono::milliseconds(50);
static constexpr Duration ClaimRetry = std::chrono::milliseconds(100);
static constexpr std::int64_t RetryAfterMs = 100;
static constexpr std::int64_t DuplicateRetryMs = 50;

void RelayCore::Impl::tick(Instant now)
{
    backends_.expire(now);
    if (now >= poolsAt_) {
        poolsAt_ = now + PoolsInterval;
        updatePools(now);
        keys_.expire(now);
    }
    for (auto &[backend, pool] : pools_) {
        pool.tick(now);
        drainPool(now, backend);
    }
    for (const WorkId id : operations_.due(now)) {
        if (Operation *operation = operations_.find(id); operation != nullptr) {
            wake(now, *operation);
        }
    }
    expireTransactions(now);
    measurePrimaries(now);
    for (const GroupKey &group : replication_.groups()) {
        watchReplicas(now, group);
    }
    copyKeys(now);
}

void RelayCore::Impl::wake(Instant now, Operation &operation)
{
    if (now >= operation.deadline) {
        expire(now, operation);
        return;
    }
    switch (operation.stage) {
    case OperationStage::RetryDelay:
        operations_.wakeAt(operation, operation.deadline);
        route(now, operation);
        return;
    case OperationStage::Claiming:
        operations_.wakeAt(operation, now + ClaimRetry);
        sendKeyStep(now, operation, KeyStep::Claim);
        return;
    case OperationStage::FallbackWait:
        counters_.add("fallback.refused");
        fail(now, operation, { ErrorKind::TooStale, "the primary had no place for reads in time", RetryAfterMs });
        return;
    case OperationStage::Measuring:
    case OperationStage::CatchingUp:
        fail(now, operation, { ErrorKind::TooStale, "the replica was not fresh enough in time", RetryAfterMs });
        return;
    default:
        operations_.wakeAt(operation, operation.deadline);
    }
}

void RelayCore::Impl::expire(Instant now, Operation &operation)
{
    const bool begins = operation.request.action == StatementAction::Begin;
    Error error { ErrorKind::DeadlinePassed, "the deadline passed before the statement was sent", RetryAfterMs };
    switch (operation.stage) {
    case OperationStage::Queued:
        poolOf(operation.route.backend).cancel(now, operation.id);
        break;
    case OperationStage::Claiming:
        error = { ErrorKind::KeyMemoryLost, "the keepers of keys can not be reached", RetryAfterMs };
        break;
    case OperationStage::DuplicateWait:
        error = { ErrorKind::DuplicateInFlight, "the first request with this key still runs", DuplicateRetryMs };
        break;
    case OperationStage::Sent:
        // A connection that owes an answer is never used again, so the late answer reaches nobody.
        failingSince_.emplace(operation.route.backend, operation.sentAt);
        counters_.add("statements.timed-out");
        operation.stage = OperationStage::Routing;
        releaseConnection(now, operation, ConnectionEnd::Abandoned);
        [[fallthrough]];
    case OperationStage::Forwarded:
    case OperationStage::Replicating:
        if (!begins) {
            error = { ErrorKind::OutcomeUnknown, "no answer came in time", 0 };
        }
        break;
    default:
        break;
    }
    fail(now, operation, std::move(error));
}

void RelayCore::Impl::setLease(Instant now, const LeaseState &lease)
{
    const bool newTable
        = lease.table.version != lease_.table.version || lease.table.leaderTerm != lease_.table.leaderTerm;
    lease_ = lease;
    updatePools(now);
    for (auto &[backend, pool] : pools_) {
        drainPool(now, backend);
    }
    if (newTable) {
        dropOldTerms(now);
    }
}

void RelayCore::Impl::dropOldTerms(Instant now)
{
    const auto isOld = [this](const GroupKey &group, Term term) {
        const GroupTerm *current = lease_.findTerm(group);
        return current != nullptr && (current->term != term || current->primary.empty());
    };
    for (const WorkId id : operations_.all()) {
        Operation *operation = operations_.find(id);
        if (operation == nullptr || !operation->route.usesPrimary || operation->stage == OperationStage::Forwarded
            || operation->stage == OperationStage::RetryDelay
            || !isOld(operation->request.group, operation->route.term)) {
            continue;
        }
        Error error { ErrorKind::NoPrimary, "the primary was replaced before the statement was sent", RetryAfterMs };
        if (operation->stage == OperationStage::Queued) {
            poolOf(operation->route.backend).cancel(now, id);
        } else if (operation->stage == OperationStage::Sent) {
            operation->stage = OperationStage::Routing;
            releaseConnection(now, *operation, ConnectionEnd::Abandoned);
            error = { ErrorKind::OutcomeUnknown, "the primary was replaced while the statement ran", 0 };
        } else if (operation->stage == OperationStage::Replicating) {
            error = { ErrorKind::OutcomeUnknown, "the primary was replaced before the write was replicated", 0 };
        } else if (operation->stage == OperationStage::Claiming || operation->stage == OperationStage::DuplicateWait) {
            continue;
        }
        fail(now, *operation, std::move(error));
    }
    for (const TransactionId &id : transactions_.idleSince(now)) {
        const OpenTransaction *transaction = transactions_.find(id);
        if (transaction != nullptr && isOld(transaction->group, transaction->term)) {
            counters_.add("transactions.replaced");
            closeTransaction(now, id, { ErrorKind::TransactionExpired, "the primary was replaced", 0 });
        }
    }
}

} // namespace daisyrelay
