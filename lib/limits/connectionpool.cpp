#include "daisyrelay/limits/connectionpool.h"

#include <algorithm>
#include <cassert>

namespace daisyrelay {

/// A statement is judged silent after this many times the longest recent one of its class.
static constexpr int SilenceFactor = 10;

ConnectionPool::ConnectionPool(std::function<ConnectionId()> nextId, PoolOptions options)
    : nextId_(std::move(nextId))
    , options_(std::move(options))
    , queues_(options_.queue)
    , circuit_(
          options_.random ? options_.random : []() { return std::uint64_t { 0 }; }, options_.circuit)
{
}

std::size_t ConnectionPool::count(Use use) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [use](const auto &entry) { return entry.second.use == use; }));
}

bool ConnectionPool::usable() const
{
    return std::ranges::any_of(connections_, [](const auto &entry) { return entry.second.use != Use::Opening; });
}

std::size_t ConnectionPool::slotsNow(Instant now) const
{
    switch (circuit_.state(now)) {
    case CircuitBreaker::State::Closed:
        return slotLimit_;
    case CircuitBreaker::State::HalfOpen:
        return std::min<std::size_t>(1, slotLimit_);
    case CircuitBreaker::State::Open:
        break;
    }
    return 0;
}

std::size_t ConnectionPool::mostTransactions() const
{
    // Single statements need no more connections than there are slots; the rest is for transactions.
    if (connectionLimit_ > slotLimit_) {
        return connectionLimit_ - slotLimit_;
    }
    return (connectionLimit_ + 1) / 2;
}

void ConnectionPool::closeIdleAbove(std::size_t limit)
{
    for (auto at = connections_.begin(); at != connections_.end() && openConnections() > limit;) {
        if (at->second.use != Use::Idle && at->second.use != Use::Opening) {
            ++at;
            continue;
        }
        actions_.emplace_back(CloseConnection { at->first });
        at = connections_.erase(at);
    }
}

void ConnectionPool::setLimits(Instant now, std::size_t connections, std::size_t slots, std::size_t warm)
{
    connectionLimit_ = connections;
    slotLimit_ = slots;
    warm_ = warm;
    closeIdleAbove(connectionLimit_);
    dispatch(now);
}

void ConnectionPool::setTarget(Instant now, const ClassId &classId, Duration target)
{
    queues_.setTarget(classId, target);
    dispatch(now);
}

void ConnectionPool::refuse(WorkId work, Error error)
{
    actions_.emplace_back(RefuseWork { work, std::move(error) });
}

static Error unavailableError(Duration retryAfter)
{
    const std::int64_t ms = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    return { ErrorKind::BackendUnavailable, "the database can not be reached", std::max<std::int64_t>(1, ms) };
}

void ConnectionPool::submit(Instant now, PoolWork work)
{
    const bool own = work.heldConnection != 0;
    if (own) {
        const auto found = connections_.find(work.heldConnection);
        if (found == connections_.end() || found->second.use != Use::Held) {
            refuse(work.id, { ErrorKind::TransactionExpired, "the connection of the transaction is gone" });
            return;
        }
    } else if (circuit_.state(now) == CircuitBreaker::State::Open) {
        refuse(work.id, unavailableError(circuit_.retryAfter(now)));
        return;
    }
    if (std::optional<Error> error = queues_.judge(now, work, slotLimit_, running_); error) {
        refuse(work.id, std::move(*error));
        return;
    }
    queues_.push(now, std::move(work));
    dispatch(now);
}

bool ConnectionPool::cancel(Instant /*now*/, WorkId work)
{
    return queues_.erase(work);
}

void ConnectionPool::connectionOpened(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.use != Use::Opening) {
        return;
    }
    found->second.use = Use::Idle;
    found->second.since = now;
    dispatch(now);
}

void ConnectionPool::refuseUnavailable(Instant now)
{
    if (circuit_.state(now) != CircuitBreaker::State::Open) {
        return;
    }
    const auto unbound = [](const PoolWork &work) { return work.heldConnection == 0; };
    for (const WorkId work : queues_.takeIf(unbound)) {
        refuse(work, unavailableError(circuit_.retryAfter(now)));
    }
}

void ConnectionPool::refuseBoundTo(ConnectionId connection)
{
    const auto bound = [connection](const PoolWork &work) { return work.heldConnection == connection; };
    for (const WorkId work : queues_.takeIf(bound)) {
        refuse(work, { ErrorKind::TransactionExpired, "the connection of the transaction is gone" });
    }
}

void ConnectionPool::connectionClosed(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    const Use use = found->second.use;
    connections_.erase(found);
    refuseBoundTo(connection);
    if (use == Use::Busy) {
        --running_;
        circuit_.failed(now);
    } else if (use == Use::Opening) {
        // While other connections work, the next attempt only waits; otherwise nothing can be done at all.
        usable() ? circuit_.failed(now) : circuit_.trip(now);
    }
    refuseUnavailable(now);
    dispatch(now);
}

void ConnectionPool::answered(Instant now, Connection &connection)
{
    --running_;
    lastAnswer_ = now;
    circuit_.succeeded();
    queues_.measured(connection.classId, now - connection.since);
    connection.work = 0;
    connection.since = now;
    connection.reported = false;
}

void ConnectionPool::hold(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.use != Use::Busy) {
        return;
    }
    answered(now, found->second);
    found->second.use = Use::Held;
    dispatch(now);
}

void ConnectionPool::finish(Instant now, ConnectionId connection, ConnectionEnd end)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.use == Use::Opening || found->second.use == Use::Idle) {
        return;
    }
    Connection &state = found->second;
    const bool busy = state.use == Use::Busy;
    if (end == ConnectionEnd::Reusable || end == ConnectionEnd::Unused) {
        if (busy && end == ConnectionEnd::Reusable) {
            answered(now, state);
        } else if (busy) {
            --running_;
        }
        state.use = Use::Idle;
        state.inTransaction = false;
        state.since = now;
        closeIdleAbove(connectionLimit_);
        dispatch(now);
        return;
    }
    running_ -= busy ? 1 : 0;
    connections_.erase(found);
    refuseBoundTo(connection);
    actions_.emplace_back(CloseConnection { connection });
    if (end == ConnectionEnd::Failed) {
        circuit_.failed(now);
        refuseUnavailable(now);
    }
    dispatch(now);
}

void ConnectionPool::finish(Instant now, ConnectionId connection, bool reusable)
{
    finish(now, connection, reusable ? ConnectionEnd::Reusable : ConnectionEnd::Abandoned);
}

void ConnectionPool::reportSilent(Instant now)
{
    for (auto &[id, connection] : connections_) {
        if (connection.use != Use::Busy || connection.reported || lastAnswer_ <= connection.since) {
            continue; // Not silent by comparison: nothing that started later was answered.
        }
        const Duration longest = queues_.serviceTime(connection.classId).peak() * SilenceFactor;
        if (now - connection.since > std::max(longest, options_.shortestSilence)) {
            connection.reported = true;
            actions_.emplace_back(SilentConnection { connection.work, id });
        }
    }
}

void ConnectionPool::closeSurplus(Instant now)
{
    if (wanted() >= peakWanted_) {
        peakWanted_ = wanted();
        peakAt_ = now;
        return;
    }
    if (now - peakAt_ < options_.surplusAfter) {
        return;
    }
    --peakWanted_;
    peakAt_ = now;
    closeIdleAbove(std::max(peakWanted_, warm_));
}

void ConnectionPool::tick(Instant now)
{
    reportSilent(now);
    closeSurplus(now);
    dispatch(now);
}

std::vector<PoolAction> ConnectionPool::takeActions()
{
    return std::exchange(actions_, {});
}

std::size_t ConnectionPool::openConnections() const
{
    return connections_.size();
}

std::size_t ConnectionPool::queued() const
{
    return queues_.size();
}

std::size_t ConnectionPool::running() const
{
    return running_;
}

std::size_t ConnectionPool::transactions() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](const auto &entry) { return entry.second.inTransaction; }));
}

Duration ConnectionPool::oldestUnanswered(Instant now) const
{
    Duration oldest {};
    for (const auto &[id, connection] : connections_) {
        if (connection.use == Use::Busy) {
            oldest = std::max(oldest, now - connection.since);
        }
    }
    return oldest;
}

CircuitBreaker::State ConnectionPool::circuit(Instant now) const
{
    return circuit_.state(now);
}

ConnectionId ConnectionPool::idleConnection() const
{
    // The one used last, so that surplus ones stay unused.
    const std::pair<const ConnectionId, Connection> *latest = nullptr;
    for (const auto &entry : connections_) {
        if (entry.second.use == Use::Idle && (latest == nullptr || entry.second.since >= latest->second.since)) {
            latest = &entry;
        }
    }
    return latest == nullptr ? 0 : latest->first;
}

void ConnectionPool::start(Instant now, const PoolWork &work)
{
    const ConnectionId id = work.heldConnection != 0 ? work.heldConnection : idleConnection();
    Connection &connection = connections_.at(id);
    connection.use = Use::Busy;
    connection.work = work.id;
    connection.classId = work.classId;
    connection.since = now;
    connection.inTransaction = connection.inTransaction || work.opensTransaction;
    ++running_;
    actions_.emplace_back(StartWork { work.id, id });
}

void ConnectionPool::dispatch(Instant now)
{
    for (RefuseWork &refused : queues_.shed(now, slotLimit_)) {
        actions_.emplace_back(std::move(refused));
    }
    while (queues_.size() > 0 && running_ < slotsNow(now)) {
        const bool idle = idleConnection() != 0;
        const bool mayOpen = transactions() < mostTransactions();
        const std::optional<PoolWork> work = queues_.pop([this, idle, mayOpen](const PoolWork &candidate) {
            if (const auto held = connections_.find(candidate.heldConnection); held != connections_.end()) {
                return held->second.use == Use::Held;
            }
            return candidate.heldConnection == 0 && idle && (mayOpen || !candidate.opensTransaction);
        });
        if (!work) {
            break;
        }
        start(now, *work);
    }
    openAhead(now);
}

std::size_t ConnectionPool::wanted() const
{
    const std::size_t transactions = this->transactions();
    const std::size_t waiting = running_ + queues_.size();
    return std::min(connectionLimit_, transactions + std::min(waiting, slotLimit_));
}

void ConnectionPool::openAhead(Instant now)
{
    peakWanted_ = std::max(peakWanted_, wanted());
    const CircuitBreaker::State state = circuit_.state(now);
    if (state == CircuitBreaker::State::Open) {
        return;
    }
    std::size_t goal = std::min(connectionLimit_, std::max(peakWanted_, warm_));
    if (state == CircuitBreaker::State::HalfOpen) {
        goal = std::min(goal, openConnections() + (count(Use::Opening) == 0 && count(Use::Idle) == 0 ? 1 : 0));
    }
    while (openConnections() < goal) {
        const ConnectionId connection = nextId_();
        connections_.emplace(connection, Connection { .since = now });
        actions_.emplace_back(OpenConnection { connection });
    }
}

} // namespace daisyrelay
