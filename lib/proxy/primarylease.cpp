#include "daisyrelay/proxy/primarylease.h"

#include <algorithm>

namespace daisyrelay {

PrimaryLease::PrimaryLease(FencingPolicy policy) : policy_(policy)
{
}

FencingPolicy PrimaryLease::policy() const
{
    return policy_;
}

void PrimaryLease::recordReport(Instant now, std::uint64_t sequence)
{
    sentReports_.record(now, sequence);
}

bool PrimaryLease::extend(std::uint64_t sequence, const LeaseDurations &durations)
{
    const std::optional<Instant> sentAt = sentReports_.sentAt(sequence);
    if (!sentAt) {
        return false;
    }
    const Instant expiresAt = *sentAt + durations.general;
    if (expiresAt_ && expiresAt <= *expiresAt_) {
        return false;
    }
    expiresAt_ = expiresAt;
    ownZoneExpiresAt_ = *sentAt + durations.ownZone;
    return true;
}

std::vector<ServiceId> PrimaryLease::setWithdrawn(const std::vector<PrimaryWithdrawal> &withdrawals, bool keepsOthers)
{
    std::vector<ServiceId> added;
    std::map<ServiceId, Withdrawal> current;
    if (keepsOthers) {
        current = withdrawals_;
    }
    for (const PrimaryWithdrawal &withdrawal : withdrawals) {
        const auto known = withdrawals_.find(withdrawal.service);
        if (known != withdrawals_.end() && known->second.id == withdrawal.id) {
            current.insert_or_assign(known->first, known->second);
            continue;
        }
        current[withdrawal.service] = { withdrawal.id, false };
        added.push_back(withdrawal.service);
    }
    withdrawals_ = std::move(current);
    return added;
}

bool PrimaryLease::release(const ServiceId &service)
{
    const auto found = withdrawals_.find(service);
    if (found == withdrawals_.end() || found->second.isReleased) {
        return false;
    }
    found->second.isReleased = true;
    return true;
}

bool PrimaryLease::isAlive(Instant now) const
{
    return isAlive(now, false);
}

bool PrimaryLease::isAlive(Instant now, bool isOwnZone) const
{
    const std::optional<Instant> &expiresAt = isOwnZone ? ownZoneExpiresAt_ : expiresAt_;
    return policy_ == FencingPolicy::Platform || (expiresAt && now < *expiresAt);
}

bool PrimaryLease::canSend(Instant now, const ServiceId &service, bool isOwnZone) const
{
    return isAlive(now, isOwnZone) && !withdrawals_.contains(service);
}

bool PrimaryLease::canDeliver(Instant now, const ServiceId &service, bool isOwnZone) const
{
    const auto found = withdrawals_.find(service);
    return isAlive(now, isOwnZone) && (found == withdrawals_.end() || !found->second.isReleased);
}

bool PrimaryLease::isWithdrawn(const ServiceId &service) const
{
    return withdrawals_.contains(service);
}

std::vector<ServiceId> PrimaryLease::unreleased() const
{
    std::vector<ServiceId> services;
    for (const auto &[service, withdrawal] : withdrawals_) {
        if (!withdrawal.isReleased) {
            services.push_back(service);
        }
    }
    return services;
}

std::vector<PrimaryWithdrawal> PrimaryLease::released() const
{
    std::vector<PrimaryWithdrawal> list;
    for (const auto &[service, withdrawal] : withdrawals_) {
        if (withdrawal.isReleased) {
            list.push_back({ service, withdrawal.id });
        }
    }
    return list;
}

} // namespace daisyrelay
