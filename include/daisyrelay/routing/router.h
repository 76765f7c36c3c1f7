// Chooses the database that answers a statement.
#pragma once

#include "daisyrelay/config.h"
#include "daisyrelay/routing/backendtable.h"
#include "daisyrelay/routing/leasestate.h"

namespace daisyrelay {

/// The chosen database and what the statement must carry.
struct Route {
    BackendId backend;
    Term term = 0; ///< The term the database is asked to answer in.
    Position minPosition = 0; ///< Replicas answer "behind" below this position.
    bool toPrimary = false;
};

/// Decides by freshness, session position, availability zone and lag.
class Router
{
public:
    explicit Router(ZoneId zone);

    /// \returns a route, or why no database may answer \p request.
    [[nodiscard]] Expected<Route> choose(Instant now, const StatementRequest &request, const ClassTarget &target,
        const BackendTable &backends, const LeaseState &lease) const;

private:
    ZoneId zone_;
};

} // namespace daisyrelay
