// What becomes of a statement when its database has answered, or has failed to.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::int64_t RetryAfterMs = 100;
static constexpr std::int64_t BusyRetryMs = 20;

static bool isRefusal(BackendOutcome outcome)
{
    return outcome != BackendOutcome::Succeeded && outcome != BackendOutcome::Failed && outcome != BackendOutcome::Lost;
}

/// Tells whether another statement may use the connection. The end of a transaction must be certain for that.
static ConnectionEnd connectionEndOf(const StatementRequest &request, BackendOutcome outcome)
{
    const bool endsOrBegins = request.action != StatementAction::Execute;
    switch (outcome) {
    case BackendOutcome::Succeeded:
        return ConnectionEnd::Reusable;
    case BackendOutcome::Lost:
        return ConnectionEnd::Failed;
    case BackendOutcome::Failed:
        return endsOrBegins ? ConnectionEnd::Abandoned : ConnectionEnd::Reusable;
    default:
        return request.transaction.empty() ? ConnectionEnd::Unused : ConnectionEnd::Abandoned;
    }
}

void RelayCore::Impl::replied(Instant now, const BackendReply &reply)
{
    Operation *operation = operations_.find(reply.work);
    if (operation == nullptr || operation->stage != OperationStage::Sent || operation->connection != reply.connection) {
        counters_.add("answers.discarded");
        return;
    }
    const BackendId backend = operation->route.backend;
    if (reply.outcome == BackendOutcome::Lost) {
        failingSince_.emplace(backend, operation->sentAt);
    } else {
        failingSince_.erase(backend);
    }
    if (reply.outcome == BackendOutcome::Succeeded) {
        succeeded(now, *operation, reply);
        return;
    }
    operation->stage = OperationStage::Routing;
    releaseConnection(now, *operation, connectionEndOf(operation->request, reply.outcome));
    if (reply.outcome == BackendOutcome::Failed) {
        const bool commits = operation->request.action == StatementAction::Commit;
        fail(
            now, *operation, { commits ? ErrorKind::OutcomeUnknown : ErrorKind::StatementFailed, reply.resultJson, 0 });
    } else if (isRefusal(reply.outcome)) {
        notRun(now, *operation, reply.outcome);
    } else if (operation->request.action == StatementAction::Begin) {
        fail(now, *operation,
            { ErrorKind::BackendUnavailable, "the connection was lost; nothing was begun", RetryAfterMs });
    } else {
        fail(now, *operation, { ErrorKind::OutcomeUnknown, "the database did not answer", 0 });
    }
}

void RelayCore::Impl::notRun(Instant now, Operation &operation, BackendOutcome outcome)
{
    const bool atReplica = operation.isPlainRead() && !operation.route.usesPrimary;
    switch (outcome) {
    case BackendOutcome::Behind:
        counters_.add("backend.refused.behind");
        if (atReplica) {
            waitFor(now, operation, OperationStage::CatchingUp);
            return;
        }
        fail(now, operation, { ErrorKind::NoPrimary, "the primary has not reached the session", RetryAfterMs });
        return;
    case BackendOutcome::Busy:
        counters_.add("backend.refused.busy");
        fail(now, operation, { ErrorKind::BackendBusy, "the database runs as much as it can", BusyRetryMs });
        return;
    default:
        counters_.add(
            outcome == BackendOutcome::StaleTerm ? "backend.refused.stale-term" : "backend.refused.not-primary");
        if (atReplica) {
            fail(now, operation, { ErrorKind::TooStale, "the replica knows a newer term", RetryAfterMs });
            return;
        }
        fail(now, operation, { ErrorKind::NoPrimary, "the database is no longer the primary", RetryAfterMs });
    }
}

void RelayCore::Impl::succeeded(Instant now, Operation &operation, const BackendReply &reply)
{
    const GroupKey &group = operation.request.group;
    operation.result = { reply.resultJson, group, operation.route.backend, operation.route.usesPrimary, reply.point,
        operation.request.transaction };
    running_.erase(operation.connection);
    if (operation.request.action == StatementAction::Begin) {
        beginSucceeded(now, operation);
        return;
    }
    const bool current = mayAcknowledge(now, group, operation.route.term);
    const bool openTransaction
        = !operation.request.transaction.empty() && operation.request.action == StatementAction::Execute;
    const Instant sentAt = operation.sentAt;
    operation.stage = OperationStage::Routing;
    releaseConnection(now, operation, !openTransaction || current ? ConnectionEnd::Reusable : ConnectionEnd::Abandoned);
    backends_.recordPoint(now, operation.route.backend, reply.point);
    if (operation.route.usesPrimary && current && reply.point.term == operation.route.term) {
        backends_.recordMeasuredPrimary(now, sentAt, group, reply.point);
    }
    if (operation.acknowledgesWrite()) {
        writeSucceeded(now, operation);
    } else if (openTransaction && !current) {
        fail(now, operation, { ErrorKind::TransactionLost, "the primary was replaced; it was rolled back", 0 });
    } else if (operation.isPlainRead() && operation.route.usesPrimary && !current) {
        fail(now, operation, { ErrorKind::OutcomeUnknown, "the primary may have been replaced", RetryAfterMs });
    } else {
        const StatementResult result = operation.result;
        finish(now, operation.id, result);
    }
}

void RelayCore::Impl::beginSucceeded(Instant now, Operation &operation)
{
    const TransactionId id { options_.vm.value + "." + options_.bootId + "." + std::to_string(operation.id) };
    operation.result.transaction = id;
    operation.result.resultJson.clear();
    transactions_.open(id,
        { operation.request.group, operation.request.classId, operation.target, operation.route.backend,
            operation.connection, 0, operation.route.term, now });
    const BackendId backend = operation.route.backend;
    const ConnectionId connection = operation.connection;
    const StatementResult result = operation.result;
    finish(now, operation.id, result);
    poolOf(backend).hold(now, connection);
    drainPool(now, backend);
}

void RelayCore::Impl::writeSucceeded(Instant now, Operation &operation)
{
    const GroupKey group = operation.request.group;
    if (!mayAcknowledge(now, group, operation.route.term)) {
        fail(now, operation, { ErrorKind::OutcomeUnknown, "the primary may have been replaced", 0 });
        return;
    }
    const LogPoint point = operation.result.point;
    const std::vector<const BackendState *> databases = backends_.backendsOfGroup(group);
    const bool replicated = std::any_of(databases.begin(), databases.end(), [&](const BackendState *state) {
        return countsAsCopy(state->announcement.id, group) && state->point >= point;
    });
    if (operation.target.durability == Durability::Local || replicated) {
        const StatementResult result = operation.result;
        finish(now, operation.id, result);
        return;
    }
    operation.stage = OperationStage::Replicating;
    replication_.add(group, point, operation.id);
    watchReplicas(now, group);
}

} // namespace daisyrelay
