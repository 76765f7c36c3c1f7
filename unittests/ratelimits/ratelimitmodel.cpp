#include "ratelimitmodel.h"

#include <algorithm>

namespace daisyrelay {

using namespace std::chrono_literals;

namespace {

const WorkspaceId Name { "w" };
constexpr Duration Step = 5ms;
constexpr Duration Lease = 2s;
constexpr Duration LeaseMargin = 200ms;
constexpr Duration WarmUp = 4s; // Buckets start empty.
constexpr Duration ApplyTime = 4s;

VmId vmOf(std::size_t index)
{
    return VmId { std::to_string(index) };
}

} // namespace

RateLimitModel::RateLimitModel(RateLimitModelOptions options)
    : options_(options), engine_(options.seed), entries_(options.entryCount), totalLoad_(options.load)
{
    table_.version = 1;
    table_.holders.assign(CoordinatorSlotCount, vmOf(holder_));
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        start(index);
        entries_[index].loadShare = 1.0 / options_.entryCount;
    }
    leasedUntil_ = now_ + Lease + LeaseMargin;
}

void RateLimitModel::run(Duration duration)
{
    for (const Instant end = now_ + duration; now_ < end; now_ += Step) {
        step();
    }
}

double RateLimitModel::worstWindow() const
{
    constexpr Duration Window = 5s;
    double worst = 0;
    std::size_t last = 0;
    for (std::size_t first = 0; first < admitted_.size(); ++first) {
        while (last < admitted_.size() && admitted_[last] < admitted_[first] + Window) {
            ++last;
        }
        const Workspace limit = limits(options_.hasFaults && admitted_[first] >= lowerAt() + ApplyTime).front();
        const double permitted = ((5.0 * limit.operationsPerSecond + limit.burst) * 1.1) + 20;
        worst = std::max(worst, static_cast<double>(last - first) / permitted);
    }
    return worst;
}

double RateLimitModel::refusedShare() const
{
    return static_cast<double>(refused_) / static_cast<double>(std::max<std::uint64_t>(offered_, 1));
}

std::uint64_t RateLimitModel::offlineOperations() const
{
    std::uint64_t sum = offlineOperations_;
    for (const Entry &entry : entries_) {
        sum += entry.client->counters().value("ratelimit.offline-operations");
    }
    return sum;
}

std::uint32_t RateLimitModel::handovers() const
{
    return handovers_;
}

std::vector<Workspace> RateLimitModel::limits(bool isLowered) const
{
    const std::uint32_t divisor = isLowered ? 3 : 1;
    return { Workspace { Name, {}, 0, std::max(1U, options_.rate / divisor), options_.burst / divisor } };
}

Instant RateLimitModel::lowerAt() const
{
    return startedAt_ + 20s;
}

double RateLimitModel::random()
{
    return std::uniform_real_distribution<double>(0, 1)(engine_);
}

std::size_t RateLimitModel::randomEntry()
{
    return engine_() % entries_.size();
}

void RateLimitModel::start(std::size_t index)
{
    Entry &entry = entries_[index];
    if (entry.client) {
        offlineOperations_ += entry.client->counters().value("ratelimit.offline-operations");
    }
    entry.client = std::make_unique<RateLimitClient>(engine_());
    entry.coordinator = std::make_unique<RateLimitCoordinator>();
    entry.client->setLimits(now_, limits(entry.hasNewLimit));
    entry.coordinator->setLimits(now_, limits(entry.hasNewLimit));
    entry.waiting.clear();
}

void RateLimitModel::step()
{
    if (options_.hasFaults) {
        injectFaults();
    }
    lead();
    deliver();
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        Entry &entry = entries_[index];
        if (now_ < entry.frozenUntil) {
            continue;
        }
        if (!entry.waiting.empty() || (now_ - startedAt_) % 100ms == 0ms) {
            entry.client->tick(now_);
            serve(entry);
        }
        offer(entry);
        for (auto &[to, request] : entry.client->takeRequests()) {
            post({ index, std::stoul(to.value), request, {}, false });
        }
    }
}

void RateLimitModel::injectFaults()
{
    // Each fault happens every few seconds.
    constexpr double Frequency = 0.0015;
    if (random() < Frequency) {
        for (Entry &entry : entries_) {
            entry.group = random() < 0.5 ? 0 : engine_() % 3;
        }
    }
    if (random() < Frequency) {
        for (Entry &entry : entries_) {
            entry.group = 0;
        }
    }
    if (random() < Frequency / 2) {
        const std::size_t index = randomEntry();
        start(index);
        if (index == holder_) {
            leasedUntil_ = now_; // The leader learns it from the new run.
        }
    }
    if (random() < Frequency) {
        entries_[randomEntry()].frozenUntil = now_ + 300ms + std::chrono::milliseconds(engine_() % 6000);
    }
    if (random() < Frequency * 3) {
        changeLoad();
    }
}

void RateLimitModel::changeLoad()
{
    const std::vector<double> loads { 0, 0.6, 1, 1, 2, 6 };
    totalLoad_ = loads[engine_() % loads.size()];
    const std::size_t busy = randomEntry();
    const double busyShare = random() < 0.5 ? 0.9 : 1.0 / options_.entryCount;
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        entries_[index].loadShare = index == busy ? busyShare : (1 - busyShare) / std::max(1U, options_.entryCount - 1);
    }
}

void RateLimitModel::lead()
{
    if ((now_ - startedAt_) % 100ms != 0ms) {
        return;
    }
    const bool isLowered = options_.hasFaults && now_ >= lowerAt();
    if (now_ >= leasedUntil_) {
        const std::size_t candidate = randomEntry();
        if (entries_[candidate].group == 0 && now_ >= entries_[candidate].frozenUntil) {
            holder_ = candidate;
            table_.holders.assign(CoordinatorSlotCount, vmOf(holder_));
            ++table_.version;
            ++handovers_;
        }
    }
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        Entry &entry = entries_[index];
        if (entry.group != 0 || now_ < entry.frozenUntil) {
            continue;
        }
        if (isLowered && !entry.hasNewLimit && (random() < 0.05 || now_ >= lowerAt() + ApplyTime)) {
            entry.hasNewLimit = true;
            entry.client->setLimits(now_, limits(true));
            entry.coordinator->setLimits(now_, limits(true));
        }
        entry.client->setHolders(table_);
        // Otherwise, a coordinator that loses contact before it applies the limit grants the old rate too long.
        const bool hasAppliedLimit = entry.hasNewLimit || now_ < lowerAt() + ApplyTime - Lease;
        if (index == holder_ && (hasAppliedLimit || !options_.hasFaults)) {
            entry.coordinator->setAuthority(now_, { coordinatorSlotOf(Name) }, now_ + Lease);
            leasedUntil_ = now_ + Lease + LeaseMargin;
        }
    }
}

void RateLimitModel::deliver()
{
    std::vector<std::pair<Instant, Message>> delayed;
    while (!network_.empty() && network_.begin()->first <= now_) {
        const Message message = std::move(network_.extract(network_.begin()).mapped());
        Entry &entry = entries_[message.to];
        if (now_ < entry.frozenUntil) {
            delayed.emplace_back(entry.frozenUntil, message);
        } else if (!message.isGrant) {
            post({ message.to, message.from, {},
                entry.coordinator->onRequest(now_, vmOf(message.from), message.request), true });
        } else if (entry.client->onGrant(now_, vmOf(message.from), message.grant)) {
            serve(entry);
        }
    }
    network_.insert(delayed.begin(), delayed.end());
}

void RateLimitModel::post(Message message)
{
    if (entries_[message.from].group == entries_[message.to].group) {
        network_.emplace(now_ + 1ms + std::chrono::microseconds(engine_() % 14000), std::move(message));
    }
}

void RateLimitModel::offer(Entry &entry)
{
    const double mean = options_.rate * totalLoad_ * entry.loadShare * std::chrono::duration<double>(Step).count();
    for (int count = std::poisson_distribution<int>(std::max(mean, 1e-9))(engine_); count > 0; --count) {
        offered_ += now_ >= startedAt_ + WarmUp ? 1 : 0;
        if (!decide(entry, now_)) {
            entry.waiting.push_back(now_);
        }
    }
}

void RateLimitModel::serve(Entry &entry)
{
    std::erase_if(entry.waiting, [&](Instant since) { return decide(entry, since); });
}

bool RateLimitModel::decide(Entry &entry, Instant since)
{
    const RateLimitClient::Decision decision = entry.client->acquire(now_, Name, since);
    if (decision.admission == RateLimitClient::Admission::Admitted) {
        admitted_.push_back(now_);
    } else if (decision.admission == RateLimitClient::Admission::Denied) {
        refused_ += now_ >= startedAt_ + WarmUp ? 1 : 0;
    }
    return decision.admission != RateLimitClient::Admission::Waiting;
}

} // namespace daisyrelay
