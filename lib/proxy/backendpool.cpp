#include "daisyrelay/proxy/backendpool.h"

#include <algorithm>

namespace daisyrelay {

/// Expected of a server that has not answered anything yet.
static constexpr Duration UnknownTime = std::chrono::milliseconds(10);

BackendPool::BackendPool(Instant now, BackendRecord record, const ProxyTiming &timing)
    : record_(std::move(record)), timing_(timing), drainingSince_(now)
{
}

void BackendPool::update(Instant now, const BackendRecord &record)
{
    if (record.bornMs != record_.bornMs) {
        failures_ = 0;
        errors_ = 0;
        retryAt_ = {};
        avoidUntil_ = {};
    }
    if (record.draining && !record_.draining) {
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

bool BackendPool::mayOpen(Instant now) const
{
    return connections_.size() < quota_ && now >= retryAt_ && (failures_ == 0 || opening() == 0);
}

BackendConnection &BackendPool::open(Instant now, ConnectionId id)
{
    BackendConnection &connection = connections_[id];
    connection.id = id;
    connection.backend = record_.id;
    connection.since = now;
    connection.deadline = now + timing_.connectTimeout;
    return connection;
}

void BackendPool::opened(Instant now, ConnectionId id)
{
    BackendConnection &connection = connections_.at(id);
    connection.use = BackendConnection::Use::Idle;
    connection.since = now;
    failures_ = 0;
    lastAnswer_ = now;
}

void BackendPool::lost(Instant now, ConnectionId id, ConnectionLoss loss)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const bool wasOpening = found->second.use == BackendConnection::Use::Opening;
    connections_.erase(found);
    if (!wasOpening && loss == ConnectionLoss::Broken) {
        return;
    }
    constexpr std::uint32_t MostDoublings = 6;
    const Duration delay = timing_.firstBackoff * (1U << std::min(failures_, MostDoublings));
    retryAt_ = now + std::min(delay, timing_.longestBackoff);
    ++failures_;
}

BackendConnection *BackendPool::pickIdle(const std::map<std::string, std::string> &values)
{
    BackendConnection *best = nullptr;
    bool bestFits = false;
    for (auto &[id, connection] : connections_) {
        if (connection.use != BackendConnection::Use::Idle) {
            continue;
        }
        const bool fits = connection.values == values;
        // The one that was used last is the least likely to have died unnoticed.
        if (best == nullptr || (fits && !bestFits) || (fits == bestFits && connection.since > best->since)) {
            best = &connection;
            bestFits = fits;
        }
    }
    return best;
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

void BackendPool::answered(Instant now, Instant sentAt, bool ran)
{
    lastAnswer_ = now;
    if (ran) {
        serviceTime_.addSample(now - sentAt);
        window_.recordCompletion(now, now - sentAt, busy());
        errors_ = 0;
        lagPause_ = {};
    }
}

void BackendPool::failed(Instant now)
{
    constexpr std::uint32_t Tolerated = 2;
    constexpr std::uint32_t MostDoublings = 5;
    ++errors_;
    if (errors_ > Tolerated) {
        avoidUntil_ = now + timing_.firstBackoff * (1U << std::min(errors_ - Tolerated, MostDoublings));
    }
}

std::size_t BackendPool::busy() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
        [](const auto &entry) { return entry.second.use == BackendConnection::Use::Busy; }));
}

void BackendPool::noteFull(Instant now)
{
    window_.recordRefusal(now, busy());
}

void BackendPool::noteStarted(Instant now)
{
    window_.recordStart(now);
}

bool BackendPool::hasRoom(Instant now) const
{
    return window_.canSend(now, busy());
}

Duration BackendPool::waitFor(Instant now, std::size_t ahead) const
{
    return window_.predictedWait(now, ahead, quota_, meanTime());
}

void BackendPool::noteApplied(const LogPoint &point)
{
    applied_ = point;
}

void BackendPool::noteLag(Instant now)
{
    if (now < lagUntil_) {
        return; // Answers to what was sent before.
    }
    lagPause_ = std::clamp(2 * lagPause_, timing_.lagMemory, timing_.longestLagMemory);
    lagUntil_ = now + lagPause_;
}

bool BackendPool::lags(Instant now) const
{
    return now < lagUntil_;
}

bool BackendPool::lagsBehind(Instant now, const LogPoint &point) const
{
    return lags(now) && applied_ < point;
}

std::optional<ConnectionId> BackendPool::unneeded(Instant now) const
{
    const auto oldest
        = std::min_element(connections_.begin(), connections_.end(), [](const auto &left, const auto &right) {
              const auto key = [](const BackendConnection &connection) {
                  return std::pair(connection.use != BackendConnection::Use::Idle, connection.since);
              };
              return key(left.second) < key(right.second);
          });
    const bool spare = idle() > 1 && now - oldest->second.since > timing_.unneededAfter;
    return spare ? std::optional(oldest->first) : std::nullopt;
}

std::vector<ConnectionId> BackendPool::surplus() const
{
    std::vector<ConnectionId> found;
    std::size_t open = connections_.size();
    for (const auto &[id, connection] : connections_) {
        if (open > quota_ && connection.use == BackendConnection::Use::Idle) {
            found.push_back(id);
            --open;
        }
    }
    return found;
}

std::size_t BackendPool::open() const
{
    return connections_.size();
}

std::size_t BackendPool::inUse() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) {
        return entry.second.use == BackendConnection::Use::Busy || entry.second.use == BackendConnection::Use::Held;
    }));
}

std::size_t BackendPool::idle() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
        [](const auto &entry) { return entry.second.use == BackendConnection::Use::Idle; }));
}

std::size_t BackendPool::opening() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
        [](const auto &entry) { return entry.second.use == BackendConnection::Use::Opening; }));
}

Duration BackendPool::meanTime() const
{
    return serviceTime_.mean() == Duration::zero() ? UnknownTime : serviceTime_.mean();
}

Duration BackendPool::cost() const
{
    const auto slots = static_cast<std::int64_t>(std::max<std::uint32_t>(record_.slots, 1));
    return meanTime() + meanTime() * static_cast<std::int64_t>(busy()) / slots;
}

bool BackendPool::usable(Instant now) const
{
    const bool leaves = record_.draining && now - drainingSince_ > timing_.drainUse;
    return !leaves && now >= avoidUntil_ && (idle() + opening() > 0 || failures_ == 0 || now >= retryAt_);
}

bool BackendPool::suspect(Instant now) const
{
    return std::any_of(connections_.begin(), connections_.end(), [this, now](const auto &entry) {
        const BackendConnection &connection = entry.second;
        return connection.use == BackendConnection::Use::Busy && now - connection.since > timing_.suspicion
            && (!lastAnswer_ || *lastAnswer_ < connection.since);
    });
}

bool BackendPool::unreachable(Instant now) const
{
    return (failures_ > 1 && idle() == 0) || suspect(now);
}

std::optional<Instant> BackendPool::lastAnswer() const
{
    return lastAnswer_;
}

void BackendPool::noteDemand(Instant now, std::size_t demand)
{
    if (demand >= peak_ || now - peakAt_ > timing_.surplusAfter) {
        peak_ = demand;
        peakAt_ = now;
    }
}

std::uint32_t BackendPool::wanted(Instant now) const
{
    return now - peakAt_ > 2 * timing_.surplusAfter ? 0 : static_cast<std::uint32_t>(peak_);
}

} // namespace daisyrelay
