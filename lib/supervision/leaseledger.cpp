#include "daisyrelay/supervision/leaseledger.h"

#include "daisyrelay/supervision/supervisiontiming.h"

#include <algorithm>

namespace daisyrelay {

LeaseLedger::LeaseLedger(FencingPolicy policy, LeaseDurations durations) : policy_(policy), durations_(durations)
{
}

FencingPolicy LeaseLedger::policy() const
{
    return policy_;
}

void LeaseLedger::reset(Instant now, const LeaseHolderTable &holders, bool areHoldersComplete)
{
    leases_.clear();
    withdrawals_.clear();
    unknownUntil_ = areHoldersComplete ? now : makeLease(now, 0, {}).expiresAt;
    for (const auto &[entry, record] : holders.records()) {
        leases_[entry] = makeLease(now, 0, record.zone);
    }
}

LeaseLedger::Lease LeaseLedger::makeLease(Instant now, std::uint64_t runId, const ZoneId &zone) const
{
    const Instant base = now + ClockDriftMargin;
    return { runId, zone, base + durations_.general, base + durations_.ownZone };
}

LeaseDurations LeaseLedger::grant(
    Instant now, const VmId &entry, std::uint64_t runId, const ZoneId &zone, bool knowsOwnZone)
{
    if (policy_ == FencingPolicy::Platform) {
        return {};
    }
    Lease &lease = leases_[entry] = makeLease(now, runId, zone);
    if (!knowsOwnZone) {
        lease.ownZoneExpiresAt = std::max(lease.ownZoneExpiresAt, lease.expiresAt);
    }
    return durations_;
}

std::size_t LeaseLedger::recordReport(
    const VmId &entry, std::uint64_t runId, const std::vector<PrimaryWithdrawal> &released)
{
    for (auto &[service, withdrawal] : withdrawals_) {
        const auto holder = withdrawal.holders.find(entry);
        if (holder == withdrawal.holders.end()) {
            continue;
        }
        if (holder->second.runId == 0) {
            holder->second.runId = runId; // A former leader may have granted the lease to this run.
        } else if (holder->second.runId != runId) {
            // The process that held the lease has ended, and its connections with it.
            withdrawal.holders.erase(holder);
        }
    }
    std::size_t ignoredCount = 0;
    for (const PrimaryWithdrawal &release : released) {
        const auto found = withdrawals_.find(release.service);
        if (found == withdrawals_.end() || found->second.id != release.id) {
            ++ignoredCount;
            continue;
        }
        found->second.holders.erase(entry);
    }
    return ignoredCount;
}

void LeaseLedger::withdraw(
    Instant now, const ServiceId &service, std::uint64_t id, const ZoneId &primaryZone, const CanUse &canUse)
{
    if (withdrawals_.contains(service)) {
        return;
    }
    Withdrawal withdrawal { id, {} };
    for (const auto &[entry, lease] : leases_) {
        const bool isOwnZone = !primaryZone.empty() && lease.zone == primaryZone;
        const Instant expiresAt = isOwnZone ? lease.ownZoneExpiresAt : lease.expiresAt;
        if (expiresAt > now && canUse(entry)) {
            withdrawal.holders.emplace(entry, Holder { lease.runId, expiresAt });
        }
    }
    withdrawals_.emplace(service, std::move(withdrawal));
}

void LeaseLedger::restore(const ServiceId &service)
{
    withdrawals_.erase(service);
}

bool LeaseLedger::isWithdrawn(const ServiceId &service) const
{
    return withdrawals_.contains(service);
}

bool LeaseLedger::isReleased(Instant now, const ServiceId &service) const
{
    return policy_ == FencingPolicy::Platform || (withdrawals_.contains(service) && outstanding(now, service).empty());
}

std::vector<VmId> LeaseLedger::outstanding(Instant now, const ServiceId &service) const
{
    std::vector<VmId> entries;
    if (now < unknownUntil_) {
        entries.emplace_back();
    }
    if (const auto found = withdrawals_.find(service); found != withdrawals_.end()) {
        for (const auto &[entry, lease] : found->second.holders) {
            if (now < lease.expiresAt) {
                entries.push_back(entry);
            }
        }
    }
    return entries;
}

Instant LeaseLedger::expiresAt(Instant now, const ServiceId &service) const
{
    Instant latest = std::max(now, unknownUntil_);
    if (const auto found = withdrawals_.find(service); found != withdrawals_.end()) {
        for (const auto &[entry, lease] : found->second.holders) {
            latest = std::max(latest, lease.expiresAt);
        }
    }
    return latest;
}

std::vector<PrimaryWithdrawal> LeaseLedger::withdrawals() const
{
    std::vector<PrimaryWithdrawal> list;
    for (const auto &[service, withdrawal] : withdrawals_) {
        list.push_back({ service, withdrawal.id });
    }
    return list;
}

} // namespace daisyrelay
