// What this entry knows of the backend servers: their announcements, and the positions seen in their answers.
#pragma once

#include "daisyrelay/wire.h"

#include <map>
#include <vector>

namespace daisyrelay {

/// A backend server as this entry sees it.
struct BackendState {
    BackendAnnouncement announcement;
    Instant heardAt {};
    LogPoint point; ///< The newest point known, from announcements and answers.
};

/// The backend servers by identifier; entries expire without announcements.
class BackendTable
{
public:
    /// Takes in an announcement unless it is older than the one known.
    void announce(Instant now, const BackendAnnouncement &announcement);

    /// Takes in the point of an answer, which is fresher than the last announcement.
    void observe(Instant now, const BackendId &backend, const LogPoint &point);

    /// Forgets the servers that have been silent for too long.
    void expire(Instant now);

    [[nodiscard]] const BackendState *find(const BackendId &backend) const;
    [[nodiscard]] std::vector<const BackendState *> ofGroup(const GroupKey &group) const;
    [[nodiscard]] std::vector<const BackendState *> all() const;

    /// Returns an upper bound of the age of the data in \p backend, measured on this VM's clock.
    [[nodiscard]] Duration staleness(Instant now, const BackendId &backend) const;

private:
    struct PrimaryHistory {
        std::map<LogPoint, Instant> firstSeen; ///< When the primary was first known to be at a point.
    };

    void recordPrimary(Instant now, const GroupKey &group, const LogPoint &point);

    std::map<BackendId, BackendState> backends_;
    std::map<GroupKey, PrimaryHistory> primaries_;
};

} // namespace daisyrelay
