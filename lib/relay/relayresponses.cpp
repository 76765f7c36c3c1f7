// Handles the response of a database to a statement, or the lack of one.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::int64_t RetryAfterMs = 100;
static constexpr std::int64_t BusyRetryAfterMs = 20;

static bool isRejection(BackendOutcome outcome)
{
    return outcome != BackendOutcome::Succeeded && outcome != BackendOutcome::Failed && outcome != BackendOutcome::Lost;
}

/// Returns whether another statement may use the connection. After the end of a transaction this requires a certain
/// outcome.
static ConnectionOutcome connectionOutcomeOf(const StatementRequest &request, BackendOutcome outcome)
{
    const bool isBeginOrEnd = request.action != StatementAction::Execute;
    switch (outcome) {
    case BackendOutcome::Succeeded:
        return ConnectionOutcome::Reusable;
    case BackendOutcome::Lost:
        return ConnectionOutcome::Failed;
    case BackendOutcome::Failed:
        return isBeginOrEnd ? ConnectionOutcome::Abandoned : ConnectionOutcome::Reusable;
    default:
        return request.transaction.empty() ? ConnectionOutcome::Unused : ConnectionOutcome::Abandoned;
    }
}

void RelayCore::Impl::handleBackendResponse(Instant now, const BackendStatementResponse &response)
{
    Operation *operation = operations_.find(response.work);
    if (operation == nullptr || operation->stage != OperationStage::Sent
        || operation->connection != response.connection) {
        counters_.add("answers.discarded");
        return;
    }
    const BackendId backend = operation->route.backend;
    if (response.outcome == BackendOutcome::Lost) {
        failingSince_.emplace(backend, operation->sentAt);
    } else {
        failingSince_.erase(backend);
    }
    if (response.outcome == BackendOutcome::Succeeded) {
        handleSuccess(now, *operation, response);
        return;
    }
    operation->stage = OperationStage::Routing;
    releaseConnection(now, *operation, connectionOutcomeOf(operation->request, response.outcome));
    if (response.outcome == BackendOutcome::Failed) {
        const bool isCommit = operation->request.action == StatementAction::Commit;
        fail(now, *operation,
            { isCommit ? ErrorKind::OutcomeUnknown : ErrorKind::StatementFailed, response.resultJson, 0 });
    } else if (isRejection(response.outcome)) {
        handleRejection(now, *operation, response.outcome);
    } else if (operation->request.action == StatementAction::Begin) {
        fail(now, *operation,
            { ErrorKind::BackendUnavailable, "the connection was lost; no transaction was begun", RetryAfterMs });
    } else {
        fail(now, *operation, { ErrorKind::OutcomeUnknown, "the database did not respond", 0 });
    }
}

void RelayCore::Impl::handleRejection(Instant now, Operation &operation, BackendOutcome outcome)
{
    const bool isReplicaRead = operation.isPlainRead() && !operation.route.usesPrimary;
    switch (outcome) {
    case BackendOutcome::Behind:
        counters_.add("backend.refused.behind");
        if (isReplicaRead) {
            waitForPosition(now, operation, OperationStage::AwaitingReplica);
            return;
        }
        fail(now, operation,
            { ErrorKind::NoPrimary, "the primary has not reached the position of the session", RetryAfterMs });
        return;
    case BackendOutcome::Busy:
        counters_.add("backend.refused.busy");
        fail(now, operation, { ErrorKind::BackendBusy, "all slots of the database are in use", BusyRetryAfterMs });
        return;
    default:
        counters_.add(
            outcome == BackendOutcome::StaleTerm ? "backend.refused.stale-term" : "backend.refused.not-primary");
        if (isReplicaRead) {
            fail(now, operation, { ErrorKind::TooStale, "the replica is in a newer term", RetryAfterMs });
            return;
        }
        fail(now, operation, { ErrorKind::NoPrimary, "the database is no longer the primary", RetryAfterMs });
    }
}

void RelayCore::Impl::handleSuccess(Instant now, Operation &operation, const BackendStatementResponse &response)
{
    const GroupKey &group = operation.request.group;
    operation.result = { response.resultJson, group, operation.route.backend, operation.route.usesPrimary,
        response.point, operation.request.transaction };
    runningWork_.erase(operation.connection);
    if (operation.request.action == StatementAction::Begin) {
        handleBeginSuccess(now, operation);
        return;
    }
    const bool isCurrentTerm = canAcknowledge(now, group, operation.route.term);
    const bool staysInTransaction
        = !operation.request.transaction.empty() && operation.request.action == StatementAction::Execute;
    const Instant sentAt = operation.sentAt;
    operation.stage = OperationStage::Routing;
    releaseConnection(now, operation,
        !staysInTransaction || isCurrentTerm ? ConnectionOutcome::Reusable : ConnectionOutcome::Abandoned);
    backends_.recordPoint(now, operation.route.backend, response.point);
    if (operation.route.usesPrimary && isCurrentTerm && response.point.term == operation.route.term) {
        backends_.recordMeasuredPrimary(now, sentAt, group, response.point);
    }
    if (operation.acknowledgesWrite()) {
        handleWriteSuccess(now, operation);
    } else if (staysInTransaction && !isCurrentTerm) {
        fail(now, operation,
            { ErrorKind::TransactionLost, "the primary was replaced; the transaction was rolled back", 0 });
    } else if (operation.isPlainRead() && operation.route.usesPrimary && !isCurrentTerm) {
        fail(now, operation, { ErrorKind::OutcomeUnknown, "the primary may have been replaced", RetryAfterMs });
    } else {
        const StatementResult result = operation.result;
        finish(now, operation.id, result);
    }
}

void RelayCore::Impl::handleBeginSuccess(Instant now, Operation &operation)
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
    poolOf(backend).reserveForTransaction(now, connection);
    performPoolActions(now, backend);
}

void RelayCore::Impl::handleWriteSuccess(Instant now, Operation &operation)
{
    const GroupKey group = operation.request.group;
    if (!canAcknowledge(now, group, operation.route.term)) {
        fail(now, operation, { ErrorKind::OutcomeUnknown, "the primary may have been replaced", 0 });
        return;
    }
    const LogPoint point = operation.result.point;
    const std::vector<const BackendState *> databases = backends_.backendsOfGroup(group);
    const bool isReplicated = std::any_of(databases.begin(), databases.end(), [&](const BackendState *state) {
        return countsTowardReplication(state->announcement.id, group) && state->point >= point;
    });
    if (operation.target.durability == Durability::Local || isReplicated) {
        const StatementResult result = operation.result;
        finish(now, operation.id, result);
        return;
    }
    operation.stage = OperationStage::Replicating;
    pendingReplication_.add(group, point, operation.id);
    requestReplicaPositions(now, group);
}

} // namespace daisyrelay
