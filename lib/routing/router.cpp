#include "daisyrelay/routing/router.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::int64_t RetryAfterMs = 100;

/// Estimates are based on announcements, which are at most this far apart. The home of the replica checks exactly.
static constexpr Duration EstimateTolerance = std::chrono::milliseconds(300);

Router::Router(ZoneId zone, ReadPolicy policy, RandomSource random)
    : zone_(std::move(zone)), policy_(policy), random_(std::move(random))
{
}

Expected<void> checkMinPoint(const LogPoint &minPoint, const GroupTerm &term)
{
    if (minPoint.term > term.term) {
        return tl::unexpected(Error {
            ErrorKind::NoPrimary, "the term of the session is newer than the term known to this entry", RetryAfterMs });
    }
    if (term.isLost(minPoint)) {
        return tl::unexpected(
            Error { ErrorKind::LostWrite, "a failover discarded data that this session has written or read", 0 });
    }
    return {};
}

static Expected<Route> routeToPrimary(
    Instant now, const LogPoint &minPoint, const RoutingContext &context, const GroupTerm &term)
{
    if (!context.lease.isValidAt(now)) {
        return tl::unexpected(Error { ErrorKind::NoLease, "this entry has no valid lease from control", RetryAfterMs });
    }
    if (term.primary.empty()) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "the group currently has no primary", RetryAfterMs });
    }
    if (context.backends.find(term.primary) == nullptr) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "no announcement of the primary is known", RetryAfterMs });
    }
    return Route { term.primary, term.term, minPoint.position, true, false };
}

std::vector<const BackendState *> Router::candidates(Instant now, const StatementRequest &request,
    const ClassTarget &target, const RoutingContext &context, const BackendId &primary) const
{
    // A replica that lags by less reaches the session's position while the statement waits at the replica's home.
    const Duration maxHomeWait = std::min<Duration>(target.latencyP99 / 2, target.freshness);
    std::vector<const BackendState *> result;
    for (const BackendState *state : context.backends.backendsOfGroup(request.group)) {
        const BackendId &id = state->announcement.id;
        if (id == primary || state->announcement.isLeaving || context.triedBackends.contains(id)
            || !context.load.canAccept(now, id)) {
            continue;
        }
        const Duration staleness = context.backends.staleness(now, id);
        const bool hasReachedMinPoint
            = state->point >= request.minPoint || staleness <= EstimateTolerance + maxHomeWait;
        if (hasReachedMinPoint && staleness <= target.freshness + EstimateTolerance) {
            result.push_back(state);
        }
    }
    return result;
}

const BackendState *Router::pickCheaperOfTwo(
    const std::vector<const BackendState *> &candidates, const ReadLoad &load) const
{
    if (candidates.empty()) {
        return nullptr;
    }
    const BackendState *first = candidates[random_() % candidates.size()];
    const BackendState *second = candidates[random_() % candidates.size()];
    return load.cost(second->announcement.id) < load.cost(first->announcement.id) ? second : first;
}

const BackendState *Router::cheapest(
    const std::vector<const BackendState *> &candidates, const ClassTarget &target, const ReadLoad &load) const
{
    std::vector<const BackendState *> local;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(local),
        [this](const BackendState *state) { return state->announcement.zone == zone_; });
    const BackendState *bestLocal = pickCheaperOfTwo(local, load);
    if (bestLocal != nullptr && load.cost(bestLocal->announcement.id) <= target.latencyP99 / 2) {
        return bestLocal;
    }
    const BackendState *bestAny = pickCheaperOfTwo(candidates, load);
    const bool localIsCheaper = bestLocal != nullptr && bestAny != nullptr
        && load.cost(bestLocal->announcement.id) <= load.cost(bestAny->announcement.id);
    return localIsCheaper ? bestLocal : bestAny;
}

Expected<Route> Router::choose(
    Instant now, const StatementRequest &request, const ClassTarget &target, const RoutingContext &context)
{
    const bool isWriteOrControl = request.kind == StatementKind::Write || request.action != StatementAction::Execute;
    const GroupTerm *term = context.lease.findTerm(request.group);
    if (term == nullptr) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "the group has no primary yet", RetryAfterMs });
    }
    if (const Expected<void> checked = checkMinPoint(request.minPoint, *term); !checked) {
        return tl::unexpected(checked.error());
    }
    if (isWriteOrControl || target.freshness.count() == 0 || policy_ == ReadPolicy::PrimaryOnly) {
        return routeToPrimary(now, request.minPoint, context, *term);
    }
    const std::vector<const BackendState *> replicas = candidates(now, request, target, context, term->primary);
    if (policy_ == ReadPolicy::RoundRobin) {
        const std::size_t index = nextRoundRobinIndex_++ % (replicas.size() + 1);
        if (index == replicas.size()) {
            return routeToPrimary(now, request.minPoint, context, *term);
        }
        return Route { replicas[index]->announcement.id, term->term, request.minPoint.position, false, false };
    }
    if (const BackendState *best = cheapest(replicas, target, context.load); best != nullptr) {
        return Route { best->announcement.id, term->term, request.minPoint.position, false, false };
    }
    Expected<Route> route = routeToPrimary(now, request.minPoint, context, *term);
    if (route) {
        route->isFallback = true;
    }
    return route;
}

} // namespace daisyrelay
