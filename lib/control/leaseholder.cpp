#include "daisyrelay/control/leaseholder.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration RenewInterval = std::chrono::milliseconds(100);
static constexpr Duration LeaderSilence = std::chrono::milliseconds(250);
static constexpr std::size_t RememberedRequests = 64;

LeaseHolder::LeaseHolder(VmId vm, ZoneId zone, std::vector<VmId> controlVms)
    : vm_(std::move(vm)), zone_(std::move(zone)), controlVms_(std::move(controlVms))
{
}

LeaseHolder::Renewal LeaseHolder::tick(Instant now, const std::vector<BackendView> &views, std::uint64_t configVersion)
{
    if (now < renewAt_) {
        return {};
    }
    renewAt_ = now + RenewInterval;
    LeaseRequest request { vm_, zone_, nextNonce_++, state_.table.leaderTerm, state_.table.version, configVersion, {},
        views };
    for (const HomeGrant &grant : state_.table.homes) {
        if (grant.entry == vm_) {
            request.homes.push_back(grant);
        }
    }
    sent_.emplace(request.nonce, now);
    if (sent_.size() > RememberedRequests) {
        sent_.erase(sent_.begin());
    }
    if (!leader_.empty() && now < grantedAt_ + LeaderSilence) {
        return { { leader_ }, std::move(request) };
    }
    return { controlVms_, std::move(request) };
}

bool LeaseHolder::onGrant(Instant now, const VmId &from, const LeaseGrant &grant)
{
    const auto order = [](const LeaseTable &table) { return std::pair(table.leaderTerm, table.version); };
    if (order(grant.table) < order(state_.table)) {
        return false;
    }
    bool changed = false;
    if (order(grant.table) > order(state_.table)) {
        state_.table = grant.table;
        renewAt_ = now; // Confirms the table at once, since a promotion may wait for it.
        changed = true;
    }
    if (const auto sent = sent_.find(grant.nonce); sent != sent_.end()) {
        state_.validUntil = std::max(state_.validUntil, sent->second + std::chrono::milliseconds(grant.durationMs));
        leader_ = from;
        grantedAt_ = now;
        sent_.erase(sent_.begin(), std::next(sent));
        changed = true;
    }
    return changed;
}

const LeaseState &LeaseHolder::state() const
{
    return state_;
}

} // namespace daisyrelay
