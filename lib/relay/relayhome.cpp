// The home of a database: checks a statement against the lease and lets it wait for a slot or a position.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::int64_t RetryAfterMs = 100;
static constexpr std::int64_t FallbackRetryAfterMs = 50;

/// A read must still be fresh when its response arrives, so the minimum position is taken this much later than the
/// freshness bound requires.
static constexpr Duration MaxFreshnessMargin = std::chrono::milliseconds(100);
static constexpr int FreshnessMarginDivisor = 4;

bool RelayCore::Impl::canAcknowledge(Instant now, const GroupKey &group, Term term) const
{
    const GroupTerm *current = lease_.findTerm(group);
    return lease_.isValidAt(now) && current != nullptr && current->term == term && !current->primary.empty();
}

Error RelayCore::Impl::acknowledgeError(Instant now) const
{
    if (!lease_.isValidAt(now)) {
        return { ErrorKind::NoLease, "this entry holds no valid lease", RetryAfterMs };
    }
    return { ErrorKind::NoPrimary, "the database is no longer the primary", RetryAfterMs };
}

void RelayCore::Impl::acceptForwardRequest(Instant now, const VmId &from, const ForwardRequest &forward)
{
    const ForwardStatus status = forwardGuard_.check(now, from, forward);
    if (status == ForwardStatus::Duplicate) {
        counters_.add("forwards.duplicate");
        return;
    }
    Operation accepted;
    accepted.id = nextWorkId_++;
    accepted.origin = PeerOrigin { from, forward.forwardId };
    accepted.request = forward.request;
    accepted.acceptedAt = now;
    accepted.deadline = now + forward.request.timeLeft;
    if (const auto target = configuration_.classes.find(forward.request.classId);
        target != configuration_.classes.end()) {
        accepted.target = target->second;
    }
    Operation &operation = operations_.add(std::move(accepted));
    if (status == ForwardStatus::Late) {
        counters_.add("forwards.late");
        fail(now, operation,
            { ErrorKind::DeadlinePassed, "the request reached the home of the database after its deadline",
                RetryAfterMs });
        return;
    }
    if (!operation.request.transaction.empty()) {
        runInTransaction(now, operation);
        return;
    }
    if (isDraining_) {
        fail(now, operation, { ErrorKind::Draining, "the home of the database is shutting down", RetryAfterMs });
        return;
    }
    const GroupTerm *term = lease_.findTerm(operation.request.group);
    if (term == nullptr) {
        fail(now, operation, { ErrorKind::NoPrimary, "the group has no primary yet", RetryAfterMs });
        return;
    }
    if (const Expected<void> checked = checkMinPoint(operation.request.minPoint, *term); !checked) {
        fail(now, operation, checked.error());
        return;
    }
    operation.route.backend = forward.backend;
    operation.route.term = term->term;
    operation.route.usesPrimary = term->primary == forward.backend;
    operation.route.minPosition = operation.request.minPoint.position;
    operation.route.isFallback = operation.route.usesPrimary && operation.isPlainRead()
        && operation.target.freshness.count() > 0 && options_.readPolicy == ReadPolicy::CheapestFresh;
    runLocally(now, operation);
}

void RelayCore::Impl::runLocally(Instant now, Operation &operation)
{
    const bool needsPrimary = !operation.isPlainRead() || operation.target.freshness.count() == 0;
    if (needsPrimary && !operation.route.usesPrimary) {
        fail(now, operation, { ErrorKind::NoPrimary, "the database is no longer the primary", RetryAfterMs });
        return;
    }
    if (operation.route.usesPrimary && !canAcknowledge(now, operation.request.group, operation.route.term)) {
        fail(now, operation, acknowledgeError(now));
        return;
    }
    if (operation.isGuardedByKey()) {
        claimKey(now, operation);
        return;
    }
    startExecution(now, operation);
}

void RelayCore::Impl::startExecution(Instant now, Operation &operation)
{
    if (!operation.route.usesPrimary) {
        readFromReplica(now, operation);
        return;
    }
    if (operation.route.isFallback) {
        startFallbackRead(now, operation);
        return;
    }
    submit(now, operation);
}

void RelayCore::Impl::submit(Instant now, Operation &operation)
{
    operation.stage = OperationStage::Queued;
    const BackendId backend = operation.route.backend;
    ConnectionPool &pool = poolOf(backend);
    pool.submit(now,
        { operation.id, operation.request.classId, operation.deadline, operation.target.latencyP99,
            operation.request.action == StatementAction::Begin, 0 });
    performPoolActions(now, backend);
}

void RelayCore::Impl::startFallbackRead(Instant now, Operation &operation)
{
    const BackendState *state = backends_.find(operation.route.backend);
    FallbackLimiter &limiter = fallbackLimiters_[operation.route.backend];
    limiter.setLimit(state == nullptr ? 1 : state->announcement.slots / 2);
    switch (limiter.admit(operation.id)) {
    case FallbackLimiter::Decision::Run:
        operation.isFallbackRead = true;
        counters_.add("fallback.run");
        submit(now, operation);
        return;
    case FallbackLimiter::Decision::Wait:
        operation.isFallbackRead = true;
        operation.stage = OperationStage::AwaitingFallback;
        counters_.add("fallback.wait");
        operations_.setTimer(operation, now + operation.target.latencyP99);
        return;
    case FallbackLimiter::Decision::Reject:
        break;
    }
    counters_.add("fallback.refused");
    fail(now, operation,
        { ErrorKind::TooStale, "the replicas lag and the primary has no capacity for fallback reads",
            FallbackRetryAfterMs });
}

void RelayCore::Impl::endFallbackRead(Instant now, Operation &operation)
{
    operation.isFallbackRead = false;
    const std::optional<WorkId> next = fallbackLimiters_[operation.route.backend].release(operation.id);
    if (!next) {
        return;
    }
    if (Operation *waiting = operations_.find(*next); waiting != nullptr) {
        counters_.add("fallback.run");
        submit(now, *waiting);
    }
}

void RelayCore::Impl::readFromReplica(Instant now, Operation &operation)
{
    const GroupKey &group = operation.request.group;
    const Duration freshness = operation.target.freshness;
    const Duration margin = std::min<Duration>(freshness / FreshnessMarginDivisor, MaxFreshnessMargin);
    const std::optional<Position> minFreshPosition
        = backends_.minFreshPosition(now - freshness + margin, group, operation.route.term);
    if (!minFreshPosition) {
        if (!lease_.isValidAt(now)) {
            fail(now, operation,
                { ErrorKind::TooStale, "this zone has been isolated for longer than the freshness allows",
                    RetryAfterMs });
            return;
        }
        waitForPosition(now, operation, OperationStage::AwaitingPrimaryPosition);
        return;
    }
    operation.route.minPosition = std::max(operation.request.minPoint.position, *minFreshPosition);
    submit(now, operation);
}

void RelayCore::Impl::waitForPosition(Instant now, Operation &operation, OperationStage stage)
{
    // Waiting for this replica is preferred to trying another database only while the class can still meet its latency
    // target.
    if (operation.replicaWaitUntil == Instant {}) {
        operation.replicaWaitUntil = now + operation.target.latencyP99 / 2;
    }
    if (now >= operation.replicaWaitUntil) {
        fail(now, operation, { ErrorKind::TooStale, "the replica is too far behind", FallbackRetryAfterMs });
        return;
    }
    operation.stage = stage;
    operations_.setTimer(operation, operation.replicaWaitUntil);
    const GroupKey group = operation.request.group;
    if (stage == OperationStage::AwaitingPrimaryPosition) {
        awaitingPrimaryPosition_[group].push_back(operation.id);
        if (const GroupTerm *term = lease_.findTerm(group); term != nullptr && !term->primary.empty()) {
            requestPosition(now, term->primary, group, 0);
        }
        return;
    }
    counters_.add("replica.waits");
    awaitingReplica_[operation.route.backend].push_back(operation.id);
    requestPosition(now, operation.route.backend, group, operation.route.minPosition);
}

} // namespace daisyrelay
