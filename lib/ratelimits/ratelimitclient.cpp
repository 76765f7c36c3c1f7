#include "daisyrelay/ratelimits/ratelimitclient.h"

#include <algorithm>
#include <numeric>

namespace daisyrelay {

namespace {

using namespace std::chrono_literals;

// An operation waits this long for a token. A coordinator that takes longer counts as silent.
constexpr Duration MaxWait = 60ms;

// No token is requested for an operation that waits for no longer than this any more: the token would arrive after the
// operation was denied and, at an entry with few operations, expire.
constexpr Duration RoundTrip = 15ms;

constexpr Duration RecentUseWindow = 250ms;
constexpr Duration SteadyUseWindow = 1s;
constexpr std::uint64_t RecentPerSteadyWindow = 4; // SteadyUseWindow / RecentUseWindow

// Half of what the last 250 ms used is requested ahead of need. Tokens expire after 250 ms, so that an entry which
// keeps its rate uses nearly all of them.
constexpr std::uint64_t AheadDivisor = 2;

// Requests of a workspace that may be underway at once; operations that arrive meanwhile need not wait for two
// round trips.
constexpr std::size_t MaxSentRequests = 4;

// A coordinator that does not respond gets requests at these intervals, so that a dead one is not flooded.
constexpr Duration MinRetryDelay = 100ms;
constexpr Duration MaxRetryDelay = 500ms;

// Operations of a workspace that may wait at once at this entry. More would not get their tokens in time.
constexpr std::size_t MaxWaiting = 1024;

// The load of a workspace is uneven over the entries. After a start of all entries, none ran anything for at least as
// long, and the buckets of the coordinators that follow start empty, so that twice the rate stays within the bound.
constexpr Duration StartupDuration = 1500ms;
constexpr double StartupShareFactor = 2;

constexpr std::size_t MaxOutbox = 4096; // Reached only if nobody takes the requests.

// Returns the number of operations that wait since a time after \p since.
std::uint64_t waitingCount(const std::map<Instant, std::uint32_t> &waiting, Instant since = Instant::min())
{
    return std::accumulate(waiting.upper_bound(since), waiting.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const auto &item) { return sum + item.second; });
}

void removeWaiting(std::map<Instant, std::uint32_t> &waiting, Instant since)
{
    const auto found = waiting.find(since);
    if (found != waiting.end() && --found->second == 0) {
        waiting.erase(found);
    }
}

} // namespace

RateLimitClient::State::State() : recentUse(RecentUseWindow), steadyUse(SteadyUseWindow), granted(GrantHistoryDuration)
{
}

RateLimitClient::RateLimitClient(std::uint64_t runId, RateLimitOptions options) : runId_(runId), options_(options)
{
}

void RateLimitClient::setLimits([[maybe_unused]] Instant now, const std::vector<Workspace> &workspaces)
{
    std::unordered_map<WorkspaceId, State> states;
    for (const Workspace &workspace : workspaces) {
        if (workspace.operationsPerSecond == 0) {
            continue;
        }
        State state;
        state.credit = initialCredit(workspace.name);
        const auto present = states_.find(workspace.name);
        if (present != states_.end()) {
            const Workspace &limit = present->second.limit;
            const bool isLowered
                = workspace.operationsPerSecond < limit.operationsPerSecond || workspace.burst < limit.burst;
            state = std::move(present->second);
            if (isLowered) {
                state.stock.clear();
                state.granted.clear();
            }
        }
        state.limit = workspace;
        state.limit.keys.clear();
        states.emplace(workspace.name, std::move(state));
    }
    states_ = std::move(states);
}

void RateLimitClient::setHolders(const CoordinatorTable &table)
{
    if (table.holders.size() != CoordinatorSlotCount) {
        counters_.add("ratelimit.ignored.invalid-table");
        return;
    }
    if (table.version < tableVersion_) {
        counters_.add("ratelimit.ignored.outdated-table");
        return;
    }
    tableVersion_ = table.version;
    for (std::size_t slot = 0; slot < CoordinatorSlotCount; ++slot) {
        Coordinator &coordinator = coordinators_.at(slot);
        if (coordinator.vm != table.holders.at(slot)) {
            // The time of the last contact remains: another coordinator does not extend the time without one.
            const std::optional<Instant> contactAt = coordinator.contactAt;
            coordinator = Coordinator {};
            coordinator.vm = table.holders.at(slot);
            coordinator.contactAt = contactAt;
        }
    }
}

void RateLimitClient::setEntryCount(Instant now, std::uint32_t count)
{
    if (count == 0) {
        return;
    }
    if (entryCount_ == 0) {
        entryCountSince_ = now;
    }
    entryCount_ = count;
}

RateLimitClient::Decision RateLimitClient::acquire(Instant now, const WorkspaceId &workspace, Instant waitingSince)
{
    const auto found = states_.find(workspace);
    if (found == states_.end()) {
        return { Admission::Admitted, Duration { 0 } };
    }
    State &state = found->second;
    dropExpired(now, tokenLifetime(options_), state);
    const bool isFirstCall = now <= waitingSince;
    if (takeFromStock(state) || takeOffline(now, state, coordinatorOf(workspace))) {
        removeWaiting(state.waiting, waitingSince);
        state.recentUse.add(now, 1);
        state.steadyUse.add(now, 1);
        request(now, state);
        return { Admission::Admitted, Duration { 0 } };
    }
    const bool isWaiting = !isFirstCall && state.waiting.contains(waitingSince);
    if (!isWaiting && waitingCount(state.waiting) >= MaxWaiting) {
        return { Admission::Denied, MaxWait };
    }
    if (!isWaiting && now < waitingSince + MaxWait) {
        ++state.waiting[waitingSince];
    }
    if (now < waitingSince + MaxWait) {
        request(now, state);
    }
    const Decision decision = decideWithoutToken(now, state, waitingSince);
    if (decision.admission == Admission::Denied) {
        removeWaiting(state.waiting, waitingSince);
    }
    return decision;
}

std::vector<std::pair<VmId, RateLimitRequest>> RateLimitClient::takeRequests()
{
    return std::exchange(outbox_, {});
}

bool RateLimitClient::onGrant(Instant now, const VmId &from, const RateLimitGrant &grant)
{
    if (const char *reason = reasonToIgnore(from, grant)) {
        counters_.add(std::string("ratelimit.ignored.") + reason);
        return false;
    }
    State &state = states_.at(grant.workspace);
    const auto sent = std::find_if(state.sent.begin(), state.sent.end(),
        [&grant](const SentRequest &request) { return request.sequence == grant.sequence; });
    const SentRequest request = *sent;
    state.sent.erase(sent);

    Coordinator &coordinator = coordinatorOf(grant.workspace);
    if (coordinator.vm == from) {
        coordinator.unansweredSince.reset();
        coordinator.isRefusing = !grant.isCoordinator;
        if (grant.isCoordinator) {
            coordinator.retryDelay = Duration { 0 };
        }
    }
    if (!grant.isCoordinator) {
        return true;
    }
    coordinator.contactAt = std::max(coordinator.contactAt.value_or(request.sentAt), request.sentAt);
    state.credit = std::min(state.credit, initialCredit(grant.workspace));
    state.granted.add(now, grant.tokens);
    // The coordinator granted the tokens after the request was sent, so they are at most as old as the request.
    const Instant expiresAt = request.sentAt + tokenLifetime(options_);
    if (grant.tokens > 0 && now < expiresAt) {
        const auto position = std::upper_bound(state.stock.begin(), state.stock.end(), expiresAt,
            [](Instant time, const Batch &batch) { return time < batch.expiresAt; });
        state.stock.insert(position, { expiresAt, grant.tokens });
    }
    if (request.wanted > 0) {
        state.deniedUntil.reset();
    }
    if (grant.tokens < request.wanted && grant.retryAfter > 0ms) {
        state.deniedUntil = now + grant.retryAfter;
    }
    return true;
}

void RateLimitClient::tick(Instant now)
{
    std::array<State *, CoordinatorSlotCount> toProbe {};
    for (auto &[name, state] : states_) {
        dropExpired(now, tokenLifetime(options_), state);
        request(now, state);
        if (offlineAllowance(options_, state.limit, state.granted.total(now)) > 0) {
            toProbe.at(coordinatorSlotOf(name)) = &state;
        }
    }
    for (std::size_t slot = 0; slot < CoordinatorSlotCount; ++slot) {
        Coordinator &coordinator = coordinators_.at(slot);
        const bool isDue = !coordinator.lastSentAt || now >= *coordinator.lastSentAt + ProbeInterval;
        if (toProbe.at(slot) && isDue && !coordinator.vm.empty()) {
            send(now, *toProbe.at(slot), coordinator, 0);
        }
    }
}

const Counters &RateLimitClient::counters() const
{
    return counters_;
}

RateLimitClient::Coordinator &RateLimitClient::coordinatorOf(const WorkspaceId &workspace)
{
    return coordinators_.at(coordinatorSlotOf(workspace));
}

bool RateLimitClient::isSilent(Instant now, const Coordinator &coordinator)
{
    return coordinator.vm.empty() || coordinator.isRefusing
        || (coordinator.unansweredSince && now >= *coordinator.unansweredSince + MaxWait);
}

Instant RateLimitClient::nextRequestAt(Instant now, const Coordinator &coordinator)
{
    if (!isSilent(now, coordinator) || !coordinator.lastSentAt) {
        return now;
    }
    return *coordinator.lastSentAt + std::max(coordinator.retryDelay, MinRetryDelay);
}

void RateLimitClient::dropExpired(Instant now, Duration lifetime, State &state)
{
    while (!state.stock.empty() && now >= state.stock.front().expiresAt) {
        state.stock.pop_front();
    }
    std::erase_if(state.sent, [=](const SentRequest &request) { return now >= request.sentAt + lifetime; });
    // Operations of closed sessions do not call again.
    state.waiting.erase(state.waiting.begin(), state.waiting.lower_bound(now - MaxWait));
}

bool RateLimitClient::takeFromStock(State &state)
{
    if (state.stock.empty()) {
        return false;
    }
    if (--state.stock.front().tokens == 0) {
        state.stock.pop_front();
    }
    return true;
}

// Without coordinators, as after a start of all entries, each may run its part of the rate.
bool RateLimitClient::takeUncoordinated(Instant now, State &state)
{
    if (entryCount_ == 0) {
        return false;
    }
    const bool isStarting = now < entryCountSince_ + StartupDuration;
    const double perSecond
        = static_cast<double>(state.limit.operationsPerSecond) / entryCount_ * (isStarting ? StartupShareFactor : 1.0);
    const Duration elapsed = now - std::max(state.creditedUntil, entryCountSince_);
    const double capacity = std::max(1.0, perSecond * std::chrono::duration<double>(RecentUseWindow).count());
    state.credit = std::min(capacity, state.credit + (perSecond * std::chrono::duration<double>(elapsed).count()));
    state.creditedUntil = now;
    if (state.credit < 1) {
        return false;
    }
    state.credit -= 1;
    counters_.add("ratelimit.uncoordinated-operations");
    return true;
}

bool RateLimitClient::takeOffline(Instant now, State &state, const Coordinator &coordinator)
{
    if (coordinator.vm.empty()) {
        return takeUncoordinated(now, state);
    }
    if (!coordinator.contactAt || !isSilent(now, coordinator) || now >= *coordinator.contactAt + MaxOfflineDuration) {
        return false;
    }
    const double allowance = offlineAllowance(options_, state.limit, state.granted.total(now));
    const Instant countedUntil = std::max(state.creditedUntil, *coordinator.contactAt);
    const double elapsed = std::chrono::duration<double>(now - countedUntil) / MaxOfflineDuration;
    state.credit = std::min(1.0, state.credit + (allowance * elapsed));
    state.creditedUntil = now;
    if (state.credit < 1) {
        return false;
    }
    state.credit -= 1;
    counters_.add("ratelimit.offline-operations");
    return true;
}

void RateLimitClient::request(Instant now, State &state)
{
    const std::uint64_t ahead
        = std::min(state.recentUse.total(now), state.steadyUse.total(now) / RecentPerSteadyWindow) / AheadDivisor;
    const std::uint64_t waiting = waitingCount(state.waiting, now - MaxWait + RoundTrip);
    std::uint64_t present = 0;
    for (const Batch &batch : state.stock) {
        present += batch.tokens;
    }
    for (const SentRequest &sent : state.sent) {
        // A request that has been underway for longer than an operation waits counts as lost.
        present += now < sent.sentAt + MaxWait ? sent.wanted : 0;
    }
    const bool isLow = present < waiting || (ahead > 0 && present <= waiting + (ahead / 2));
    Coordinator &coordinator = coordinatorOf(state.limit.name);
    if (!isLow || coordinator.vm.empty() || state.sent.size() >= MaxSentRequests
        || (state.deniedUntil && now < *state.deniedUntil) || now < nextRequestAt(now, coordinator)) {
        return;
    }
    send(now, state, coordinator,
        static_cast<std::uint32_t>(std::min<std::uint64_t>(waiting + ahead - present, MaxTokensPerRequest)));
}

void RateLimitClient::send(Instant now, State &state, Coordinator &coordinator, std::uint32_t wanted)
{
    if (outbox_.size() >= MaxOutbox || state.sent.size() >= MaxSentRequests) {
        return;
    }
    if (isSilent(now, coordinator)) {
        coordinator.retryDelay = std::clamp(coordinator.retryDelay * 2, MinRetryDelay, MaxRetryDelay);
    }
    coordinator.lastSentAt = now;
    coordinator.unansweredSince = coordinator.unansweredSince.value_or(now);
    state.sent.push_back({ ++lastSequence_, coordinator.vm, now, wanted });
    outbox_.push_back({ coordinator.vm, { state.limit.name, runId_, lastSequence_, wanted } });
}

RateLimitClient::Decision RateLimitClient::decideWithoutToken(Instant now, State &state, Instant waitingSince)
{
    const Coordinator &coordinator = coordinatorOf(state.limit.name);
    const Instant latest = waitingSince + MaxWait;
    const bool isUnderway = std::any_of(state.sent.begin(), state.sent.end(),
        [now](const SentRequest &request) { return request.wanted > 0 && now < request.sentAt + MaxWait; });
    Instant next = now;
    bool canWait = isUnderway;
    if (state.deniedUntil && now < *state.deniedUntil) {
        next = *state.deniedUntil;
        canWait = false;
    } else if (isSilent(now, coordinator) && !isUnderway) {
        next = coordinator.vm.empty() ? now + MinRetryDelay : nextRequestAt(now, coordinator);
    }
    if (now < latest && (canWait || next < latest - RoundTrip)) {
        return { Admission::Waiting, Duration { 0 } };
    }
    return { Admission::Denied, next > now ? next - now : MaxWait };
}

} // namespace daisyrelay
