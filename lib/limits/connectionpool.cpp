#include "daisyrelay/limits/connectionpool.h"

#include <algorithm>
#include <cassert>

namespace daisyrelay {

/// A statement counts as silent after this multiple of the longest recent service time of its class.
static constexpr int SilenceFactor = 10;

ConnectionPool::ConnectionPool(std::function<ConnectionId()> nextId, PoolOptions options)
    : nextId_(std::move(nextId))
    , options_(std::move(options))
    , queues_(options_.queue)
    , circuit_(
          options_.random ? options_.random : []() { return std::uint64_t { 0 }; }, options_.circuit)
{
}

std::size_t ConnectionPool::count(ConnectionState state) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [state](const auto &entry) { return entry.second.state == state; }));
}

bool ConnectionPool::hasUsableConnection() const
{
    return std::ranges::any_of(
        connections_, [](const auto &entry) { return entry.second.state != ConnectionState::Opening; });
}

std::size_t ConnectionPool::currentSlotLimit(Instant now) const
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

std::size_t ConnectionPool::maxTransactions() const
{
    // Single statements need at most as many connections as there are slots; the rest is for transactions.
    if (connectionLimit_ > slotLimit_) {
        return connectionLimit_ - slotLimit_;
    }
    return (connectionLimit_ + 1) / 2;
}

void ConnectionPool::closeIdleConnections(std::size_t limit)
{
    for (auto entry = connections_.begin(); entry != connections_.end() && openConnectionCount() > limit;) {
        if (entry->second.state != ConnectionState::Idle && entry->second.state != ConnectionState::Opening) {
            ++entry;
            continue;
        }
        actions_.emplace_back(CloseConnection { entry->first });
        entry = connections_.erase(entry);
    }
}

void ConnectionPool::setLimits(Instant now, std::size_t connections, std::size_t slots, std::size_t minConnections)
{
    connectionLimit_ = connections;
    slotLimit_ = slots;
    minConnections_ = minConnections;
    closeIdleConnections(connectionLimit_);
    dispatch(now);
}

void ConnectionPool::setTarget(Instant now, const ClassId &classId, Duration target)
{
    queues_.setTarget(classId, target);
    dispatch(now);
}

void ConnectionPool::reject(WorkId work, Error error)
{
    actions_.emplace_back(RejectWork { work, std::move(error) });
}

static Error unavailableError(Duration retryAfter)
{
    const std::int64_t ms = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    return { ErrorKind::BackendUnavailable, "the database is unreachable", std::max<std::int64_t>(1, ms) };
}

void ConnectionPool::submit(Instant now, PoolWork work)
{
    const bool belongsToTransaction = work.transactionConnection != 0;
    if (belongsToTransaction) {
        const auto found = connections_.find(work.transactionConnection);
        if (found == connections_.end() || found->second.state != ConnectionState::Reserved) {
            reject(work.id, { ErrorKind::TransactionExpired, "the connection of the transaction was closed" });
            return;
        }
    } else if (circuit_.state(now) == CircuitBreaker::State::Open) {
        reject(work.id, unavailableError(circuit_.retryAfter(now)));
        return;
    }
    if (std::optional<Error> error = queues_.checkAdmission(now, work, slotLimit_, running_); error) {
        reject(work.id, std::move(*error));
        return;
    }
    queues_.push(now, std::move(work));
    dispatch(now);
}

bool ConnectionPool::cancel(Instant /*now*/, WorkId work)
{
    return queues_.erase(work);
}

void ConnectionPool::onConnectionOpened(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.state != ConnectionState::Opening) {
        return;
    }
    found->second.state = ConnectionState::Idle;
    found->second.stateSince = now;
    dispatch(now);
}

void ConnectionPool::rejectWhileCircuitOpen(Instant now)
{
    if (circuit_.state(now) != CircuitBreaker::State::Open) {
        return;
    }
    const auto isOutsideTransaction = [](const PoolWork &work) { return work.transactionConnection == 0; };
    for (const WorkId work : queues_.removeIf(isOutsideTransaction)) {
        reject(work, unavailableError(circuit_.retryAfter(now)));
    }
}

void ConnectionPool::rejectTransactionWork(ConnectionId connection)
{
    const auto belongsToConnection
        = [connection](const PoolWork &work) { return work.transactionConnection == connection; };
    for (const WorkId work : queues_.removeIf(belongsToConnection)) {
        reject(work, { ErrorKind::TransactionExpired, "the connection of the transaction was closed" });
    }
}

void ConnectionPool::onConnectionClosed(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    const ConnectionState state = found->second.state;
    connections_.erase(found);
    rejectTransactionWork(connection);
    if (state == ConnectionState::Busy) {
        --running_;
        circuit_.recordFailure(now);
    } else if (state == ConnectionState::Opening) {
        // While other connections work, a failed attempt only delays the next one. Without any connection the database
        // is unreachable and the circuit opens at once.
        hasUsableConnection() ? circuit_.recordFailure(now) : circuit_.trip(now);
    }
    rejectWhileCircuitOpen(now);
    dispatch(now);
}

void ConnectionPool::recordResponse(Instant now, Connection &connection)
{
    --running_;
    lastResponseAt_ = now;
    circuit_.recordSuccess();
    queues_.recordServiceTime(connection.classId, now - connection.stateSince);
    connection.work = 0;
    connection.stateSince = now;
    connection.isReportedSilent = false;
}

void ConnectionPool::reserveForTransaction(Instant now, ConnectionId connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.state != ConnectionState::Busy) {
        return;
    }
    recordResponse(now, found->second);
    found->second.state = ConnectionState::Reserved;
    dispatch(now);
}

void ConnectionPool::finish(Instant now, ConnectionId connection, ConnectionOutcome outcome)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || found->second.state == ConnectionState::Opening
        || found->second.state == ConnectionState::Idle) {
        return;
    }
    Connection &released = found->second;
    const bool wasBusy = released.state == ConnectionState::Busy;
    if (outcome == ConnectionOutcome::Reusable || outcome == ConnectionOutcome::Unused) {
        if (wasBusy && outcome == ConnectionOutcome::Reusable) {
            recordResponse(now, released);
        } else if (wasBusy) {
            --running_;
        }
        released.state = ConnectionState::Idle;
        released.isInTransaction = false;
        released.stateSince = now;
        closeIdleConnections(connectionLimit_);
        dispatch(now);
        return;
    }
    running_ -= wasBusy ? 1 : 0;
    connections_.erase(found);
    rejectTransactionWork(connection);
    actions_.emplace_back(CloseConnection { connection });
    if (outcome == ConnectionOutcome::Failed) {
        circuit_.recordFailure(now);
        rejectWhileCircuitOpen(now);
    }
    dispatch(now);
}

void ConnectionPool::finish(Instant now, ConnectionId connection, bool isReusable)
{
    finish(now, connection, isReusable ? ConnectionOutcome::Reusable : ConnectionOutcome::Abandoned);
}

void ConnectionPool::reportSilentConnections(Instant now)
{
    for (auto &[id, connection] : connections_) {
        if (connection.state != ConnectionState::Busy || connection.isReportedSilent
            || lastResponseAt_ <= connection.stateSince) {
            continue; // No response has arrived since this statement started, so silence cannot be detected.
        }
        const Duration maxExpectedTime = queues_.serviceTime(connection.classId).peak() * SilenceFactor;
        if (now - connection.stateSince > std::max(maxExpectedTime, options_.minSilence)) {
            connection.isReportedSilent = true;
            actions_.emplace_back(SilentConnection { connection.work, id });
        }
    }
}

void ConnectionPool::closeSurplusConnections(Instant now)
{
    if (neededConnections() >= peakNeeded_) {
        peakNeeded_ = neededConnections();
        peakAt_ = now;
        return;
    }
    if (now - peakAt_ < options_.surplusDelay) {
        return;
    }
    --peakNeeded_;
    peakAt_ = now;
    closeIdleConnections(std::max(peakNeeded_, minConnections_));
}

void ConnectionPool::tick(Instant now)
{
    reportSilentConnections(now);
    closeSurplusConnections(now);
    dispatch(now);
}

std::vector<PoolAction> ConnectionPool::takeActions()
{
    return std::exchange(actions_, {});
}

std::size_t ConnectionPool::openConnectionCount() const
{
    return connections_.size();
}

std::size_t ConnectionPool::queuedCount() const
{
    return queues_.size();
}

std::size_t ConnectionPool::runningCount() const
{
    return running_;
}

std::size_t ConnectionPool::transactionCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](const auto &entry) { return entry.second.isInTransaction; }));
}

Duration ConnectionPool::oldestInFlightAge(Instant now) const
{
    Duration oldest {};
    for (const auto &[id, connection] : connections_) {
        if (connection.state == ConnectionState::Busy) {
            oldest = std::max(oldest, now - connection.stateSince);
        }
    }
    return oldest;
}

CircuitBreaker::State ConnectionPool::circuitState(Instant now) const
{
    return circuit_.state(now);
}

ConnectionId ConnectionPool::idleConnection() const
{
    // Prefer the most recently used connection, so that surplus connections stay idle.
    const std::pair<const ConnectionId, Connection> *mostRecent = nullptr;
    for (const auto &entry : connections_) {
        if (entry.second.state == ConnectionState::Idle
            && (mostRecent == nullptr || entry.second.stateSince >= mostRecent->second.stateSince)) {
            mostRecent = &entry;
        }
    }
    return mostRecent == nullptr ? 0 : mostRecent->first;
}

void ConnectionPool::start(Instant now, const PoolWork &work)
{
    const ConnectionId id = work.transactionConnection != 0 ? work.transactionConnection : idleConnection();
    Connection &connection = connections_.at(id);
    connection.state = ConnectionState::Busy;
    connection.work = work.id;
    connection.classId = work.classId;
    connection.stateSince = now;
    connection.isInTransaction = connection.isInTransaction || work.opensTransaction;
    ++running_;
    actions_.emplace_back(StartWork { work.id, id });
}

void ConnectionPool::dispatch(Instant now)
{
    for (RejectWork &rejectedWork : queues_.removeOverdue(now, slotLimit_)) {
        actions_.emplace_back(std::move(rejectedWork));
    }
    while (queues_.size() > 0 && running_ < currentSlotLimit(now)) {
        const bool hasIdleConnection = idleConnection() != 0;
        const bool canBeginTransaction = transactionCount() < maxTransactions();
        const std::optional<PoolWork> work
            = queues_.pop([this, hasIdleConnection, canBeginTransaction](const PoolWork &candidate) {
                  if (const auto reserved = connections_.find(candidate.transactionConnection);
                      reserved != connections_.end()) {
                      return reserved->second.state == ConnectionState::Reserved;
                  }
                  return candidate.transactionConnection == 0 && hasIdleConnection
                      && (canBeginTransaction || !candidate.opensTransaction);
              });
        if (!work) {
            break;
        }
        start(now, *work);
    }
    openNeededConnections(now);
}

std::size_t ConnectionPool::neededConnections() const
{
    const std::size_t transactionCount = this->transactionCount();
    const std::size_t waiting = running_ + queues_.size();
    return std::min(connectionLimit_, transactionCount + std::min(waiting, slotLimit_));
}

void ConnectionPool::openNeededConnections(Instant now)
{
    peakNeeded_ = std::max(peakNeeded_, neededConnections());
    const CircuitBreaker::State circuit = circuit_.state(now);
    if (circuit == CircuitBreaker::State::Open) {
        return;
    }
    std::size_t targetCount = std::min(connectionLimit_, std::max(peakNeeded_, minConnections_));
    if (circuit == CircuitBreaker::State::HalfOpen) {
        targetCount = std::min(targetCount,
            openConnectionCount()
                + (count(ConnectionState::Opening) == 0 && count(ConnectionState::Idle) == 0 ? 1 : 0));
    }
    while (openConnectionCount() < targetCount) {
        const ConnectionId connection = nextId_();
        connections_.emplace(connection, Connection { .stateSince = now });
        actions_.emplace_back(OpenConnection { connection });
    }
}

} // namespace daisyrelay
