// Chooses the database that runs a statement.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/routing/backendtable.h"
#include "daisyrelay/routing/leasestate.h"
#include "daisyrelay/routing/readload.h"

#include <set>

namespace daisyrelay {

/// How reads are routed. All but the first exist as baselines for measurements.
enum class ReadPolicy : std::uint8_t {
    CheapestFresh, ///< Reads run at the cheapest database that satisfies the staleness bound and the session token.
    PrimaryOnly, ///< All reads run at the primary.
    RoundRobin, ///< Reads run at each sufficiently fresh database in turn, including the primary.
};

/// The chosen database and the conditions that the statement carries.
struct Route {
    BackendId backend;
    Term term = 0; ///< The term that the database must be in.
    Position minPosition = 0; ///< Databases below this position reject the statement.
    bool usesPrimary = false;
    bool isFallback = false; ///< A read sent to the primary because no replica could run it.
};

/// What the router considers besides the statement.
struct RoutingContext {
    const BackendTable &backends;
    const LeaseState &lease;
    const ReadLoad &load;
    const std::set<BackendId> &triedBackends; ///< Databases that have rejected this statement.
};

/// Decides by freshness, session position, availability zone and load. The state of replicas is an estimate; the home
/// of the replica and the replica itself check the conditions exactly.
class Router
{
public:
    Router(ZoneId zone, ReadPolicy policy, RandomSource random);

    /// \returns a route, or why no database can run \p request.
    [[nodiscard]] Expected<Route> choose(
        Instant now, const StatementRequest &request, const ClassTarget &target, const RoutingContext &context);

private:
    [[nodiscard]] std::vector<const BackendState *> candidates(Instant now, const StatementRequest &request,
        const ClassTarget &target, const RoutingContext &context, const BackendId &primary) const;
    [[nodiscard]] const BackendState *cheapest(
        const std::vector<const BackendState *> &candidates, const ClassTarget &target, const ReadLoad &load) const;
    [[nodiscard]] const BackendState *pickCheaperOfTwo(
        const std::vector<const BackendState *> &candidates, const ReadLoad &load) const;

    ZoneId zone_;
    ReadPolicy policy_;
    RandomSource random_;
    std::uint64_t nextRoundRobinIndex_ = 0;
};

/// Checks the minimum position of a session against the terms of its group.
/// \returns ErrorKind::LostWrite if a failover discarded that position, and ErrorKind::NoPrimary if its term is newer
/// than the one known to this entry.
Expected<void> checkMinPoint(const LogPoint &minPoint, const GroupTerm &term);

} // namespace daisyrelay
