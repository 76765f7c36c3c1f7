#include "daisyrelay/control/entrysessions.h"

#include <algorithm>

namespace daisyrelay {

EntrySessions::EntrySessions(ControlTiming timing) : timing_(timing)
{
}

void EntrySessions::reset(Instant now)
{
    leaderSince_ = now;
    sessions_.clear();
}

bool EntrySessions::recordHeartbeat(Instant now, const LeaseRequest &request, Term leaderTerm)
{
    EntrySession &session = sessions_[request.entry];
    const bool isNew = session.leaseExpiresAt <= now;
    session.zone = request.zone;
    session.lastHeartbeatAt = now;
    session.leaseExpiresAt = now + timing_.leaseDuration + timing_.maxClockDrift;
    session.configVersion = request.configVersion;
    session.suspectViews = request.views;
    session.releasing = request.releasing;
    session.reportedVersion = 0;
    if (request.tableLeaderTerm == leaderTerm) {
        session.reportedVersion = request.needsFullTable ? 0 : request.tableVersion;
        session.confirmedVersion = std::max(session.confirmedVersion, request.tableVersion);
        if (!request.homes.empty()) {
            session.previousShares = request.homes;
        }
    }
    return isNew;
}

bool EntrySessions::mayHoldLease(Instant now, const VmId &entry) const
{
    const EntrySession *session = find(entry);
    return now
        < (session == nullptr ? leaderSince_ + timing_.leaseDuration + timing_.maxClockDrift : session->leaseExpiresAt);
}

bool EntrySessions::haveAllConfirmed(Instant now, std::uint64_t version, const std::map<VmId, ZoneId> &registered) const
{
    return std::all_of(registered.begin(), registered.end(), [this, now, version](const auto &entry) {
        const EntrySession *session = find(entry.first);
        return !mayHoldLease(now, entry.first) || (session != nullptr && session->confirmedVersion >= version);
    });
}

const std::map<VmId, EntrySession> &EntrySessions::all() const
{
    return sessions_;
}

const EntrySession *EntrySessions::find(const VmId &entry) const
{
    const auto found = sessions_.find(entry);
    return found == sessions_.end() ? nullptr : &found->second;
}

Instant EntrySessions::leaderSince() const
{
    return leaderSince_;
}

} // namespace daisyrelay
