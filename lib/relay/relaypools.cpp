// The connections that this entry may use, and the statements on them.
#include "relayimpl.h"

#include <algorithm>
#include <cassert>

namespace daisyrelay {

static constexpr std::size_t WatchConnections = 1; // The fixed share pays for the connection that asks for positions.

void RelayCore::Impl::send(Instant now, Operation &operation, ConnectionId connection)
{
    operation.stage = OperationStage::Sent;
    operation.connection = connection;
    operation.sentAt = now;
    ++operation.attempts;
    running_[connection] = operation.id;
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

void RelayCore::Impl::drainPool(Instant now, const BackendId &backend)
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
            Operation *operation = operations_.find(start->work);
            assert(operation != nullptr && "the pool may only start work that is open");
            // The lease is checked when the statement leaves, however long it waited.
            if (operation->route.toPrimary && !mayAcknowledge(now, operation->request.group, operation->route.term)) {
                pool.finish(now, start->connection, true);
                fail(now, *operation, whyNotAcknowledged(now));
                drainPool(now, backend);
                continue;
            }
            send(now, *operation, start->connection);
        } else if (const auto *refuse = std::get_if<RefuseWork>(&action); refuse != nullptr) {
            Operation *operation = operations_.find(refuse->work);
            assert(operation != nullptr && "the pool may only refuse work that is open");
            fail(now, *operation, refuse->error);
        }
    }
}

void RelayCore::Impl::connectionOpened(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        actions_.emplace_back(DisconnectBackend { connection });
        return;
    }
    const BackendId backend = found->second;
    failingSince_.erase(backend);
    poolOf(backend).connectionOpened(now, connection);
    drainPool(now, backend);
}

void RelayCore::Impl::connectionClosed(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    const BackendId backend = found->second;
    if (const auto running = running_.find(connection); running != running_.end()) {
        replied(now, { connection, running->second, BackendOutcome::Lost, "", {} });
    }
    connections_.erase(connection);
    failingSince_.emplace(backend, now);
    if (const std::optional<TransactionId> transaction = transactions_.onConnection(connection); transaction) {
        transactions_.close(*transaction,
            tl::unexpected(Error { ErrorKind::TransactionExpired, "its connection was lost; it was rolled back", 0 }));
        counters_.add("transactions.lost");
    }
    poolOf(backend).connectionClosed(now, connection);
    drainPool(now, backend);
}

void RelayCore::Impl::releaseConnection(Instant now, Operation &operation, bool reusable)
{
    running_.erase(operation.connection);
    const TransactionId &id = operation.request.transaction;
    if (OpenTransaction *transaction = id.empty() ? nullptr : transactions_.find(id); transaction != nullptr) {
        transaction->running = 0;
        transaction->lastUse = now;
        const bool commits = operation.request.action == StatementAction::Commit;
        if (reusable && operation.request.action == StatementAction::Execute) {
            return;
        }
        transactions_.close(id,
            tl::unexpected(commits ? Error { ErrorKind::OutcomeUnknown, "its commit was not answered", 0 }
                                   : Error { ErrorKind::TransactionExpired, "it was rolled back", 0 }));
    }
    poolOf(operation.route.backend).finish(now, operation.connection, reusable);
    drainPool(now, operation.route.backend);
}

void RelayCore::Impl::updatePools(Instant now)
{
    for (const BackendState *state : backends_.all()) {
        const BackendId &backend = state->announcement.id;
        const HomeGrant *grant = lease_.grantOf(backend);
        std::size_t connections = 0;
        if (grant != nullptr) {
            connections = grant->fixedConnections;
            if (grant->entry == options_.vm && lease_.liveAt(now)) {
                connections += grant->leasedConnections;
            }
            if (watched_.contains(backend)) {
                connections -= std::min(connections, WatchConnections);
            }
        }
        poolOf(backend).setLimits(now, connections, std::min<std::size_t>(connections, state->announcement.slots));
    }
}

ConnectionPool &RelayCore::Impl::poolOf(const BackendId &backend)
{
    const auto found = pools_.find(backend);
    if (found != pools_.end()) {
        return found->second;
    }
    return pools_.try_emplace(backend, [this]() { return nextConnection_++; }).first->second;
}

Endpoint RelayCore::Impl::addressOf(const BackendId &backend) const
{
    const BackendState *state = backends_.find(backend);
    return state == nullptr ? Endpoint {} : Endpoint { state->announcement.host, state->announcement.port };
}

std::vector<BackendView> RelayCore::Impl::views(Instant now) const
{
    std::vector<BackendView> result;
    for (const BackendState *state : backends_.all()) {
        BackendView view;
        view.backend = state->announcement.id;
        const auto failing = failingSince_.find(view.backend);
        view.reachable = failing == failingSince_.end();
        if (!view.reachable) {
            view.stalledMs = static_cast<std::uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - failing->second).count());
        }
        result.push_back(std::move(view));
    }
    return result;
}

} // namespace daisyrelay
