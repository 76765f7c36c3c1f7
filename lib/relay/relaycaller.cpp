// The entry that hears the caller: checks the request, routes it, retries it and answers it.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::uint32_t MostAttempts = 4;
static constexpr std::chrono::milliseconds DefaultDeadline(1000);
static constexpr std::int64_t RetryAfterMs = 100;

/// The home stops this much earlier than the entry, so that its exact answer arrives before the entry has to guess.
static constexpr std::chrono::milliseconds AnswerMargin(20);
static constexpr int AnswerMarginDivisor = 10;

static std::uint64_t firstWork(const std::string &bootId)
{
    constexpr std::uint64_t BootBits = 0xffffff;
    constexpr int CountBits = 38;
    return ((std::hash<std::string>()(bootId) & BootBits) << CountBits) + 1;
}

RelayCore::Impl::Impl(RelayOptions options, Counters &counters)
    : options_(std::move(options))
    , counters_(counters)
    , generator_(options_.seed)
    , random_([this]() { return generator_(); })
    , tokens_(options_.secret)
    , router_(options_.zone, options_.readPolicy, random_)
    , load_(random_)
    , nextWork_(firstWork(options_.bootId))
{
}

static Error makeError(ErrorKind kind, std::string detail, std::int64_t retryAfterMs = 0)
{
    return { kind, std::move(detail), retryAfterMs };
}

Expected<void> RelayCore::Impl::checkTarget(Operation &operation) const
{
    StatementRequest &request = operation.request;
    if (configVersion_ == 0) {
        // A VM that has just started knows no class yet; the caller's class may well exist.
        return tl::unexpected(
            makeError(ErrorKind::NoLease, "no configuration is in force on this VM yet", RetryAfterMs));
    }
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
    if (!request.isRepeatable && request.key.empty()) {
        return tl::unexpected(makeError(ErrorKind::KeyRequired, "a request that is not repeatable needs a key"));
    }
    return {};
}

Expected<Operation> RelayCore::Impl::checkCaller(Instant now, const CallerRequest &caller)
{
    const StatementRequest &request = caller.request;
    if (draining_ && request.transaction.empty()) {
        return tl::unexpected(makeError(ErrorKind::Draining, "this VM is shutting down", RetryAfterMs));
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
    operation.request.minPoint = origin.token.pointOf(operation.request.group);
    operation.origin = std::move(origin);
    operation.acceptedAt = now;
    operation.deadline = now + (request.timeLeft.count() > 0 ? request.timeLeft : DefaultDeadline);
    return operation;
}

void RelayCore::Impl::acceptCaller(Instant now, const CallerRequest &caller)
{
    Expected<Operation> operation = checkCaller(now, caller);
    if (!operation) {
        counters_.add("refused." + std::string(errorResponseFor(operation.error().kind).name));
        actions_.emplace_back(AnswerCaller { caller.call, tl::unexpected(operation.error()), caller.token });
        return;
    }
    operation->id = nextWork_++;
    route(now, operations_.add(std::move(*operation)));
}

void RelayCore::Impl::route(Instant now, Operation &operation)
{
    operation.stage = OperationStage::Routing;
    if (!operation.request.transaction.empty()) {
        routeToHolder(now, operation);
        return;
    }
    const RoutingView view { backends_, lease_, load_, operation.tried };
    Expected<Route> choice = router_.choose(now, operation.request, operation.target, view);
    if (!choice) {
        finish(now, operation.id, tl::unexpected(choice.error()));
        return;
    }
    operation.route = std::move(*choice);
    load_.started(operation.route.backend);
    operation.loadCounted = true;
    operation.sentAt = now;
    const HomeGrant *grant = lease_.grantOf(operation.route.backend);
    if (grant == nullptr) {
        fail(now, operation, makeError(ErrorKind::BackendUnavailable, "the database has no home yet", RetryAfterMs));
        return;
    }
    if (grant->entry.empty() && operation.route.toPrimary) {
        fail(now, operation, makeError(ErrorKind::NoPrimary, "the home of the primary is changing", RetryAfterMs));
        return;
    }
    if (grant->entry.empty() || grant->entry == options_.vm || operation.runHere || options_.fixedShares > 0) {
        runHere(now, operation);
        return;
    }
    forward(now, operation, grant->entry);
}

void RelayCore::Impl::forward(Instant now, Operation &operation, const VmId &to)
{
    operation.stage = OperationStage::Forwarded;
    operations_.setForwarded(operation, to);
    ++operation.attempts;
    operation.sentAt = now;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(operation.deadline - now);
    ForwardRequest message;
    message.forwardId = operation.id;
    message.sentAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    message.backend = operation.route.backend;
    message.request = operation.request;
    message.request.timeLeft = left - std::min(AnswerMargin, left / AnswerMarginDivisor);
    actions_.emplace_back(SendToPeer { to, std::move(message) });
    counters_.add("forwarded");
}

Expected<void> RelayCore::Impl::checkForwardedAnswer(
    Instant now, const Operation &operation, const StatementResult &result) const
{
    const bool strictRead = operation.isPlainRead() && result.isFromPrimary;
    if ((operation.acknowledgesWrite() || strictRead) && !mayAcknowledge(now, result.group, result.point.term)) {
        return tl::unexpected(makeError(ErrorKind::OutcomeUnknown, "the primary may have been replaced"));
    }
    return {};
}

void RelayCore::Impl::forwardAnswered(Instant now, const VmId &from, const ForwardAnswer &answer)
{
    Operation *operation = operations_.find(answer.forwardId);
    if (operation == nullptr || operation->stage != OperationStage::Forwarded || operation->forwardedTo != from) {
        counters_.add("answers.discarded");
        return;
    }
    operations_.setForwarded(*operation, {});
    if (!answer.succeeded) {
        fail(now, *operation, Error { answer.error, answer.detail, answer.retryAfterMs });
        return;
    }
    backends_.observe(now, answer.result.backend, answer.result.point);
    if (const Expected<void> checked = checkForwardedAnswer(now, *operation, answer.result); !checked) {
        fail(now, *operation, checked.error());
        return;
    }
    finish(now, operation->id, answer.result);
}

void RelayCore::Impl::peerUnreachable(Instant now, const VmId &vm)
{
    for (const WorkId id : operations_.forwardedTo(vm)) {
        Operation *operation = operations_.find(id);
        if (operation == nullptr) {
            continue;
        }
        operations_.setForwarded(*operation, {});
        const bool inTransaction = !operation->request.transaction.empty();
        if (operation->request.action == StatementAction::Begin) {
            fail(now, *operation, makeError(ErrorKind::PeerUnreachable, "the home can not be reached", RetryAfterMs));
        } else if (inTransaction && operation->request.action != StatementAction::Commit) {
            fail(now, *operation,
                makeError(ErrorKind::TransactionLost, "the entry that holds the transaction can not be reached"));
        } else if (operation->isPlainRead() && !lease_.liveAt(now) && !operation->runHere) {
            // A zone that is alone goes on with the fixed share that each entry keeps without a lease.
            counters_.add("rerouted.fixed-share");
            leaveLoad(*operation);
            operation->runHere = true;
            route(now, *operation);
        } else {
            fail(now, *operation,
                makeError(ErrorKind::OutcomeUnknown, "the entry that ran the request can not be reached"));
        }
    }
}

void RelayCore::Impl::leaveLoad(Operation &operation)
{
    if (operation.loadCounted) {
        load_.ended(operation.route.backend);
        operation.loadCounted = false;
    }
}

static bool isRetryable(ErrorKind kind)
{
    return kind == ErrorKind::TooStale || kind == ErrorKind::BackendUnavailable || kind == ErrorKind::BackendBusy
        || kind == ErrorKind::OutcomeUnknown || kind == ErrorKind::Draining;
}

bool RelayCore::Impl::tryAgain(Instant now, Operation &operation, const Error &error)
{
    if (!operation.fromCaller() || !operation.mayRepeat() || !isRetryable(error.kind) || now >= operation.deadline) {
        return false;
    }
    const std::string reason(errorResponseFor(error.kind).name);
    if (operation.isPlainRead() && !operation.route.toPrimary) {
        counters_.add("rerouted." + reason);
        load_.failed(now, operation.route.backend);
        leaveLoad(operation);
        operation.tried.insert(operation.route.backend);
        operation.waitUntil = {};
        route(now, operation);
        return true;
    }
    if (error.kind == ErrorKind::TooStale || operation.attempts >= MostAttempts) {
        return false;
    }
    const Instant again = now + backoffDelay(operation.attempts, random_);
    if (again >= operation.deadline) {
        return false;
    }
    if (!budgets_.of(operation.request.group, operation.request.classId).tryTake()) {
        counters_.add("retries.over-budget");
        return false;
    }
    counters_.add("retried." + reason);
    operation.mayHaveRan = operation.mayHaveRan || errorResponseFor(error.kind).executed != Executed::No;
    leaveLoad(operation);
    operation.stage = OperationStage::RetryDelay;
    operations_.wakeAt(operation, again);
    return true;
}

void RelayCore::Impl::fail(Instant now, Operation &operation, Error error)
{
    if (operation.inFallback) {
        leaveFallback(now, operation);
    }
    if (!tryAgain(now, operation, error)) {
        finish(now, operation.id, tl::unexpected(std::move(error)));
    }
}

void RelayCore::Impl::finish(Instant now, WorkId id, Expected<StatementResult> answer)
{
    Operation operation = operations_.take(id);
    leaveLoad(operation);
    if (OpenTransaction *transaction = transactions_.find(operation.request.transaction);
        transaction != nullptr && transaction->running == id) {
        transaction->running = 0; // Refused while it waited for a slot; the transaction goes on.
    }
    if (operation.inFallback) {
        leaveFallback(now, operation);
    }
    if (operation.stage == OperationStage::Replicating) {
        replication_.remove(operation.request.group, operation.result.point, id);
    }
    if (operation.mayHaveRan && didNotRun(answer) && !operation.isPlainRead()) {
        answer = tl::unexpected(makeError(ErrorKind::OutcomeUnknown, "an earlier attempt may have run"));
    }
    if (operation.request.action == StatementAction::Commit && transactions_.endOf(operation.request.transaction)) {
        transactions_.close(operation.request.transaction, answer);
    }
    if (operation.keyHeld) {
        endKey(now, operation, answer);
    }
    if (const auto *peer = std::get_if<PeerOrigin>(&operation.origin); peer != nullptr) {
        answerPeer(*peer, answer);
        return;
    }
    if (answer) {
        load_.succeeded(answer->backend, now - operation.sentAt);
        budgets_.of(operation.request.group, operation.request.classId).succeeded();
    }
    answerCaller(operation, answer);
}

void RelayCore::Impl::answerCaller(const Operation &operation, const Expected<StatementResult> &answer)
{
    const auto &origin = std::get<CallerOrigin>(operation.origin);
    SessionToken token = origin.token;
    if (answer) {
        token.raise(answer->group, answer->point);
        const bool write = operation.request.kind == StatementKind::Write;
        counters_.add(write             ? "answered.write"
                : answer->isFromPrimary ? "answered.read.primary"
                                        : "answered.read.replica");
    } else {
        counters_.add("refused." + std::string(errorResponseFor(answer.error().kind).name));
        if (answer.error().kind == ErrorKind::LostWrite) {
            // The session has been told; from here on it goes on with what the group has.
            token.points.erase(operation.request.group);
        }
    }
    actions_.emplace_back(AnswerCaller { origin.call, answer, tokens_.encode(token) });
}

void RelayCore::Impl::answerPeer(const PeerOrigin &origin, const Expected<StatementResult> &answer)
{
    ForwardAnswer message;
    message.forwardId = origin.forwardId;
    message.succeeded = answer.has_value();
    if (answer) {
        message.result = *answer;
    } else {
        counters_.add("refused.forwarded." + std::string(errorResponseFor(answer.error().kind).name));
        message.error = answer.error().kind;
        message.detail = answer.error().detail;
        message.retryAfterMs = answer.error().retryAfterMs;
    }
    actions_.emplace_back(SendToPeer { origin.vm, std::move(message) });
}

} // namespace daisyrelay
