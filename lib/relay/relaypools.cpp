// The connections that this entry may use, and the statements on them.
#include "relayimpl.h"

#include <algorithm>
#include <cassert>

namespace daisyrelay {

/// Number of connections of a fixed share that position requests use.
static constexpr std::size_t PositionConnections = 1;

void RelayCore::Impl::send(Instant now, Operation &operation, ConnectionId connection)
{
    operation.stage = OperationStage::Sent;
    operation.connection = connection;
    operation.sentAt = now;
    ++operation.attempts;
    runningWork_[connection] = operation.id;
    BackendStatement statement;
    statement.requestId = options_.vm.value + "." + options_.bootId + "." + std::to_string(operation.id) + "."
        + std::to_string(operation.attempts);
    statement.transaction = operation.request.transaction.value;
    if (operation.request.action == StatementAction::Begin) {
        statement.transaction = options_.vm.value + "." + options_.bootId + "." + std::to_string(operation.id);
    }
    statement.action = operation.request.action;
    statement.kind = operation.request.kind;
    statement.statement = operation.request.statement;
    statement.term = operation.route.term;
    statement.minPosition = operation.route.minPosition;
    actions_.emplace_back(SendStatement { connection, operation.id, std::move(statement) });
}

void RelayCore::Impl::performPoolActions(Instant now, const BackendId &backend)
{
    ConnectionPool &pool = poolOf(backend);
    for (const PoolAction &action : pool.takeActions()) {
        if (const auto *open = std::get_if<OpenConnection>(&action); open != nullptr) {
            connections_[open->connection] = backend;
            actions_.emplace_back(ConnectBackend { backend, open->connection, addressOf(backend) });
        } else if (const auto *close = std::get_if<CloseConnection>(&action); close != nullptr) {
            connections_.erase(close->connection);
            actions_.emplace_back(DisconnectBackend { close->connection });
        } else if (const auto *start = std::get_if<StartWork>(&action); start != nullptr) {
            startPoolWork(now, backend, *start);
        } else if (const auto *silentConnection = std::get_if<SilentConnection>(&action); silentConnection != nullptr) {
            counters_.add("connections.silent");
            handleBackendResponse(
                now, { silentConnection->connection, silentConnection->work, BackendOutcome::Lost, "", {} });
            failingSince_.erase(backend); // Other statements completed meanwhile, so the database is healthy.
        } else if (const auto *reject = std::get_if<RejectWork>(&action); reject != nullptr) {
            Operation *operation = operations_.find(reject->work);
            assert(operation != nullptr && "the pool refuses only open operations");
            fail(now, *operation, reject->error);
        }
    }
}

void RelayCore::Impl::startPoolWork(Instant now, const BackendId &backend, const StartWork &start)
{
    Operation *operation = operations_.find(start.work);
    assert(operation != nullptr && "the pool starts only open operations");
    const TransactionId transaction = operation->request.transaction;
    const bool isRollback = operation->request.action == StatementAction::Rollback;
    // The lease is checked when the statement is sent, however long it was queued.
    if (!operation->route.usesPrimary || isRollback
        || canAcknowledge(now, operation->request.group, operation->route.term)) {
        send(now, *operation, start.connection);
        return;
    }
    fail(now, *operation, acknowledgeError(now));
    if (!transaction.empty()) {
        closeTransaction(now, transaction, { ErrorKind::TransactionLost, "the primary may have been replaced", 0 });
        return;
    }
    poolOf(backend).finish(now, start.connection, ConnectionOutcome::Unused);
    performPoolActions(now, backend);
}

void RelayCore::Impl::applyLatencyTargets(Instant now)
{
    for (auto &[backend, pool] : pools_) {
        for (const auto &[classId, target] : configuration_.classes) {
            pool.setTarget(now, classId, target.latencyP99);
        }
        performPoolActions(now, backend);
    }
}

void RelayCore::Impl::handleConnectionOpened(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        actions_.emplace_back(DisconnectBackend { connection });
        return;
    }
    const BackendId backend = found->second;
    failingSince_.erase(backend);
    poolOf(backend).onConnectionOpened(now, connection);
    performPoolActions(now, backend);
}

void RelayCore::Impl::handleConnectionClosed(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    const BackendId backend = found->second;
    if (const auto running = runningWork_.find(connection); running != runningWork_.end()) {
        handleBackendResponse(now, { connection, running->second, BackendOutcome::Lost, "", {} });
    }
    connections_.erase(connection);
    failingSince_.emplace(backend, now);
    if (const std::optional<TransactionId> transaction = transactions_.transactionOnConnection(connection);
        transaction) {
        transactions_.close(*transaction,
            tl::unexpected(Error { ErrorKind::TransactionExpired,
                "the connection of the transaction was lost; the transaction was rolled back", 0 }));
        counters_.add("transactions.lost");
    }
    poolOf(backend).onConnectionClosed(now, connection);
    performPoolActions(now, backend);
}

void RelayCore::Impl::releaseConnection(Instant now, Operation &operation, ConnectionOutcome outcome)
{
    runningWork_.erase(operation.connection);
    const TransactionId &id = operation.request.transaction;
    if (OpenTransaction *transaction = id.empty() ? nullptr : transactions_.find(id); transaction != nullptr) {
        transaction->runningWork = 0;
        transaction->lastUsedAt = now;
        const bool isCommit = operation.request.action == StatementAction::Commit;
        if (outcome == ConnectionOutcome::Reusable && operation.request.action == StatementAction::Execute) {
            poolOf(operation.route.backend).reserveForTransaction(now, operation.connection);
            performPoolActions(now, operation.route.backend);
            return;
        }
        transactions_.close(id,
            tl::unexpected(isCommit ? Error { ErrorKind::OutcomeUnknown, "no response to the commit was received", 0 }
                                    : Error { ErrorKind::TransactionExpired, "the transaction was rolled back", 0 }));
    }
    poolOf(operation.route.backend).finish(now, operation.connection, outcome);
    performPoolActions(now, operation.route.backend);
}

bool RelayCore::Impl::isHomeOf(Instant now, const HomeGrant &grant) const
{
    return grant.entry == options_.vm && lease_.isValidAt(now);
}

std::size_t RelayCore::Impl::grantedConnections(Instant now, const HomeGrant &grant) const
{
    return grant.fixedConnections + (isHomeOf(now, grant) ? grant.leasedConnections : 0);
}

void RelayCore::Impl::updatePoolLimits(Instant now)
{
    for (const BackendState *state : backends_.all()) {
        const BackendId &backend = state->announcement.id;
        const HomeGrant *grant = lease_.findGrant(backend);
        std::size_t connections = 0;
        std::size_t slots = state->announcement.slots;
        std::size_t minConnections = 0;
        if (options_.fixedShareEntries > 0) {
            connections = std::max<std::size_t>(1, state->announcement.connections / options_.fixedShareEntries);
            slots = std::max<std::size_t>(1, slots / options_.fixedShareEntries);
        } else if (grant != nullptr) {
            connections = grantedConnections(now, *grant);
            minConnections = isHomeOf(now, *grant) ? 1 : 0;
            if (positionConnections_.contains(backend)) {
                connections -= std::min(connections, PositionConnections);
            }
        }
        poolOf(backend).setLimits(
            now, connections, std::min(connections, slots), std::min(connections, minConnections));
    }
}

ConnectionPool &RelayCore::Impl::poolOf(const BackendId &backend)
{
    const auto found = pools_.find(backend);
    if (found != pools_.end()) {
        return found->second;
    }
    PoolOptions options;
    options.queue.hasAdmissionControl = options_.hasAdmissionControl;
    options.random = random_;
    return pools_
        .try_emplace(
            backend, [this]() { return nextConnectionId_++; }, std::move(options))
        .first->second;
}

Endpoint RelayCore::Impl::addressOf(const BackendId &backend) const
{
    const BackendState *state = backends_.find(backend);
    return state == nullptr ? Endpoint {} : Endpoint { state->announcement.host, state->announcement.port };
}

std::vector<BackendView> RelayCore::Impl::backendViews(Instant now) const
{
    std::vector<BackendView> result;
    for (const BackendState *state : backends_.all()) {
        BackendView view;
        view.backend = state->announcement.id;
        const auto failing = failingSince_.find(view.backend);
        view.isReachable = failing == failingSince_.end();
        if (!view.isReachable) {
            view.stalledMs = static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - failing->second).count());
        }
        result.push_back(std::move(view));
    }
    return result;
}

} // namespace daisyrelay
