// The home of a database: checks a statement against the lease, and lets it wait for a place or a position.
#include "relayimpl.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::int64_t RetryAfterMs = 100;
static constexpr std::int64_t FallbackRetryMs = 50;

/// A read must still be fresh when its answer comes, so its position is taken from a little later than needed.
static constexpr Duration LongestFreshnessMargin = std::chrono::milliseconds(100);
static constexpr int FreshnessMarginDivisor = 4;

bool RelayCore::Impl::mayAcknowledge(Instant now, const GroupKey &group, Term term) const
{
    const GroupTerm *current = lease_.termOf(group);
    return lease_.liveAt(now) && current != nullptr && current->term == term && !current->primary.empty();
}

Error RelayCore::Impl::whyNotAcknowledged(Instant now) const
{
    if (!lease_.liveAt(now)) {
        return { ErrorKind::NoLease, "this entry is cut off from control", RetryAfterMs };
    }
    return { ErrorKind::NoPrimary, "the database is no longer the primary", RetryAfterMs };
}

void RelayCore::Impl::acceptForward(Instant now, const VmId &from, const ForwardRequest &forward)
{
    const ForwardVerdict verdict = forwards_.check(now, from, forward);
    if (verdict == ForwardVerdict::Duplicate) {
        counters_.add("forwards.duplicate");
        return;
    }
    Operation fresh;
    fresh.id = nextWork_++;
    fresh.origin = PeerOrigin { from, forward.forwardId };
    fresh.request = forward.request;
    fresh.acceptedAt = now;
    fresh.deadline = now + forward.request.timeLeft;
    if (const auto target = configuration_.classes.find(forward.request.classId);
        target != configuration_.classes.end()) {
        fresh.target = target->second;
    }
    Operation &operation = operations_.add(std::move(fresh));
    if (verdict == ForwardVerdict::Late) {
        counters_.add("forwards.late");
        fail(now, operation, { ErrorKind::DeadlinePassed, "the request reached its home too late", RetryAfterMs });
        return;
    }
    if (!operation.request.transaction.empty()) {
        runInTransaction(now, operation);
        return;
    }
    if (draining_) {
        fail(now, operation, { ErrorKind::Draining, "the home of the database is shutting down", RetryAfterMs });
        return;
    }
    const GroupTerm *term = lease_.termOf(operation.request.group);
    if (term == nullptr) {
        fail(now, operation, { ErrorKind::NoPrimary, "the group has no primary yet", RetryAfterMs });
        return;
    }
    if (const Expected<void> checked = checkFloor(operation.request.minPoint, *term); !checked) {
        fail(now, operation, checked.error());
        return;
    }
    operation.route.backend = forward.backend;
    operation.route.term = term->term;
    operation.route.toPrimary = term->primary == forward.backend;
    operation.route.minPosition = operation.request.minPoint.position;
    operation.route.fallback = operation.route.toPrimary && operation.isPlainRead()
        && operation.target.freshness.count() > 0 && options_.readPolicy == ReadPolicy::CheapestFresh;
    runHere(now, operation);
}

void RelayCore::Impl::runHere(Instant now, Operation &operation)
{
    const bool needsPrimary = !operation.isPlainRead() || operation.target.freshness.count() == 0;
    if (needsPrimary && !operation.route.toPrimary) {
        fail(now, operation, { ErrorKind::NoPrimary, "the database is no longer the primary", RetryAfterMs });
        return;
    }
    if (operation.route.toPrimary && !mayAcknowledge(now, operation.request.group, operation.route.term)) {
        fail(now, operation, whyNotAcknowledged(now));
        return;
    }
    if (operation.isGuardedByKey()) {
        guardKey(now, operation);
        return;
    }
    runGranted(now, operation);
}

void RelayCore::Impl::runGranted(Instant now, Operation &operation)
{
    if (!operation.route.toPrimary) {
        readReplica(now, operation);
        return;
    }
    if (operation.route.fallback) {
        enterFallback(now, operation);
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
    drainPool(now, backend);
}

void RelayCore::Impl::enterFallback(Instant now, Operation &operation)
{
    const BackendState *state = backends_.find(operation.route.backend);
    FallbackGate &gate = gates_[operation.route.backend];
    gate.setLimit(state == nullptr ? 1 : state->announcement.slots / 2);
    switch (gate.enter(operation.id)) {
    case FallbackGate::Verdict::Run:
        operation.inFallback = true;
        counters_.add("fallback.run");
        submit(now, operation);
        return;
    case FallbackGate::Verdict::Wait:
        operation.inFallback = true;
        operation.stage = OperationStage::FallbackWait;
        counters_.add("fallback.wait");
        operations_.wakeAt(operation, now + operation.target.latencyP99);
        return;
    case FallbackGate::Verdict::Refuse:
        break;
    }
    counters_.add("fallback.refused");
    fail(now, operation,
        { ErrorKind::TooStale, "the replicas lag and the primary has no place for reads", FallbackRetryMs });
}

void RelayCore::Impl::leaveFallback(Instant now, Operation &operation)
{
    operation.inFallback = false;
    const std::optional<WorkId> next = gates_[operation.route.backend].leave(operation.id);
    if (!next) {
        return;
    }
    if (Operation *waiting = operations_.find(*next); waiting != nullptr) {
        counters_.add("fallback.run");
        submit(now, *waiting);
    }
}

void RelayCore::Impl::readReplica(Instant now, Operation &operation)
{
    const GroupKey &group = operation.request.group;
    const Duration freshness = operation.target.freshness;
    const Duration margin = std::min<Duration>(freshness / FreshnessMarginDivisor, LongestFreshnessMargin);
    const std::optional<Position> fresh
        = backends_.freshPosition(now - freshness + margin, group, operation.route.term);
    if (!fresh) {
        if (!lease_.liveAt(now)) {
            fail(now, operation, { ErrorKind::TooStale, "this zone has been alone for too long", RetryAfterMs });
            return;
        }
        waitFor(now, operation, OperationStage::Measuring);
        return;
    }
    operation.route.minPosition = std::max(operation.request.minPoint.position, *fresh);
    submit(now, operation);
}

void RelayCore::Impl::waitFor(Instant now, Operation &operation, OperationStage stage)
{
    // Waiting for a replica beats another database only while the class can still meet its latency target.
    if (operation.waitUntil == Instant {}) {
        operation.waitUntil = now + operation.target.latencyP99 / 2;
    }
    if (now >= operation.waitUntil) {
        fail(now, operation, { ErrorKind::TooStale, "the replica is too far behind", FallbackRetryMs });
        return;
    }
    operation.stage = stage;
    operations_.wakeAt(operation, operation.waitUntil);
    const GroupKey group = operation.request.group;
    if (stage == OperationStage::Measuring) {
        measuring_[group].push_back(operation.id);
        if (const GroupTerm *term = lease_.termOf(group); term != nullptr && !term->primary.empty()) {
            watch(now, term->primary, group, 0);
        }
        return;
    }
    counters_.add("replica.waits");
    catchingUp_[operation.route.backend].push_back(operation.id);
    watch(now, operation.route.backend, group, operation.route.minPosition);
}

} // namespace daisyrelay
