#include "relayimpl.h"

#include <algorithm>
#include <cassert>

namespace daisyrelay {

static constexpr std::uint32_t MostAttempts = 3;
static constexpr std::chrono::milliseconds DefaultDeadline(1000);
static constexpr std::size_t WatchConnections = 1; // The fixed share pays for the connection that watches a replica.

RelayCore::Impl::Impl(RelayOptions options, Counters &counters)
    : options_(std::move(options)), counters_(counters), tokens_(options_.secret), router_(options_.zone)
{
}

static Error makeError(ErrorKind kind, std::string detail)
{
    return { kind, std::move(detail) };
}

Expected<void> RelayCore::Impl::checkTarget(Operation &operation) const
{
    StatementRequest &request = operation.request;
    const auto target = configuration_.classes.find(request.classId);
    if (target == configuration_.classes.end()) {
        return tl::unexpected(makeError(ErrorKind::UnknownClass, "no class '" + request.classId.value + "'"));
    }
    operation.target = target->second;
    const auto service = configuration_.services.find(request.group.service);
    if (service == configuration_.services.end()) {
        return tl::unexpected(makeError(ErrorKind::UnknownService, "no service '" + request.group.service.value + "'"));
    }
    if (request.group.group.empty()) {
        request.group.group = service->second.groupForKey(request.routingKey).value_or(GroupId {});
    }
    if (!service->second.hasGroup(request.group.group)) {
        return tl::unexpected(makeError(ErrorKind::UnknownGroup, "no group '" + request.group.group.value + "'"));
    }
    if (!request.repeatable && request.key.empty()) {
        return tl::unexpected(makeError(ErrorKind::KeyRequired, "a request that is not repeatable needs a key"));
    }
    return {};
}

Expected<Operation> RelayCore::Impl::checkCaller(Instant now, const CallerRequest &caller)
{
    const StatementRequest &request = caller.request;
    if (draining_ && request.transaction.empty()) {
        return tl::unexpected(makeError(ErrorKind::Draining, "this VM is shutting down"));
    }
    Operation operation;
    operation.request = request;
    if (request.transaction.empty()) {
        if (const Expected<void> checked = checkTarget(operation); !checked) {
            return tl::unexpected(checked.error());
        }
    }
    CallerOrigin origin { caller.call, {} };
    if (!caller.token.empty()) {
        Expected<SessionToken> token = tokens_.decode(caller.token);
        if (!token) {
            return tl::unexpected(token.error());
        }
        origin.token = std::move(*token);
    }
    operation.request.floor = origin.token.pointOf(operation.request.group);
    operation.origin = std::move(origin);
    const std::chrono::milliseconds limit = request.deadline.count() > 0 ? request.deadline : DefaultDeadline;
    operation.deadline = now + limit;
    return operation;
}

void RelayCore::Impl::acceptCaller(Instant now, const CallerRequest &caller)
{
    Expected<Operation> operation = checkCaller(now, caller);
    if (!operation) {
        counters_.add("refused." + std::string(answerFor(operation.error().kind).name));
        actions_.emplace_back(AnswerCaller { caller.call, tl::unexpected(operation.error()), caller.token });
        return;
    }
    operation->id = nextWork_++;
    route(now, std::move(*operation));
}

void RelayCore::Impl::route(Instant now, Operation operation)
{
    const WorkId id = operation.id;
    const StatementRequest &request = operation.request;
    if (!request.transaction.empty()) {
        const std::string holder = request.transaction.value.substr(0, request.transaction.value.find('.'));
        if (holder == options_.vm.value) {
            runInTransaction(now, std::move(operation));
            return;
        }
        forward(now, std::move(operation), VmId { holder });
        return;
    }
    Expected<Route> choice = router_.choose(now, request, operation.target, backends_, lease_);
    if (!choice) {
        operations_.insert_or_assign(id, std::move(operation));
        fail(now, id, choice.error().kind, choice.error().detail);
        return;
    }
    operation.route = *choice;
    const HomeGrant *grant = lease_.grantOf(choice->backend);
    if (grant == nullptr || grant->entry == options_.vm || !lease_.liveAt(now)) {
        runLocally(now, std::move(operation));
        return;
    }
    forward(now, std::move(operation), grant->entry);
}

void RelayCore::Impl::forward(Instant now, Operation operation, const VmId &to)
{
    operation.stage = OperationStage::Forwarded;
    operation.forwardedTo = to;
    operation.request.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(operation.deadline - now);
    actions_.emplace_back(
        SendToPeer { to, ForwardRequest { operation.id, operation.route.backend, operation.request } });
    counters_.add("forwarded");
    const WorkId id = operation.id;
    operations_.insert_or_assign(id, std::move(operation));
}

void RelayCore::Impl::acceptForward(Instant now, const VmId &from, const ForwardRequest &forward)
{
    Operation operation;
    operation.id = nextWork_++;
    operation.origin = PeerOrigin { from, forward.forwardId };
    operation.request = forward.request;
    operation.deadline = now + forward.request.deadline;
    if (const auto target = configuration_.classes.find(forward.request.classId);
        target != configuration_.classes.end()) {
        operation.target = target->second;
    }
    if (!forward.request.transaction.empty()) {
        runInTransaction(now, std::move(operation));
        return;
    }
    const GroupTerm *term = lease_.termOf(forward.request.group);
    operation.route.backend = forward.backend;
    operation.route.term = term == nullptr ? 0 : term->term;
    operation.route.toPrimary = term != nullptr && term->primary == forward.backend;
    operation.route.minPosition = operation.route.toPrimary ? 0 : forward.request.floor.position;
    const bool write
        = forward.request.kind == StatementKind::Write || forward.request.action != StatementAction::Execute;
    const WorkId id = operation.id;
    if (write && !operation.route.toPrimary) {
        operations_.insert_or_assign(id, std::move(operation));
        fail(now, id, ErrorKind::NoPrimary, "the database is no longer the primary");
        return;
    }
    runLocally(now, std::move(operation));
}

void RelayCore::Impl::runLocally(Instant now, Operation operation)
{
    operation.stage = OperationStage::Queued;
    const BackendId backend = operation.route.backend;
    const PoolWork work { operation.id, operation.request.classId, operation.deadline, operation.target.latencyP99 };
    operations_.insert_or_assign(work.id, std::move(operation));
    updatePools(now);
    poolOf(backend).submit(now, work);
    drainPool(now, backend);
}

void RelayCore::Impl::runInTransaction(Instant now, Operation operation)
{
    const WorkId id = operation.id;
    const auto found = transactions_.find(operation.request.transaction);
    Operation &stored = operations_.insert_or_assign(id, std::move(operation)).first->second;
    if (found == transactions_.end()) {
        fail(now, id, ErrorKind::TransactionUnknown, "no such transaction is open");
        return;
    }
    OpenTransaction &transaction = found->second;
    if (transaction.running != 0) {
        fail(now, id, ErrorKind::BadRequest, "the transaction runs another statement");
        return;
    }
    transaction.running = id;
    transaction.lastUse = now;
    stored.request.group = transaction.group;
    stored.target = transaction.target;
    stored.route = Route { transaction.backend, transaction.term, 0, true };
    send(now, stored, transaction.connection);
}

void RelayCore::Impl::send(Instant /*now*/, Operation &operation, ConnectionId connection)
{
    operation.stage = OperationStage::Sent;
    operation.connection = connection;
    ++operation.attempts;
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
    for (const PoolAction &action : poolOf(backend).takeActions()) {
        if (const auto *open = std::get_if<OpenConnection>(&action); open != nullptr) {
            connections_[open->connection] = backend;
            actions_.emplace_back(ConnectBackend { backend, open->connection, addressOf(backend) });
        } else if (const auto *close = std::get_if<CloseConnection>(&action); close != nullptr) {
            connections_.erase(close->connection);
            actions_.emplace_back(DisconnectBackend { close->connection });
        } else if (const auto *start = std::get_if<StartWork>(&action); start != nullptr) {
            const auto found = operations_.find(start->work);
            assert(found != operations_.end() && "the pool may only start work that is open");
            send(now, found->second, start->connection);
        } else if (const auto *refuse = std::get_if<RefuseWork>(&action); refuse != nullptr) {
            fail(now, refuse->work, refuse->error.kind, refuse->error.detail);
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
    failingSince_.erase(found->second);
    poolOf(found->second).connectionOpened(now, connection);
    drainPool(now, found->second);
}

void RelayCore::Impl::connectionClosed(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    const BackendId backend = found->second;
    connections_.erase(found);
    failingSince_.emplace(backend, now);
    std::erase_if(transactions_, [connection](const auto &entry) { return entry.second.connection == connection; });
    poolOf(backend).connectionClosed(now, connection);
    drainPool(now, backend);
}

void RelayCore::Impl::replied(Instant now, const BackendReply &reply)
{
    const auto found = operations_.find(reply.work);
    if (found == operations_.end() || found->second.stage != OperationStage::Sent
        || found->second.connection != reply.connection) {
        counters_.add("answers.discarded");
        return;
    }
    Operation &operation = found->second;
    const StatementRequest &request = operation.request;
    if (reply.outcome == BackendOutcome::Succeeded) {
        failingSince_.erase(operation.route.backend);
        succeeded(now, operation, reply);
        return;
    }
    releaseConnection(now, operation, reply.outcome != BackendOutcome::Lost);
    if (reply.outcome == BackendOutcome::Failed) {
        fail(now, reply.work, ErrorKind::StatementFailed, reply.resultJson);
        return;
    }
    const bool ran = reply.outcome == BackendOutcome::Lost;
    const bool mayRepeat = request.transaction.empty() && request.action == StatementAction::Execute
        && (request.kind == StatementKind::Read || request.repeatable);
    if (mayRepeat && operation.attempts < MostAttempts && now < operation.deadline) {
        counters_.add(ran ? "retried.lost" : "retried.refused");
        Operation again = std::move(operation);
        operations_.erase(reply.work);
        route(now, std::move(again));
        return;
    }
    fail(now, reply.work, ran ? ErrorKind::OutcomeUnknown : ErrorKind::BackendBusy, "the database did not answer");
}

void RelayCore::Impl::succeeded(Instant now, Operation &operation, const BackendReply &reply)
{
    const WorkId id = operation.id;
    operation.result = { reply.resultJson, operation.request.group, operation.route.backend, operation.route.toPrimary,
        reply.point, operation.request.transaction };
    if (operation.request.action == StatementAction::Begin) {
        operation.result.transaction
            = TransactionId { options_.vm.value + "." + options_.bootId + "." + std::to_string(id) };
        transactions_[operation.result.transaction] = { operation.request.group, operation.target,
            operation.route.backend, operation.connection, 0, operation.route.term, now };
        finish(now, id, operation.result);
        return;
    }
    releaseConnection(now, operation, true);
    backends_.observe(now, operation.route.backend, reply.point);
    const bool endsWrite = operation.request.action == StatementAction::Commit
        || (operation.request.transaction.empty() && operation.request.kind == StatementKind::Write);
    if (!endsWrite) {
        finish(now, id, operation.result);
        return;
    }
    if (!mayAcknowledge(now, operation.request.group, operation.route.term)) {
        fail(now, id, ErrorKind::OutcomeUnknown, "the primary may have been replaced");
        return;
    }
    if (operation.target.durability == Durability::Local) {
        finish(now, id, operation.result);
        return;
    }
    operation.stage = OperationStage::Replicating;
    watchReplicas(operation.request.group);
}

void RelayCore::Impl::releaseConnection(Instant now, const Operation &operation, bool reusable)
{
    const auto transaction = transactions_.find(operation.request.transaction);
    if (transaction != transactions_.end()) {
        transaction->second.running = 0;
        transaction->second.lastUse = now;
        const bool over = operation.request.action == StatementAction::Commit
            || operation.request.action == StatementAction::Rollback;
        if (reusable && !over) {
            return;
        }
        transactions_.erase(transaction);
    }
    poolOf(operation.route.backend).finish(now, operation.connection, reusable);
    drainPool(now, operation.route.backend);
}

void RelayCore::Impl::replicaAt(Instant now, const BackendId &backend, std::optional<LogPoint> point)
{
    watches_.erase(backend);
    const BackendState *state = backends_.find(backend);
    if (state == nullptr) {
        return;
    }
    const GroupKey group = state->announcement.group;
    if (point) {
        backends_.observe(now, backend, *point);
        std::vector<WorkId> done;
        for (const auto &[id, operation] : operations_) {
            if (operation.stage == OperationStage::Replicating && operation.request.group == group
                && operation.result.point <= *point) {
                done.push_back(id);
            }
        }
        for (const WorkId id : done) {
            const Operation &operation = operations_.at(id);
            if (mayAcknowledge(now, group, operation.route.term)) {
                finish(now, id, StatementResult(operation.result));
            } else {
                fail(now, id, ErrorKind::OutcomeUnknown, "the primary may have been replaced");
            }
        }
        watchReplicas(group);
    }
}

void RelayCore::Impl::watchReplicas(const GroupKey &group)
{
    std::optional<Position> lowest;
    for (const auto &[id, operation] : operations_) {
        if (operation.stage == OperationStage::Replicating && operation.request.group == group) {
            lowest = std::min(lowest.value_or(operation.result.point.position), operation.result.point.position);
        }
    }
    const GroupTerm *term = lease_.termOf(group);
    if (!lowest || term == nullptr) {
        return;
    }
    for (const BackendState *state : backends_.ofGroup(group)) {
        const BackendId &backend = state->announcement.id;
        if (backend != term->primary && watches_.try_emplace(backend, *lowest).second) {
            actions_.emplace_back(WatchReplica { backend, addressOf(backend), *lowest });
        }
    }
}

void RelayCore::Impl::forwardAnswered(Instant now, const VmId &from, const ForwardAnswer &answer)
{
    const auto found = operations_.find(answer.forwardId);
    if (found == operations_.end() || found->second.stage != OperationStage::Forwarded
        || found->second.forwardedTo != from) {
        counters_.add("answers.discarded");
        return;
    }
    if (!answer.succeeded) {
        finish(now, answer.forwardId, tl::unexpected(Error { answer.error, answer.detail, answer.retryAfterMs }));
        return;
    }
    const Operation &operation = found->second;
    const bool write
        = operation.request.kind == StatementKind::Write || operation.request.action == StatementAction::Commit;
    if (write && operation.request.transaction.empty()
        && !mayAcknowledge(now, operation.request.group, answer.result.point.term)) {
        fail(now, answer.forwardId, ErrorKind::OutcomeUnknown, "the primary may have been replaced");
        return;
    }
    finish(now, answer.forwardId, answer.result);
}

void RelayCore::Impl::peerUnreachable(Instant now, const VmId &vm)
{
    std::vector<WorkId> lost;
    for (const auto &[id, operation] : operations_) {
        if (operation.stage == OperationStage::Forwarded && operation.forwardedTo == vm) {
            lost.push_back(id);
        }
    }
    for (const WorkId id : lost) {
        fail(now, id, ErrorKind::OutcomeUnknown, "the entry that ran the request can not be reached");
    }
}

void RelayCore::Impl::finish(Instant /*now*/, WorkId id, const Expected<StatementResult> &result)
{
    const auto found = operations_.find(id);
    assert(found != operations_.end() && "an operation is finished once");
    const Operation operation = std::move(found->second);
    operations_.erase(found);
    answer(operation, result);
}

void RelayCore::Impl::fail(Instant now, WorkId id, ErrorKind kind, std::string detail)
{
    finish(now, id, tl::unexpected(Error { kind, std::move(detail) }));
}

void RelayCore::Impl::answer(const Operation &operation, const Expected<StatementResult> &result)
{
    if (!result) {
        counters_.add("refused." + std::string(answerFor(result.error().kind).name));
    }
    if (const auto *peer = std::get_if<PeerOrigin>(&operation.origin); peer != nullptr) {
        ForwardAnswer message;
        message.forwardId = peer->forwardId;
        message.succeeded = result.has_value();
        if (result) {
            message.result = *result;
        } else {
            message.error = result.error().kind;
            message.detail = result.error().detail;
            message.retryAfterMs = result.error().retryAfterMs;
        }
        actions_.emplace_back(SendToPeer { peer->vm, std::move(message) });
        return;
    }
    CallerOrigin origin = std::get<CallerOrigin>(operation.origin);
    if (result) {
        origin.token.raise(result->group, result->point);
        counters_.add(operation.request.kind == StatementKind::Write ? "answered.write"
                : result->byPrimary                                  ? "answered.read.primary"
                                                                     : "answered.read.replica");
    }
    actions_.emplace_back(AnswerCaller { origin.call, result, tokens_.encode(origin.token) });
}

bool RelayCore::Impl::mayAcknowledge(Instant now, const GroupKey &group, Term term) const
{
    const GroupTerm *current = lease_.termOf(group);
    return lease_.liveAt(now) && current != nullptr && current->term == term && !current->primary.empty();
}

void RelayCore::Impl::setLease(Instant now, const LeaseState &lease)
{
    lease_ = lease;
    updatePools(now);
    for (auto &[backend, pool] : pools_) {
        drainPool(now, backend);
    }
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

void RelayCore::Impl::tick(Instant now)
{
    backends_.expire(now);
    updatePools(now);
    for (auto &[backend, pool] : pools_) {
        pool.tick(now);
        drainPool(now, backend);
    }
    std::vector<WorkId> late;
    for (const auto &[id, operation] : operations_) {
        if (operation.deadline <= now) {
            late.push_back(id);
        }
    }
    for (const WorkId id : late) {
        const Operation &operation = operations_.at(id);
        if (operation.stage == OperationStage::Sent) {
            releaseConnection(now, operation, false);
        }
        fail(now, id, ErrorKind::OutcomeUnknown, "no answer came in time");
    }
    std::vector<TransactionId> idleOnes;
    for (const auto &[id, transaction] : transactions_) {
        if (transaction.running == 0 && transaction.lastUse + options_.transactionIdle <= now) {
            idleOnes.push_back(id);
        }
    }
    for (const TransactionId &id : idleOnes) {
        const OpenTransaction transaction = transactions_.at(id);
        transactions_.erase(id);
        counters_.add("transactions.expired");
        poolOf(transaction.backend).finish(now, transaction.connection, false);
        drainPool(now, transaction.backend);
    }
}

} // namespace daisyrelay
