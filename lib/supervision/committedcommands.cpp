// The part of the supervisor that applies the replicated log and follows its format version.
#include "daisyrelay/supervision/supervisor.h"

namespace daisyrelay {

void Supervisor::setRestoredIndex(std::uint64_t index)
{
    restoredIndex_ = index;
}

Expected<void> Supervisor::onCommitted(Instant now, const LogEntry &entry)
{
    const Expected<SupervisionCommand> command = decodeSupervisionCommand(entry.command);
    if (!command || hasUnreadableCommand_) {
        hasUnreadableCommand_ = true;
        metrics_.add("commands_unreadable_total");
        const std::string detail = command ? "follows a command that this build cannot read" : command.error().detail;
        log_.log(now, "command.unreadable", { { "index", entry.index }, { "error", std::string_view(detail) } });
        return tl::unexpected(Error { ErrorKind::StorageCorrupt,
            "log entry " + std::to_string(entry.index)
                + " is not readable by this build, which supports the format versions " + formatRangeText({}) + ": "
                + detail });
    }
    const bool hasChanged = state_.apply(entry.index, *command);
    if (hasChanged && std::holds_alternative<PutConfiguration>(*command)) {
        configurations_.record(state_.configuration());
    }
    if (entry.index > restoredIndex_) {
        if (hasChanged || std::holds_alternative<ActivateFormat>(*command)) {
            logCommand(now, *command, entry.index);
        }
    } else if (entry.index == restoredIndex_) {
        log_.log(now, "log.restored",
            { { "index", entry.index }, { "config_version", state_.configuration().version },
                { "backends", std::uint64_t { state_.backends().size() } },
                { "format", std::uint64_t { state_.activeFormat() } } });
    }
    if (hasChanged && std::holds_alternative<PutConfiguration>(*command)) {
        constexpr std::size_t MaxRecentVersions = 64;
        recentVersions_.emplace_back(state_.configuration().version, now);
        if (recentVersions_.size() > MaxRecentVersions) {
            recentVersions_.pop_front();
        }
    }
    if (isLeader_) {
        onCommittedAsLeader(now, entry, *command, hasChanged);
    }
    return {};
}

void Supervisor::onCommittedAsLeader(
    Instant now, const LogEntry &entry, const SupervisionCommand &command, bool hasChanged)
{
    if (const auto *decision = std::get_if<DecidePromotion>(&command); decision != nullptr && entry.term == term_) {
        if (const auto monitor = monitors_.find(decision->service); monitor != monitors_.end()) {
            monitor->second.onPromotionCommitted(now, *decision, entry.index, context());
        }
    }
    if (const auto *holder = std::get_if<RegisterLeaseHolder>(&command);
        holder != nullptr && entries_.sessions().contains(holder->entry)) {
        // The response to the report that caused the registration was sent without a lease.
        ReportingEntry &session = entries_.sessions().at(holder->entry);
        session.mayHoldLease = mayHoldLease(session.lastReportAt, holder->entry, session.report.zone);
        pushUpdate(now, holder->entry, true);
    }
    // With many entries, changes of backend servers wait for the next report of each.
    const auto *record = std::get_if<RecordBackend>(&command);
    const bool isUrgent = record == nullptr || record->record.isDraining
        || entries_.sessions().size() <= timing_.maxEntriesForBackendPush;
    isPushDue_ = isPushDue_ || (hasChanged && isUrgent);
    respondToCompleted(now);
}

bool Supervisor::mayHoldLease(Instant now, const VmId &entry, const ZoneId &zone)
{
    if (leases_.policy() != FencingPolicy::Leases) {
        return false;
    }
    if (!state_.registersLeaseHolders()) {
        // A control VM that does not know lease holders may lead next. It waits for leases of any entry to expire, as
        // this one does.
        return !state_.isEmpty();
    }
    return formats_.supportsActive(entry, state_)
        && leaseRegistrar_.recordReport(now, entry, zone, state_.leaseHolders());
}

void Supervisor::proposeFormat(Instant now)
{
    if (!formats_.isDue(now)) {
        return;
    }
    std::set<VmId> entries;
    for (const auto &[entry, session] : entries_.sessions()) {
        entries.insert(entry);
    }
    for (SupervisionCommand &command : formats_.tick(now, state_, controlVms_, entries)) {
        propose(std::move(command));
    }
}

void Supervisor::recordPeerFormat(const VmId &peer, const std::optional<FormatRange> &range)
{
    formats_.recordPeer(peer, range);
}

bool Supervisor::supportsActiveFormat(const VmId &peer) const
{
    return formats_.supportsActive(peer, state_);
}

void Supervisor::logCommand(Instant now, const SupervisionCommand &command, std::uint64_t index)
{
    if (const auto *change = std::get_if<PutConfiguration>(&command); change != nullptr) {
        log_.log(now, "config.accepted",
            { { "version", change->configuration.version }, { "index", index },
                { "routes", std::uint64_t { change->configuration.routes.size() } } });
    } else if (const auto *record = std::get_if<RecordBackend>(&command); record != nullptr) {
        log_.log(now, "backend.recorded",
            { { "backend", std::string_view(record->record.id.value) }, { "index", index },
                { "service", std::string_view(record->record.service.value) },
                { "zone", std::string_view(record->record.zone.value) }, { "draining", record->record.isDraining },
                { "claims_primary", record->record.claimsPrimary } });
    } else if (const auto *removal = std::get_if<RemoveBackend>(&command); removal != nullptr) {
        log_.log(
            now, "backend.removed", { { "backend", std::string_view(removal->backend.value) }, { "index", index } });
    } else if (const auto *primary = std::get_if<RecordPrimary>(&command); primary != nullptr) {
        log_.log(now, "primary.recorded",
            { { "service", std::string_view(primary->service.value) },
                { "backend", std::string_view(primary->backend.value) }, { "generation", index } });
    } else if (const auto *activation = std::get_if<ActivateFormat>(&command); activation != nullptr) {
        log_.log(now, "format.activated",
            { { "version", std::uint64_t { activation->version } }, { "index", index },
                { "lease_holders_complete", state_.areLeaseHoldersComplete() } });
    }
}

} // namespace daisyrelay
