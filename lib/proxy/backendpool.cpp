#include "daisyrelay/proxy/backendpool.h"

#include <algorithm>

namespace daisyrelay {

/// Assumed time of a statement at a server that has not run any yet.
static constexpr Duration DefaultServiceTime = std::chrono::milliseconds(10);

BackendPool::BackendPool(Instant now, BackendRecord record, const ProxyTiming &timing)
    : record_(std::move(record)), timing_(timing), drainingSince_(now)
{
}

void BackendPool::update(Instant now, const BackendRecord &record)
{
    if (record.startedAtMs != record_.startedAtMs) {
        openFailures_ = 0;
        statementFailures_ = 0;
        retryAt_ = {};
        avoidUntil_ = {};
    }
    if (record.isDraining && !record_.isDraining) {
        drainingSince_ = now;
    }
    record_ = record;
}

const BackendRecord &BackendPool::record() const
{
    return record_;
}

void BackendPool::setQuota(std::uint32_t quota)
{
    quota_ = quota;
}

std::uint32_t BackendPool::quota() const
{
    return quota_;
}

void BackendPool::setInFlightLimit(std::size_t limit)
{
    inFlightLimit_ = limit;
}

bool BackendPool::canOpen(Instant now) const
{
    return connections_.size() < quota_ && isOpeningAllowed(now);
}

bool BackendPool::isOpeningAllowed(Instant now) const
{
    return now >= retryAt_ && ((openFailures_ == 0 && !isAtConnectionLimit_) || openingCount() == 0);
}

BackendConnection &BackendPool::addConnection(Instant now, ConnectionId id, const WorkspaceId &workspace)
{
    BackendConnection &connection = connections_[id];
    connection.id = id;
    connection.backend = record_.id;
    connection.workspace = workspace;
    connection.stateSince = now;
    connection.deadline = now + timing_.connectTimeout;
    return connection;
}

void BackendPool::onOpened(Instant now, ConnectionId id)
{
    BackendConnection &connection = connections_.at(id);
    connection.state = BackendConnection::State::Idle;
    connection.stateSince = now;
    connection.openedAt = now;
    openFailures_ = 0;
    isAtConnectionLimit_ = false;
    lastResponseAt_ = now;
}

void BackendPool::onLost(Instant now, ConnectionId id, ConnectionLoss loss)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const bool wasOpening = found->second.state == BackendConnection::State::Opening;
    connections_.erase(found);
    if (!wasOpening && loss == ConnectionLoss::Broken) {
        return;
    }
    if (loss == ConnectionLoss::ConnectionLimit && !isAtConnectionLimit_) {
        atConnectionLimitSince_ = now;
    }
    isAtConnectionLimit_ = loss == ConnectionLoss::ConnectionLimit;
    if (isAtConnectionLimit_) {
        // The server is reachable, and there is room as soon as another VM has closed its connection.
        retryAt_ = now + timing_.connectionLimitBackoff;
        lastResponseAt_ = now;
        return;
    }
    constexpr std::uint32_t MaxDoublings = 6;
    const Duration delay = timing_.initialBackoff * (1U << std::min(openFailures_, MaxDoublings));
    retryAt_ = now + std::min(delay, timing_.maxBackoff);
    ++openFailures_;
}

BackendConnection *BackendPool::findIdle(const std::map<std::string, std::string> &values, const WorkspaceId &workspace)
{
    BackendConnection *best = nullptr;
    bool bestMatches = false;
    for (auto &[id, connection] : connections_) {
        if (connection.state != BackendConnection::State::Idle || connection.workspace != workspace) {
            continue;
        }
        const bool matches = connection.values == values;
        // The most recently used connection is the least likely to have broken unnoticed.
        if (best == nullptr || (matches && !bestMatches)
            || (matches == bestMatches && connection.stateSince > best->stateSince)) {
            best = &connection;
            bestMatches = matches;
        }
    }
    return best;
}

BackendConnection *BackendPool::findIdleForProxy()
{
    BackendConnection *best = nullptr;
    for (auto &[id, connection] : connections_) {
        const auto key = [](const BackendConnection &candidate) {
            return std::pair(candidate.workspace.empty(), candidate.stateSince);
        };
        if (connection.state == BackendConnection::State::Idle && (best == nullptr || key(connection) > key(*best))) {
            best = &connection;
        }
    }
    return best;
}

std::optional<ConnectionId> BackendPool::findEvictable(const WorkspaceId &workspace) const
{
    const BackendConnection *best = nullptr;
    for (const auto &[id, connection] : connections_) {
        const auto key = [](const BackendConnection &candidate) {
            return std::pair(!candidate.workspace.empty(), candidate.stateSince);
        };
        if (connection.state == BackendConnection::State::Idle && connection.workspace != workspace
            && (best == nullptr || key(connection) < key(*best))) {
            best = &connection;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

BackendConnection *BackendPool::find(ConnectionId id)
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : &found->second;
}

std::map<ConnectionId, BackendConnection> &BackendPool::connections()
{
    return connections_;
}

void BackendPool::recordResponse(Instant now, Instant sentAt, bool ranCallerStatement)
{
    lastResponseAt_ = now;
    if (ranCallerStatement) {
        serviceTime_.addSample(now - sentAt);
        window_.recordCompletion(now, now - sentAt, busyCount());
        statementFailures_ = 0;
        lagBackoff_ = {};
    }
}

void BackendPool::recordFailure(Instant now)
{
    constexpr std::uint32_t ToleratedFailures = 2;
    constexpr std::uint32_t MaxDoublings = 5;
    ++statementFailures_;
    if (statementFailures_ > ToleratedFailures) {
        avoidUntil_
            = now + timing_.initialBackoff * (1U << std::min(statementFailures_ - ToleratedFailures, MaxDoublings));
    }
}

std::size_t BackendPool::busyCount() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
        [](const auto &entry) { return entry.second.state == BackendConnection::State::Busy; }));
}

void BackendPool::recordRejection(Instant now)
{
    window_.recordRejection(now, busyCount());
}

void BackendPool::recordStart(Instant now)
{
    window_.recordStart(now);
}

bool BackendPool::hasCapacity(Instant now) const
{
    const std::size_t busy = busyCount();
    return (inFlightLimit_ == 0 || busy < inFlightLimit_) && window_.canSend(now, busy);
}

Duration BackendPool::predictWait(Instant now, std::size_t ahead) const
{
    const std::size_t connections = inFlightLimit_ == 0 ? quota_ : std::min<std::size_t>(quota_, inFlightLimit_);
    return window_.predictedWait(now, ahead, connections, meanTime());
}

void BackendPool::recordAppliedPoint(const LogPoint &point)
{
    appliedPoint_ = point;
}

void BackendPool::recordLag(Instant now)
{
    if (now < lagUntil_) {
        return; // Response to a statement sent before the backoff began.
    }
    lagBackoff_ = std::clamp(2 * lagBackoff_, timing_.initialLagBackoff, timing_.maxLagBackoff);
    lagUntil_ = now + lagBackoff_;
}

bool BackendPool::isLagging(Instant now) const
{
    return now < lagUntil_;
}

bool BackendPool::isLaggingBehind(Instant now, const LogPoint &point) const
{
    return isLagging(now) && appliedPoint_ < point;
}

std::optional<ConnectionId> BackendPool::unneededConnection(Instant now, Duration timeout) const
{
    const auto oldest
        = std::min_element(connections_.begin(), connections_.end(), [](const auto &left, const auto &right) {
              const auto key = [](const BackendConnection &connection) {
                  return std::pair(connection.state != BackendConnection::State::Idle, connection.stateSince);
              };
              return key(left.second) < key(right.second);
          });
    const bool isSpare = idleCount() > 1 && now - oldest->second.stateSince > timeout;
    return isSpare ? std::optional(oldest->first) : std::nullopt;
}

std::vector<ConnectionId> BackendPool::connectionsAboveQuota(std::size_t kept) const
{
    std::vector<ConnectionId> found;
    std::size_t openCount = connections_.size();
    for (const auto &[id, connection] : connections_) {
        if (openCount > std::max<std::size_t>(quota_, kept) && connection.state == BackendConnection::State::Idle) {
            found.push_back(id);
            --openCount;
        }
    }
    return found;
}

std::size_t BackendPool::openCount() const
{
    return connections_.size();
}

std::size_t BackendPool::inUseCount() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) {
        return entry.second.state == BackendConnection::State::Busy
            || entry.second.state == BackendConnection::State::InTransaction;
    }));
}

std::size_t BackendPool::idleCount() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
        [](const auto &entry) { return entry.second.state == BackendConnection::State::Idle; }));
}

std::size_t BackendPool::openingCount() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
        [](const auto &entry) { return entry.second.state == BackendConnection::State::Opening; }));
}

std::size_t BackendPool::openCount(const WorkspaceId &workspace) const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
        [&workspace](const auto &entry) { return entry.second.workspace == workspace; }));
}

std::size_t BackendPool::idleCount(const WorkspaceId &workspace) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [&workspace](const auto &entry) {
            return entry.second.workspace == workspace && entry.second.state == BackendConnection::State::Idle;
        }));
}

std::size_t BackendPool::soonFreeCount(const WorkspaceId &workspace) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [&workspace](const auto &entry) {
            const BackendConnection &connection = entry.second;
            const bool isRunning = connection.state == BackendConnection::State::Busy && !connection.isInTransaction;
            return connection.workspace == workspace
                && (isRunning || connection.state == BackendConnection::State::Opening);
        }));
}

Duration BackendPool::meanTime() const
{
    return serviceTime_.mean() == Duration::zero() ? DefaultServiceTime : serviceTime_.mean();
}

Duration BackendPool::estimateCost() const
{
    const auto slots = static_cast<std::int64_t>(std::max<std::uint32_t>(record_.slots, 1));
    return meanTime() + meanTime() * static_cast<std::int64_t>(busyCount()) / slots;
}

bool BackendPool::isUsable(Instant now) const
{
    const bool isLeaving = record_.isDraining && now - drainingSince_ > timing_.maxDrainingUse;
    return !isLeaving && now >= avoidUntil_
        && (idleCount() + openingCount() > 0 || (openFailures_ == 0 && !isAtConnectionLimit_) || now >= retryAt_);
}

bool BackendPool::isUnresponsive(Instant now) const
{
    return std::any_of(connections_.begin(), connections_.end(), [this, now](const auto &entry) {
        const BackendConnection &connection = entry.second;
        return connection.state == BackendConnection::State::Busy
            && now - connection.stateSince > timing_.unresponsiveTimeout
            && (!lastResponseAt_ || *lastResponseAt_ < connection.stateSince);
    });
}

bool BackendPool::isUnreachable(Instant now) const
{
    // Other entries relay statements to a server that leaves no connection to this one for longer than a handover.
    const bool isShutOut = isAtConnectionLimit_ && now - atConnectionLimitSince_ > timing_.maxConnectionLimitWait
        && openingCount() == openCount();
    return (openFailures_ > 1 && idleCount() == 0) || isShutOut || isUnresponsive(now);
}

std::optional<Instant> BackendPool::lastResponseAt() const
{
    return lastResponseAt_;
}

void BackendPool::recordDemand(Instant now, std::size_t demand)
{
    if (demand >= peakDemand_ || now - peakDemandAt_ > timing_.demandWindow) {
        peakDemand_ = demand;
        peakDemandAt_ = now;
    }
}

std::uint32_t BackendPool::recentDemand(Instant now) const
{
    return now - peakDemandAt_ > 2 * timing_.demandWindow ? 0 : static_cast<std::uint32_t>(peakDemand_);
}

} // namespace daisyrelay
