#include "daisyrelay/routing/router.h"

#include <algorithm>

namespace daisyrelay {

static constexpr std::int64_t RetryAfterMs = 100;

/// Estimates rest on announcements, which are this far apart at most; the home of the replica decides exactly.
static constexpr Duration EstimateSlack = std::chrono::milliseconds(300);

Router::Router(ZoneId zone, ReadPolicy policy, RandomSource random)
    : zone_(std::move(zone)), policy_(policy), random_(std::move(random))
{
}

Expected<void> checkFloor(const LogPoint &floor, const GroupTerm &term)
{
    if (floor.term > term.term) {
        return tl::unexpected(
            Error { ErrorKind::NoPrimary, "the session has seen a newer term than this entry", RetryAfterMs });
    }
    if (term.isLost(floor)) {
        return tl::unexpected(
            Error { ErrorKind::LostWrite, "a failover lost what this session has written or read", 0 });
    }
    return {};
}

static Expected<Route> routeToPrimary(
    Instant now, const LogPoint &floor, const RoutingView &view, const GroupTerm &term)
{
    if (!view.lease.liveAt(now)) {
        return tl::unexpected(Error { ErrorKind::NoLease, "this entry is cut off from control", RetryAfterMs });
    }
    if (term.primary.empty()) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "the group has no primary now", RetryAfterMs });
    }
    if (view.backends.find(term.primary) == nullptr) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "the primary does not announce itself", RetryAfterMs });
    }
    return Route { term.primary, term.term, floor.position, true, false };
}

std::vector<const BackendState *> Router::candidates(Instant now, const StatementRequest &request,
    const ClassTarget &target, const RoutingView &view, const BackendId &primary) const
{
    // A replica that lags by less than this reaches the session's position while the statement waits at its home.
    const Duration wait = std::min<Duration>(target.latencyP99 / 2, target.freshness);
    std::vector<const BackendState *> result;
    for (const BackendState *state : view.backends.ofGroup(request.group)) {
        const BackendId &id = state->announcement.id;
        if (id == primary || state->announcement.leaving || view.tried.contains(id) || !view.load.admits(now, id)) {
            continue;
        }
        const Duration staleness = view.backends.staleness(now, id);
        const bool reached = state->point >= request.minPoint || staleness <= EstimateSlack + wait;
        if (reached && staleness <= target.freshness + EstimateSlack) {
            result.push_back(state);
        }
    }
    return result;
}

const BackendState *Router::pickOfTwo(const std::vector<const BackendState *> &candidates, const ReadLoad &load) const
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
    std::vector<const BackendState *> near;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(near),
        [this](const BackendState *state) { return state->announcement.zone == zone_; });
    const BackendState *nearest = pickOfTwo(near, load);
    if (nearest != nullptr && load.cost(nearest->announcement.id) <= target.latencyP99 / 2) {
        return nearest;
    }
    const BackendState *any = pickOfTwo(candidates, load);
    const bool nearIsCheaper = nearest != nullptr && any != nullptr
        && load.cost(nearest->announcement.id) <= load.cost(any->announcement.id);
    return nearIsCheaper ? nearest : any;
}

Expected<Route> Router::choose(
    Instant now, const StatementRequest &request, const ClassTarget &target, const RoutingView &view)
{
    const bool write = request.kind == StatementKind::Write || request.action != StatementAction::Execute;
    const GroupTerm *term = view.lease.termOf(request.group);
    if (term == nullptr) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "the group has no primary yet", RetryAfterMs });
    }
    if (const Expected<void> checked = checkFloor(request.minPoint, *term); !checked) {
        return tl::unexpected(checked.error());
    }
    if (write || target.freshness.count() == 0 || policy_ == ReadPolicy::PrimaryOnly) {
        return routeToPrimary(now, request.minPoint, view, *term);
    }
    const std::vector<const BackendState *> replicas = candidates(now, request, target, view, term->primary);
    if (policy_ == ReadPolicy::RoundRobin) {
        const std::size_t turn = turn_++ % (replicas.size() + 1);
        if (turn == replicas.size()) {
            return routeToPrimary(now, request.minPoint, view, *term);
        }
        return Route { replicas[turn]->announcement.id, term->term, request.minPoint.position, false, false };
    }
    if (const BackendState *best = cheapest(replicas, target, view.load); best != nullptr) {
        return Route { best->announcement.id, term->term, request.minPoint.position, false, false };
    }
    Expected<Route> route = routeToPrimary(now, request.minPoint, view, *term);
    if (route) {
        route->fallback = true;
    }
    return route;
}

} // namespace daisyrelay
