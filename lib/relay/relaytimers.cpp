// What passes with time: deadlines, waits, idle transactions, leases and terms.
#include "relayimpl.h"

namespace daisyrelay {

static constexpr Duration PoolUpdateInterval = std::chrono::milliseconds(50);
static constexpr Duration KeyClaimRetryInterval = std::chrono::milliseconds(100);
static constexpr std::int64_t RetryAfterMs = 100;
static constexpr std::int64_t DuplicateRetryAfterMs = 50;

void RelayCore::Impl::tick(Instant now)
{
    backends_.expire(now);
    if (now >= nextPoolUpdateAt_) {
        nextPoolUpdateAt_ = now + PoolUpdateInterval;
        updatePoolLimits(now);
        keyResponses_.expire(now);
    }
    for (auto &[backend, pool] : pools_) {
        pool.tick(now);
        performPoolActions(now, backend);
    }
    for (const WorkId id : operations_.dueOperations(now)) {
        if (Operation *operation = operations_.find(id); operation != nullptr) {
            handleTimer(now, *operation);
        }
    }
    expireTransactions(now);
    refreshPrimaryPositions(now);
    for (const GroupKey &group : pendingReplication_.groups()) {
        requestReplicaPositions(now, group);
    }
    requestKeyCopies(now);
}

void RelayCore::Impl::handleTimer(Instant now, Operation &operation)
{
    if (now >= operation.deadline) {
        expire(now, operation);
        return;
    }
    switch (operation.stage) {
    case OperationStage::RetryDelay:
        operations_.setTimer(operation, operation.deadline);
        route(now, operation);
        return;
    case OperationStage::ClaimingKey:
        operations_.setTimer(operation, now + KeyClaimRetryInterval);
        sendKeyClaim(now, operation, KeyClaimAction::Claim);
        return;
    case OperationStage::AwaitingFallback:
        counters_.add("fallback.refused");
        fail(now, operation, { ErrorKind::TooStale, "the primary had no place for reads in time", RetryAfterMs });
        return;
    case OperationStage::AwaitingPrimaryPosition:
    case OperationStage::AwaitingReplica:
        fail(now, operation, { ErrorKind::TooStale, "the replica was not fresh enough in time", RetryAfterMs });
        return;
    default:
        operations_.setTimer(operation, operation.deadline);
    }
}

void RelayCore::Impl::expire(Instant now, Operation &operation)
{
    const bool isBegin = operation.request.action == StatementAction::Begin;
    Error error { ErrorKind::DeadlinePassed, "the deadline passed before the statement was sent", RetryAfterMs };
    switch (operation.stage) {
    case OperationStage::Queued:
        poolOf(operation.route.backend).cancel(now, operation.id);
        break;
    case OperationStage::ClaimingKey:
        error = { ErrorKind::KeyMemoryLost, "the keepers of keys can not be reached", RetryAfterMs };
        break;
    case OperationStage::AwaitingDuplicate:
        error = { ErrorKind::DuplicateInFlight, "the first request with this key still runs", DuplicateRetryAfterMs };
        break;
    case OperationStage::Sent:
        // A connection that owes an answer is never used again, so the late answer reaches nobody.
        failingSince_.emplace(operation.route.backend, operation.sentAt);
        counters_.add("statements.timed-out");
        operation.stage = OperationStage::Routing;
        releaseConnection(now, operation, ConnectionOutcome::Abandoned);
        [[fallthrough]];
    case OperationStage::Forwarded:
    case OperationStage::Replicating:
        if (!isBegin) {
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
    const bool isNewTable
        = lease.table.version != lease_.table.version || lease.table.leaderTerm != lease_.table.leaderTerm;
    lease_ = lease;
    updatePoolLimits(now);
    for (auto &[backend, pool] : pools_) {
        performPoolActions(now, backend);
    }
    if (isNewTable) {
        abortOldTermOperations(now);
    }
}

void RelayCore::Impl::abortOldTermOperations(Instant now)
{
    const auto isOld = [this](const GroupKey &group, Term term) {
        const GroupTerm *current = lease_.findTerm(group);
        return current != nullptr && (current->term != term || current->primary.empty());
    };
    for (const WorkId id : operations_.allOperations()) {
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
            releaseConnection(now, *operation, ConnectionOutcome::Abandoned);
            error = { ErrorKind::OutcomeUnknown, "the primary was replaced while the statement ran", 0 };
        } else if (operation->stage == OperationStage::Replicating) {
            error = { ErrorKind::OutcomeUnknown, "the primary was replaced before the write was replicated", 0 };
        } else if (operation->stage == OperationStage::ClaimingKey
            || operation->stage == OperationStage::AwaitingDuplicate) {
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
