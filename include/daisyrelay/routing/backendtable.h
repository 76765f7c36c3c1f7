// State of the backend servers as known to this entry: their announcements and the positions in their responses.
#pragma once

#include "daisyrelay/routing/primaryhistory.h"
#include "daisyrelay/wire.h"

#include <map>
#include <set>
#include <vector>

namespace daisyrelay {

/// A backend server as this entry sees it.
struct BackendState {
    BackendAnnouncement announcement;
    Instant lastSeenAt {}; ///< When the server sent the announcement.
    LogPoint point; ///< Newest point from announcements and responses.
};

/// The backend servers by identifier; a server without announcements expires.
///
/// Two kinds of position samples are kept apart. *Measured* samples are positions of the primary that this VM requested
/// under its lease; they decide which position a read must see. *Estimated* samples are positions in announcements,
/// which arrive after an unknown delay; they only rank the candidates.
class BackendTable
{
public:
    /// Records an announcement unless a newer one is known.
    void recordAnnouncement(Instant now, const BackendAnnouncement &announcement);

    /// Records the point of a response, which is newer than the last announcement.
    void recordPoint(Instant now, const BackendId &backend, const LogPoint &point);

    /// Records a response of the primary that the lease names to a request sent at \p requestedAt.
    void recordMeasuredPrimary(Instant now, Instant requestedAt, const GroupKey &group, const LogPoint &point);

    /// Removes the servers whose last announcement has expired.
    void expire(Instant now);

    [[nodiscard]] const BackendState *find(const BackendId &backend) const;
    [[nodiscard]] std::vector<const BackendState *> backendsOfGroup(const GroupKey &group) const;
    [[nodiscard]] std::vector<const BackendState *> all() const;

    /// Returns the estimated age of the data of \p backend.
    [[nodiscard]] Duration staleness(Instant now, const BackendId &backend) const;

    /// Returns the position that data of \p term no older than \p oldest must have reached, if it was measured.
    [[nodiscard]] std::optional<Position> minFreshPosition(Instant oldest, const GroupKey &group, Term term) const;

    /// Returns the last instant at which the log of the primary of \p group is known to have ended at or before
    /// \p position.
    [[nodiscard]] std::optional<Instant> measuredCoveredUntil(const GroupKey &group, Position position) const;

private:
    struct GroupState {
        std::set<BackendId> backends;
        PrimaryHistory measured;
        PrimaryHistory estimated;
    };

    void recordEstimatedPrimary(Instant seenAt, const GroupKey &group, const LogPoint &point);

    std::map<BackendId, BackendState> backends_;
    std::map<GroupKey, GroupState> groups_;
};

} // namespace daisyrelay
