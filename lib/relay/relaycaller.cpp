// The entry that received the request from the caller: checks, routes and retries the request and responds.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::uint32_t MaxAttempts = 4;
static constexpr std::chrono::milliseconds DefaultDeadline(1000);
static constexpr std::int64_t RetryAfterMs = 100;

/// The home's deadline is earlier than the entry's by this margin, so that the exact result of the home arrives before
/// the entry has to respond that the outcome is unknown.
static constexpr std::chrono::milliseconds ResponseMargin(20);
static constexpr int ResponseMarginDivisor = 10;

static std::uint64_t firstWorkId(const std::string &bootId)
{
    constexpr std::uint64_t BootBits = 0xffffff;
    constexpr int CountBits = 38;
    return ((std::hash<std::string>()(bootId) & BootBits) << CountBits) + 1;
}

RelayCore::Impl::Impl(RelayOptions options, Counters &counters)
    : options_(std::move(options))
    , counters_(counters)
    , generator_(options_.randomSeed)
    , random_([this]() { return generator_(); })
    , tokens_(options_.secret)
    , router_(options_.zone, options_.readPolicy, random_)
    , readLoad_(random_)
    , nextWorkId_(firstWorkId(options_.bootId))
{
}

static Error makeError(ErrorKind kind, std::string detail, std::int64_t retryAfterMs = 0)
{
    return { kind, std::move(detail), retryAfterMs };
}

Expected<void> RelayCore::Impl::resolveTarget(Operation &operation) const
{
    StatementRequest &request = operation.request;
    if (configVersion_ == 0) {
        // A VM that has just started has no configuration yet, although the class may exist.
        return tl::unexpected(
            makeError(ErrorKind::NoLease, "no configuration is in force on this VM yet", RetryAfterMs));
    }
    const auto target = configuration_.classes.find(request.classId);
    if (target == configuration_.classes.end()) {
        return tl::unexpected(makeError(ErrorKind::UnknownClass, "unknown class '" + request.classId.value + "'"));
    }
    operation.target = target->second;
    const auto service = configuration_.services.find(request.group.service);
    if (service == configuration_.services.end()) {
        return tl::unexpected(
            makeError(ErrorKind::UnknownService, "unknown service '" + request.group.service.value + "'"));
    }
    if (request.group.group.empty()) {
        request.group.group = service->second.groupForKey(request.routingKey).value_or(GroupId {});
    }
    if (!service->second.hasGroup(request.group.group)) {
        return tl::unexpected(makeError(ErrorKind::UnknownGroup, "unknown group '" + request.group.group.value + "'"));
    }
    if (!request.isRepeatable && request.key.empty()) {
        return tl::unexpected(
            makeError(ErrorKind::KeyRequired, "a non-repeatable request requires an idempotency key"));
    }
    return {};
}

Expected<Operation> RelayCore::Impl::checkCallerRequest(Instant now, const CallerRequest &caller)
{
    const StatementRequest &request = caller.request;
    if (isDraining_ && request.transaction.empty()) {
        return tl::unexpected(makeError(ErrorKind::Draining, "this VM is shutting down", RetryAfterMs));
    }
    Operation operation;
    operation.request = request;
    if (request.transaction.empty()) {
        if (const Expected<void> checked = resolveTarget(operation); !checked) {
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

void RelayCore::Impl::acceptCallerRequest(Instant now, const CallerRequest &caller)
{
    Expected<Operation> operation = checkCallerRequest(now, caller);
    if (!operation) {
        counters_.add("refused." + std::string(errorResponseFor(operation.error().kind).name));
        actions_.emplace_back(RespondToCaller { caller.call, tl::unexpected(operation.error()), caller.token });
        return;
    }
    operation->id = nextWorkId_++;
    route(now, operations_.add(std::move(*operation)));
}

void RelayCore::Impl::route(Instant now, Operation &operation)
{
    operation.stage = OperationStage::Routing;
    if (!operation.request.transaction.empty()) {
        routeToTransactionEntry(now, operation);
        return;
    }
    const RoutingContext context { backends_, lease_, readLoad_, operation.triedBackends };
    Expected<Route> choice = router_.choose(now, operation.request, operation.target, context);
    if (!choice) {
        finish(now, operation.id, tl::unexpected(choice.error()));
        return;
    }
    operation.route = std::move(*choice);
    readLoad_.recordStart(operation.route.backend);
    operation.isCountedInLoad = true;
    operation.sentAt = now;
    const HomeGrant *grant = lease_.findGrant(operation.route.backend);
    if (grant == nullptr) {
        fail(now, operation,
            makeError(ErrorKind::BackendUnavailable, "no home is assigned to the database yet", RetryAfterMs));
        return;
    }
    if (grant->entry.empty() && operation.route.usesPrimary) {
        fail(now, operation, makeError(ErrorKind::NoPrimary, "the home of the primary is changing", RetryAfterMs));
        return;
    }
    if (grant->entry.empty() || grant->entry == options_.vm || operation.mustRunLocally
        || options_.fixedShareEntries > 0) {
        runLocally(now, operation);
        return;
    }
    forward(now, operation, grant->entry);
}

void RelayCore::Impl::forward(Instant now, Operation &operation, const VmId &to)
{
    operation.stage = OperationStage::Forwarded;
    operations_.setForwardedTo(operation, to);
    ++operation.attempts;
    operation.sentAt = now;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(operation.deadline - now);
    ForwardRequest message;
    message.forwardId = operation.id;
    message.sentAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    message.backend = operation.route.backend;
    message.request = operation.request;
    message.request.timeLeft = remaining - std::min(ResponseMargin, remaining / ResponseMarginDivisor);
    actions_.emplace_back(SendToPeer { to, std::move(message) });
    counters_.add("forwarded");
}

Expected<void> RelayCore::Impl::checkForwardedResult(
    Instant now, const Operation &operation, const StatementResult &result) const
{
    const bool isPrimaryRead = operation.isPlainRead() && result.isFromPrimary;
    if ((operation.acknowledgesWrite() || isPrimaryRead) && !canAcknowledge(now, result.group, result.point.term)) {
        return tl::unexpected(makeError(ErrorKind::OutcomeUnknown, "the primary may have been replaced"));
    }
    return {};
}

void RelayCore::Impl::handleForwardResponse(Instant now, const VmId &from, const ForwardResponse &response)
{
    Operation *operation = operations_.find(response.forwardId);
    if (operation == nullptr || operation->stage != OperationStage::Forwarded || operation->forwardedTo != from) {
        counters_.add("answers.discarded");
        return;
    }
    operations_.setForwardedTo(*operation, {});
    if (!response.hasSucceeded) {
        fail(now, *operation, Error { response.error, response.detail, response.retryAfterMs });
        return;
    }
    backends_.recordPoint(now, response.result.backend, response.result.point);
    if (const Expected<void> checked = checkForwardedResult(now, *operation, response.result); !checked) {
        fail(now, *operation, checked.error());
        return;
    }
    finish(now, operation->id, response.result);
}

void RelayCore::Impl::handlePeerUnreachable(Instant now, const VmId &vm)
{
    for (const WorkId id : operations_.operationsForwardedTo(vm)) {
        Operation *operation = operations_.find(id);
        if (operation == nullptr) {
            continue;
        }
        operations_.setForwardedTo(*operation, {});
        const bool isInTransaction = !operation->request.transaction.empty();
        if (operation->request.action == StatementAction::Begin) {
            fail(now, *operation,
                makeError(ErrorKind::PeerUnreachable, "the home of the database is unreachable", RetryAfterMs));
        } else if (isInTransaction && operation->request.action != StatementAction::Commit) {
            fail(now, *operation,
                makeError(ErrorKind::TransactionLost, "the entry that holds the transaction is unreachable"));
        } else if (operation->isPlainRead() && !lease_.isValidAt(now) && !operation->mustRunLocally) {
            // An isolated zone continues with the fixed share of connections that each entry keeps without a lease.
            counters_.add("rerouted.fixed-share");
            endLoadTracking(*operation);
            operation->mustRunLocally = true;
            route(now, *operation);
        } else {
            fail(now, *operation,
                makeError(ErrorKind::OutcomeUnknown, "the entry that ran the request became unreachable"));
        }
    }
}

void RelayCore::Impl::endLoadTracking(Operation &operation)
{
    if (operation.isCountedInLoad) {
        readLoad_.recordEnd(operation.route.backend);
        operation.isCountedInLoad = false;
    }
}

static bool isRetryable(ErrorKind kind)
{
    return kind == ErrorKind::TooStale || kind == ErrorKind::BackendUnavailable || kind == ErrorKind::BackendBusy
        || kind == ErrorKind::OutcomeUnknown || kind == ErrorKind::Draining;
}

bool RelayCore::Impl::scheduleRetry(Instant now, Operation &operation, const Error &error)
{
    if (!operation.isFromCaller() || !operation.canRepeat() || !isRetryable(error.kind) || now >= operation.deadline) {
        return false;
    }
    const std::string reason(errorResponseFor(error.kind).name);
    if (operation.isPlainRead() && !operation.route.usesPrimary) {
        counters_.add("rerouted." + reason);
        readLoad_.recordFailure(now, operation.route.backend);
        endLoadTracking(operation);
        operation.triedBackends.insert(operation.route.backend);
        operation.replicaWaitUntil = {};
        route(now, operation);
        return true;
    }
    if (error.kind == ErrorKind::TooStale || operation.attempts >= MaxAttempts) {
        return false;
    }
    const Instant retryAt = now + backoffDelay(operation.attempts, random_);
    if (retryAt >= operation.deadline) {
        return false;
    }
    if (!budgets_.budgetFor(operation.request.group, operation.request.classId).tryTakeToken()) {
        counters_.add("retries.over-budget");
        return false;
    }
    counters_.add("retried." + reason);
    operation.mayHaveRun = operation.mayHaveRun || errorResponseFor(error.kind).executed != Executed::No;
    endLoadTracking(operation);
    operation.stage = OperationStage::RetryDelay;
    operations_.setTimer(operation, retryAt);
    return true;
}

void RelayCore::Impl::fail(Instant now, Operation &operation, Error error)
{
    if (operation.isFallbackRead) {
        endFallbackRead(now, operation);
    }
    if (!scheduleRetry(now, operation, error)) {
        finish(now, operation.id, tl::unexpected(std::move(error)));
    }
}

void RelayCore::Impl::finish(Instant now, WorkId id, Expected<StatementResult> response)
{
    Operation operation = operations_.remove(id);
    endLoadTracking(operation);
    if (OpenTransaction *transaction = transactions_.find(operation.request.transaction);
        transaction != nullptr && transaction->runningWork == id) {
        // The request was rejected while it waited for a slot; the transaction stays open.
        transaction->runningWork = 0;
    }
    if (operation.isFallbackRead) {
        endFallbackRead(now, operation);
    }
    if (operation.stage == OperationStage::Replicating) {
        pendingReplication_.remove(operation.request.group, operation.result.point, id);
    }
    if (operation.mayHaveRun && guaranteesNotRun(response) && !operation.isPlainRead()) {
        response = tl::unexpected(makeError(ErrorKind::OutcomeUnknown, "an earlier attempt may have run"));
    }
    if (operation.request.action == StatementAction::Commit && transactions_.outcomeOf(operation.request.transaction)) {
        transactions_.close(operation.request.transaction, response);
    }
    if (operation.isKeyRecorded) {
        finishKey(now, operation, response);
    }
    if (const auto *peer = std::get_if<PeerOrigin>(&operation.origin); peer != nullptr) {
        respondToPeer(*peer, response);
        return;
    }
    if (response) {
        readLoad_.recordSuccess(response->backend, now - operation.sentAt);
        budgets_.budgetFor(operation.request.group, operation.request.classId).recordSuccess();
    }
    respondToCaller(operation, response);
}

void RelayCore::Impl::respondToCaller(const Operation &operation, const Expected<StatementResult> &response)
{
    const auto &origin = std::get<CallerOrigin>(operation.origin);
    SessionToken token = origin.token;
    if (response) {
        token.raisePoint(response->group, response->point);
        const bool isWrite = operation.request.kind == StatementKind::Write;
        counters_.add(isWrite             ? "answered.write"
                : response->isFromPrimary ? "answered.read.primary"
                                          : "answered.read.replica");
    } else {
        counters_.add("refused." + std::string(errorResponseFor(response.error().kind).name));
        if (response.error().kind == ErrorKind::LostWrite) {
            // The session is notified once; after that it continues with the current state of the group.
            token.points.erase(operation.request.group);
        }
    }
    actions_.emplace_back(RespondToCaller { origin.call, response, tokens_.encode(token) });
}

void RelayCore::Impl::respondToPeer(const PeerOrigin &origin, const Expected<StatementResult> &response)
{
    ForwardResponse message;
    message.forwardId = origin.forwardId;
    message.hasSucceeded = response.has_value();
    if (response) {
        message.result = *response;
    } else {
        counters_.add("refused.forwarded." + std::string(errorResponseFor(response.error().kind).name));
        message.error = response.error().kind;
        message.detail = response.error().detail;
        message.retryAfterMs = response.error().retryAfterMs;
    }
    actions_.emplace_back(SendToPeer { origin.vm, std::move(message) });
}

} // namespace daisyrelay
