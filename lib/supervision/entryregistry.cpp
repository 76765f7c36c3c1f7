#include "daisyrelay/supervision/entryregistry.h"

#include <algorithm>

namespace daisyrelay {

EntryRegistry::EntryRegistry(SupervisionTiming timing) : timing_(timing)
{
}

void EntryRegistry::reset(Instant now)
{
    since_ = now;
    sessions_.clear();
}

bool EntryRegistry::report(Instant now, const VmId &entry, const EntryReport &report)
{
    ReportedEntry &session = sessions_[entry];
    if (session.report.run == report.run && report.sequence <= session.report.sequence) {
        return false;
    }
    if (session.report.run != report.run) {
        // A new run holds no connection of the one before, whose sockets went with it.
        session = {};
    }
    session.report = report;
    session.heardAt = now;
    session.granted.clear();
    for (const ConnectionQuota &held : report.held) {
        session.granted[held.backend] = held.connections;
    }
    return true;
}

void EntryRegistry::expire(Instant now)
{
    std::erase_if(
        sessions_, [this, now](const auto &session) { return now - session.second.heardAt > timing_.entryGone; });
}

// An entry that has not asked yet still has its share, so that those who come first can not take it.
std::uint32_t EntryRegistry::spokenFor(const VmId &except, const BackendId &backend, std::uint32_t share) const
{
    std::uint32_t sum = 0;
    for (const auto &[vm, session] : sessions_) {
        if (vm != except) {
            const auto found = session.granted.find(backend);
            sum += std::max(share, found == session.granted.end() ? 0 : found->second);
        }
    }
    return sum;
}

std::vector<ConnectionQuota> EntryRegistry::grant(Instant now, const VmId &entry, const SupervisionState &state)
{
    std::vector<ConnectionQuota> changes;
    const auto found = sessions_.find(entry);
    if (found == sessions_.end()) {
        return changes;
    }
    // Until all had time to report, nobody knows how many there are, so each gets one to begin with.
    const bool early = now - since_ < timing_.quotaDelay;
    ReportedEntry &session = found->second;
    for (const auto &[id, backend] : state.backends()) {
        const ServiceLimits *limits = state.limitsOf(backend.service);
        if (limits == nullptr) {
            continue;
        }
        const std::uint32_t usable
            = limits->connections > ReservedConnections ? limits->connections - ReservedConnections : 1;
        const auto share = static_cast<std::uint32_t>(usable / sessions_.size());
        const auto wish = std::find_if(session.report.wanted.begin(), session.report.wanted.end(),
            [&id = id](const ConnectionQuota &quota) { return quota.backend == id; });
        const std::uint32_t wanted = wish == session.report.wanted.end() ? 0 : wish->connections;
        const std::uint32_t target = early ? 1 : std::max(share, wanted);
        std::uint32_t &granted = session.granted[id];
        const std::uint32_t others = spokenFor(entry, id, early ? 0 : share);
        const std::uint32_t free = usable > others ? usable - others : 0;
        const std::uint32_t allowed = std::min(target, free);
        if (allowed == granted || (early && allowed < granted)) {
            continue;
        }
        changes.push_back({ id, allowed });
        // What is taken away counts until the entry says that it has let go.
        granted = std::max(granted, allowed);
    }
    return changes;
}

bool EntryRegistry::anyAnswered(Instant since, const ServiceId &service, const BackendId &backend) const
{
    return std::any_of(sessions_.begin(), sessions_.end(), [&](const auto &entry) {
        const ReportedEntry &session = entry.second;
        return session.heardAt >= since
            && std::any_of(session.report.primaries.begin(), session.report.primaries.end(),
                [&](const PrimaryObservation &seen) {
                    return seen.service == service && seen.backend == backend && seen.answering;
                });
    });
}

bool EntryRegistry::mostAreCutFrom(Instant now, const ServiceId &service, const BackendId &backend) const
{
    std::size_t heard = 0;
    std::size_t cut = 0;
    for (const auto &[vm, session] : sessions_) {
        if (now - session.heardAt > timing_.entrySilence) {
            continue;
        }
        ++heard;
        cut += std::any_of(session.report.primaries.begin(), session.report.primaries.end(),
                   [&](const PrimaryObservation &seen) {
                       return seen.service == service && seen.backend == backend && seen.unreachable;
                   })
            ? 1
            : 0;
    }
    return 2 * cut > heard;
}

std::map<VmId, ReportedEntry> &EntryRegistry::sessions()
{
    return sessions_;
}

Duration EntryRegistry::reportInterval() const
{
    const Duration spread = timing_.reportCost * static_cast<std::int64_t>(sessions_.size());
    return std::clamp<Duration>(spread, timing_.reportInterval, 5 * timing_.reportInterval);
}

} // namespace daisyrelay
