#include "daisyrelay/routing/router.h"

namespace daisyrelay {

Router::Router(ZoneId zone) : zone_(std::move(zone))
{
}

static Expected<Route> routeToPrimary(const BackendTable &backends, const LeaseState &lease, const GroupKey &group)
{
    const GroupTerm *term = lease.termOf(group);
    if (term == nullptr || term->primary.empty()) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "the group has no primary now" });
    }
    const BackendState *primary = backends.find(term->primary);
    if (primary == nullptr) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "the primary does not announce itself" });
    }
    return Route { term->primary, term->term, 0, true };
}

static bool isFresherChoice(const BackendState &candidate, const BackendState *best, const ZoneId &zone)
{
    if (best == nullptr) {
        return true;
    }
    const bool candidateNear = candidate.announcement.zone == zone;
    const bool bestNear = best->announcement.zone == zone;
    return candidateNear && !bestNear;
}

Expected<Route> Router::choose(Instant now, const StatementRequest &request, const ClassTarget &target,
    const BackendTable &backends, const LeaseState &lease) const
{
    if (request.kind == StatementKind::Write || request.action != StatementAction::Execute) {
        if (!lease.liveAt(now)) {
            return tl::unexpected(Error { ErrorKind::NoLease, "this entry is cut off from control" });
        }
        return routeToPrimary(backends, lease, request.group);
    }
    const GroupTerm *term = lease.termOf(request.group);
    if (term == nullptr) {
        return tl::unexpected(Error { ErrorKind::NoPrimary, "the group has no primary yet" });
    }
    const BackendState *best = nullptr;
    for (const BackendState *state : backends.ofGroup(request.group)) {
        const bool isPrimary = state->announcement.id == term->primary;
        const bool reached = state->point >= request.floor;
        const bool fresh = backends.staleness(now, state->announcement.id) <= target.freshness;
        if (!isPrimary && !state->announcement.leaving && reached && fresh && target.freshness.count() > 0
            && isFresherChoice(*state, best, zone_)) {
            best = state;
        }
    }
    if (best != nullptr) {
        return Route { best->announcement.id, term->term, request.floor.position, false };
    }
    return routeToPrimary(backends, lease, request.group);
}

} // namespace daisyrelay
