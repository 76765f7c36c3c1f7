// What this entry knows of the backend servers: their announcements, and the positions seen in their answers.
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
    Instant lastSeenAt {};
    LogPoint point; ///< The newest point known, from announcements and answers.
};

/// The backend servers by identifier; entries expire without announcements.
///
/// Two kinds of knowledge are kept apart. *Measured*: positions of the primary that this VM asked for, under its lease;
/// they decide which position a read must find. *Estimated*: positions in announcements, which arrive after an unknown
/// time; they only order the candidates.
class BackendTable
{
public:
    /// Takes in an announcement unless it is older than the one known.
    void recordAnnouncement(Instant now, const BackendAnnouncement &announcement);

    /// Takes in the point of an answer, which is fresher than the last announcement.
    void recordPoint(Instant now, const BackendId &backend, const LogPoint &point);

    /// Takes in an answer of the primary that the lease names, to a question sent at \p requestedAt.
    void recordMeasuredPrimary(Instant now, Instant requestedAt, const GroupKey &group, const LogPoint &point);

    /// Forgets the servers that have been silent for too long.
    void expire(Instant now);

    [[nodiscard]] const BackendState *find(const BackendId &backend) const;
    [[nodiscard]] std::vector<const BackendState *> backendsOfGroup(const GroupKey &group) const;
    [[nodiscard]] std::vector<const BackendState *> all() const;

    /// Returns the estimated age of the data in \p backend.
    [[nodiscard]] Duration staleness(Instant now, const BackendId &backend) const;

    /// Returns the position that data of \p term no older than \p oldest must have reached, if it was measured.
    [[nodiscard]] std::optional<Position> minFreshPosition(Instant oldest, const GroupKey &group, Term term) const;

    /// Returns the last instant at which the primary of \p group is known to have had nothing beyond \p position.
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
