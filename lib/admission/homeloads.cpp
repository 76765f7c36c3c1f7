#include "daisyrelay/admission/homeloads.h"

#include <algorithm>
#include <tuple>

namespace daisyrelay {

/// A queue changes within this time, so older reports are ignored.
static constexpr Duration MaxReportAge = std::chrono::milliseconds(400);
/// A report that spent longer on the way describes a queue that has changed since.
static constexpr Duration MaxTransitTime = std::chrono::milliseconds(250);
/// No predicted wait is longer: statements time out much earlier.
static constexpr Duration MaxReportedWait = std::chrono::minutes(1);
/// How long nothing is sent to a home that is unreachable or has no connection to the server.
static constexpr Duration AvoidTime = std::chrono::milliseconds(300);
/// Minimum interval between two probes of a home.
static constexpr Duration ProbeInterval = std::chrono::milliseconds(100);
/// Assumed time that one more statement in flight adds to the wait at a home. Half a dozen statements take as long as
/// opening the connection that another home may need.
static constexpr Duration WaitPerStatement = std::chrono::milliseconds(2);
/// Another home than the preferred one of a workspace may have to open a connection, which takes 12 ms of a statement
/// slot.
static constexpr Duration ConnectionCost = std::chrono::milliseconds(12);

/// Share of the statements that may try a second home.
static constexpr double RetriesPerServed = 0.1;
/// Enough for a home that becomes slow at the usual load.
static constexpr double MaxRetryBudget = 10;

std::string_view loadReportFaultName(LoadReportFault fault)
{
    static constexpr std::array<std::string_view, 5> Names { "none", "duplicate", "other-run", "invalid", "late" };
    return Names.at(static_cast<std::size_t>(fault));
}

HomeLoads::HomeLoads() : retryBudget_(MaxRetryBudget)
{
}

void HomeLoads::recordServed()
{
    retryBudget_ = std::min(retryBudget_ + RetriesPerServed, MaxRetryBudget);
}

bool HomeLoads::takeRetry()
{
    if (retryBudget_ < 1) {
        return false;
    }
    retryBudget_ -= 1;
    return true;
}

void HomeLoads::recordSent(const VmId &home, const BackendId &backend)
{
    ++homes_[home].queues[backend].inFlight;
}

void HomeLoads::recordFinished(const VmId &home, const BackendId &backend)
{
    Queue &queue = homes_[home].queues[backend];
    queue.inFlight -= std::min<std::size_t>(queue.inFlight, 1);
}

void HomeLoads::recordHeard(Instant now, const VmId &home)
{
    Home &heard = homes_[home];
    heard.heardAt = now;
    heard.avoidUntil = {};
    heard.unansweredSince.reset();
}

LoadReportFault HomeLoads::recordLoad(
    Instant now, const VmId &home, const BackendId &backend, Instant sentAt, const HomeLoad &load)
{
    Home &known = homes_[home];
    Queue &queue = known.queues[backend];
    const bool isInvalid = std::any_of(load.waitMs.begin(), load.waitMs.end(),
        [](std::int32_t wait) { return wait < 0 || std::chrono::milliseconds(wait) > MaxReportedWait; });
    if (isInvalid) {
        return LoadReportFault::Invalid;
    }
    if (known.runId != 0 && load.runId != known.runId && sentAt <= known.runSentAt) {
        return LoadReportFault::OtherRun;
    }
    if (load.runId == known.runId && queue.load && queue.load->runId == load.runId
        && load.sequence <= queue.load->sequence) {
        return LoadReportFault::Duplicate;
    }
    if (load.runId != known.runId || sentAt > known.runSentAt) {
        known.runId = load.runId;
        known.runSentAt = sentAt;
    }
    if (now - sentAt - std::chrono::milliseconds(load.heldMs) > MaxTransitTime) {
        return LoadReportFault::Late;
    }
    queue.load = load;
    queue.loadAt = now;
    return LoadReportFault::None;
}

void HomeLoads::recordWrongHome(Instant now, const VmId &home, const BackendId &backend)
{
    homes_[home].queues[backend].avoidUntil = now + AvoidTime;
}

void HomeLoads::recordUnreachable(Instant now, const VmId &home)
{
    Home &lost = homes_[home];
    lost.avoidUntil = now + AvoidTime;
    lost.probedAt.reset();
    for (auto &[backend, queue] : lost.queues) {
        queue.load.reset();
    }
}

bool HomeLoads::takeProbe(Instant now, const VmId &home, Instant sentAt, Duration delay)
{
    Home &probed = homes_[home];
    if (now - std::max(sentAt, probed.heardAt) <= delay
        || (probed.probedAt && now - *probed.probedAt < ProbeInterval)) {
        return false;
    }
    probed.unansweredSince = probed.unansweredSince.value_or(now);
    probed.probedAt = now;
    return true;
}

bool HomeLoads::isSilent(Instant now, const VmId &home, Duration timeout) const
{
    const auto found = homes_.find(home);
    return found != homes_.end() && found->second.unansweredSince && now - *found->second.unansweredSince > timeout;
}

bool HomeLoads::isAvoided(Instant now, const VmId &home, const BackendId &backend) const
{
    const auto found = homes_.find(home);
    if (found == homes_.end()) {
        return false;
    }
    const auto queue = found->second.queues.find(backend);
    return now < found->second.avoidUntil || (queue != found->second.queues.end() && now < queue->second.avoidUntil);
}

const HomeLoads::Queue *HomeLoads::find(const VmId &home, const BackendId &backend) const
{
    const auto found = homes_.find(home);
    if (found == homes_.end()) {
        return nullptr;
    }
    const auto queue = found->second.queues.find(backend);
    return queue == found->second.queues.end() ? nullptr : &queue->second;
}

// Without new statements the queue would have become shorter by the age of the report.
std::optional<Duration> HomeLoads::expectedWait(
    Instant now, const VmId &home, const BackendId &backend, std::uint32_t priority) const
{
    const Queue *queue = find(home, backend);
    if (queue == nullptr || !queue->load || now - queue->loadAt > MaxReportAge) {
        return std::nullopt;
    }
    const std::size_t index = std::min<std::size_t>(priority, queue->load->waitMs.size() - 1);
    const Duration reported = std::chrono::milliseconds(queue->load->waitMs.at(index));
    return std::max(reported - (now - queue->loadAt), Duration::zero());
}

std::size_t HomeLoads::inFlight(const VmId &home, const BackendId &backend) const
{
    const Queue *queue = find(home, backend);
    return queue == nullptr ? 0 : queue->inFlight;
}

const VmId *HomeLoads::choose(Instant now, const BackendId &backend, std::span<const VmId> homes,
    const WorkspaceId &workspace, std::uint32_t priority, std::uint64_t tieBreaker, const std::set<VmId> &tried) const
{
    const std::uint64_t workspaceHash = stableHash(workspace.value);
    const VmId *preferred = nullptr;
    const VmId *fastest = nullptr;
    std::uint64_t highestRank = 0;
    Duration preferredWait {};
    Duration shortestWait {};
    for (std::size_t at = 0; at < homes.size(); ++at) {
        const VmId &home = homes[(at + tieBreaker) % homes.size()];
        if (tried.contains(home) || isAvoided(now, home, backend)) {
            continue;
        }
        const Duration wait = expectedWait(now, home, backend, priority).value_or(Duration::zero())
            + WaitPerStatement * static_cast<Duration::rep>(inFlight(home, backend));
        const std::uint64_t rank = combineHashes(stableHash(home.value), workspaceHash);
        if (preferred == nullptr || rank > highestRank) {
            preferred = &home;
            highestRank = rank;
            preferredWait = wait;
        }
        if (fastest == nullptr || wait < shortestWait) {
            fastest = &home;
            shortestWait = wait;
        }
    }
    return workspace.empty() || preferredWait > shortestWait + ConnectionCost ? fastest : preferred;
}

std::optional<Duration> HomeLoads::waitIfHopeless(Instant now, const BackendId &backend, std::span<const VmId> homes,
    std::uint32_t priority, Duration available) const
{
    std::optional<Duration> shortest;
    for (const VmId &home : homes) {
        if (isAvoided(now, home, backend)) {
            continue;
        }
        const std::optional<Duration> wait = expectedWait(now, home, backend, priority);
        if (!wait || *wait <= available) {
            return std::nullopt;
        }
        shortest = shortest ? std::min(*shortest, *wait) : *wait;
    }
    return shortest;
}

} // namespace daisyrelay
