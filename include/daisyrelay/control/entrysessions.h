// What the control leader knows of each entry: its lease, the table it confirmed, and what it sees.
#pragma once

#include "daisyrelay/control/controltiming.h"
#include "daisyrelay/wire.h"

#include <map>

namespace daisyrelay {

/// One entry since the leader began to lead.
struct EntrySession {
    ZoneId zone;
    Instant lastHeartbeatAt {};
    Instant leaseUntil {}; ///< Control relies on the end of the lease only from here on.
    std::uint64_t confirmedVersion = 0; ///< Highest table version that the entry has applied.
    std::uint64_t reportedVersion = 0; ///< Table version in its last heartbeat, the base of the next table.
    std::uint64_t configVersion = 0;
    std::vector<BackendId> releasing; ///< Databases of which it still closes connections that were taken away.
    std::vector<HomeGrant> previousShares; ///< Shares that the former leader granted it.
    std::vector<BackendView> suspectViews;
};

/// The sessions of the entries that spoke to this leader.
class EntrySessions
{
public:
    explicit EntrySessions(ControlTiming timing);

    /// Forgets all sessions. Entries that do not speak up may hold a lease of the former leader.
    void reset(Instant now);

    /// Takes in a heartbeat and extends the lease. \returns whether the entry had no live lease before.
    bool recordHeartbeat(Instant now, const LeaseRequest &request, Term leaderTerm);

    /// Tells whether no registered entry can rely on a table older than \p version any more.
    [[nodiscard]] bool allConfirmed(Instant now, std::uint64_t version, const std::map<VmId, ZoneId> &registered) const;

    /// Tells whether \p entry may still hold a lease, of this leader or the former one.
    [[nodiscard]] bool mayHoldLease(Instant now, const VmId &entry) const;

    [[nodiscard]] const std::map<VmId, EntrySession> &all() const;
    [[nodiscard]] const EntrySession *find(const VmId &entry) const;
    [[nodiscard]] Instant leaderSince() const;

private:
    ControlTiming timing_;
    Instant leaderSince_ {};
    std::map<VmId, EntrySession> sessions_;
};

} // namespace daisyrelay
