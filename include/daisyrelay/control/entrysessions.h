// The leader's state of each entry: its lease, the table version it confirmed, and the failures it reports.
#pragma once

#include "daisyrelay/control/controltiming.h"
#include "daisyrelay/wire.h"

#include <map>

namespace daisyrelay {

/// An entry that sent heartbeats to the current leader.
struct EntrySession {
    ZoneId zone;
    Instant lastHeartbeatAt {};
    Instant leaseExpiresAt {}; ///< Control assumes that the lease may be in use until then.
    std::uint64_t confirmedVersion = 0; ///< Highest table version that the entry has applied.
    std::uint64_t reportedVersion = 0; ///< Table version in the last heartbeat; the base of the next table.
    std::uint64_t configVersion = 0;
    std::vector<BackendId> releasing; ///< Databases to which the entry still has to close revoked connections.
    std::vector<HomeGrant> previousShares; ///< Shares that the former leader granted.
    std::vector<BackendView> suspectViews; ///< Databases reported as failing in the last heartbeat.
};

/// The sessions of the entries that have contacted this leader.
class EntrySessions
{
public:
    explicit EntrySessions(ControlTiming timing);

    /// Removes all sessions. Entries that have not contacted this leader may hold a lease of the former leader.
    void reset(Instant now);

    /// Records a heartbeat and extends the lease. \returns whether the entry had no live lease before.
    bool recordHeartbeat(Instant now, const LeaseRequest &request, Term leaderTerm);

    /// Returns whether no registered entry can still use a table older than \p version.
    [[nodiscard]] bool haveAllConfirmed(
        Instant now, std::uint64_t version, const std::map<VmId, ZoneId> &registered) const;

    /// Returns whether \p entry may still hold a lease, of this leader or the former one.
    [[nodiscard]] bool mayHoldLease(Instant now, const VmId &entry) const;

    [[nodiscard]] const std::map<VmId, EntrySession> &all() const;
    [[nodiscard]] const EntrySession *find(const VmId &entry) const;
    /// Returns the time at which this VM became leader.
    [[nodiscard]] Instant leaderSince() const;

private:
    ControlTiming timing_;
    Instant leaderSince_ {};
    std::map<VmId, EntrySession> sessions_;
};

} // namespace daisyrelay
