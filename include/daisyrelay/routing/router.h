// Chooses the database that answers a statement.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/routing/backendtable.h"
#include "daisyrelay/routing/leasestate.h"
#include "daisyrelay/routing/readload.h"

#include <set>

namespace daisyrelay {

/// How reads are routed. All but the first exist to be compared with it in measurements.
enum class ReadPolicy : std::uint8_t {
    CheapestFresh, ///< The cheapest database that meets freshness and token.
    PrimaryOnly, ///< All reads to the primary.
    RoundRobin, ///< Each fresh database in turn, the primary too.
};

/// The chosen database and what the statement must carry.
struct Route {
    BackendId backend;
    Term term = 0; ///< The term the database is asked to answer in.
    Position minPosition = 0; ///< Databases answer "behind" below this position.
    bool usesPrimary = false;
    bool isFallback = false; ///< A read at the primary that a replica should have answered.
};

/// What the router looks at besides the statement.
struct RoutingContext {
    const BackendTable &backends;
    const LeaseState &lease;
    const ReadLoad &load;
    const std::set<BackendId> &triedBackends; ///< Databases that have refused this statement.
};

/// Decides by freshness, session position, availability zone and load. What it knows of replicas is an estimate; the
/// home of the replica and the replica itself check it exactly.
class Router
{
public:
    Router(ZoneId zone, ReadPolicy policy, RandomSource random);

    /// \returns a route, or why no database may answer \p request.
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

/// Checks the position that a session has seen against the terms of its group.
/// \returns ErrorKind::LostWrite if a failover cut that position off, and ErrorKind::NoPrimary if the session has seen
/// a term that this entry has not heard of yet.
Expected<void> checkMinPoint(const LogPoint &minPoint, const GroupTerm &term);

} // namespace daisyrelay
