#include "daisyrelay/control/leaseholder.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration RenewInterval = std::chrono::milliseconds(100);
static constexpr Duration MaxLeaderSilence = std::chrono::milliseconds(250);
static constexpr std::size_t MaxPendingRequests = 64;
static constexpr Duration MinReportedStall = std::chrono::milliseconds(100);
static constexpr Duration FixedShareLifetime = std::chrono::minutes(10);

LeaseHolder::LeaseHolder(VmId vm, ZoneId zone, std::vector<VmId> controlVms, std::uint64_t firstNonce)
    : vm_(std::move(vm)), zone_(std::move(zone)), controlVms_(std::move(controlVms)), nextNonce_(firstNonce)
{
}

static bool isSuspect(const BackendView &view)
{
    return !view.isReachable || std::chrono::milliseconds(view.stalledMs) >= MinReportedStall;
}

LeaseHolder::Renewal LeaseHolder::tick(Instant now, const std::vector<BackendView> &views, std::uint64_t configVersion,
    const std::vector<BackendId> &releasing)
{
    dropExpiredLease(now);
    LeaseRequest request { vm_, zone_, 0, state_.table.leaderTerm, state_.table.version, needsFullTable_, configVersion,
        {}, releasing, {} };
    std::set<BackendId> suspects;
    for (const BackendView &view : views) {
        if (isSuspect(view)) {
            suspects.insert(view.backend);
            request.views.push_back(view);
        }
    }
    // Reports a newly suspected database immediately, because a failover may wait for the report.
    const bool hasNewSuspect
        = !std::includes(suspectBackends_.begin(), suspectBackends_.end(), suspects.begin(), suspects.end());
    suspectBackends_ = std::move(suspects);
    if (now < renewAt_ && !hasNewSuspect) {
        return {};
    }
    renewAt_ = now + RenewInterval;
    request.nonce = nextNonce_++;
    for (const HomeGrant &grant : state_.table.homes) {
        if (state_.table.keepsPreviousHomes && (grant.entry == vm_ || grant.fixedConnections > 0)) {
            request.homes.push_back(grant);
        }
    }
    sentAt_.emplace(request.nonce, now);
    if (sentAt_.size() > MaxPendingRequests) {
        sentAt_.erase(sentAt_.begin());
    }
    if (!leader_.empty() && now < grantedAt_ + MaxLeaderSilence) {
        return { { leader_ }, std::move(request) };
    }
    return { controlVms_, std::move(request) };
}

bool LeaseHolder::onGrant(Instant now, const VmId &from, const LeaseGrant &grant)
{
    dropExpiredLease(now);
    const auto order = [](const LeaseTable &table) { return std::pair(table.leaderTerm, table.version); };
    if (order(grant.table) < order(state_.table)) {
        return false;
    }
    const bool isSameLeader = grant.table.leaderTerm == state_.table.leaderTerm;
    if (grant.table.baseVersion > (isSameLeader ? state_.table.version : 0)) {
        return false; // The changes build on a table that this run never had.
    }
    bool hasChanged = false;
    if (order(grant.table) > order(state_.table) || (needsFullTable_ && grant.table.baseVersion == 0)) {
        mergeTable(grant.table);
        if (!isSameLeader) {
            leader_ = from;
            grantedAt_ = now;
        }
        renewAt_ = now; // Confirms the table immediately, because a promotion may wait for it.
        hasChanged = true;
    }
    if (const auto sentRequest = sentAt_.find(grant.nonce); sentRequest != sentAt_.end()) {
        state_.validUntil
            = std::max(state_.validUntil, sentRequest->second + std::chrono::milliseconds(grant.durationMs));
        leader_ = from;
        grantedAt_ = now;
        sentAt_.erase(sentAt_.begin(), std::next(sentRequest));
        hasChanged = true;
    }
    return hasChanged;
}

template <typename Row, typename Key>
static void replaceRow(std::vector<Row> &rows, const Row &row, const Key &key)
{
    const auto position = std::lower_bound(
        rows.begin(), rows.end(), row, [&key](const Row &left, const Row &right) { return key(left) < key(right); });
    if (position != rows.end() && key(*position) == key(row)) {
        *position = row;
    } else {
        rows.insert(position, row);
    }
}

void LeaseHolder::mergeTable(const LeaseTable &table)
{
    if (table.baseVersion == 0) {
        std::vector<HomeGrant> homes = table.keepsPreviousHomes ? state_.table.homes : table.homes;
        needsFullTable_ = needsFullTable_ && table.keepsPreviousHomes;
        state_.table = table;
        state_.table.homes = std::move(homes);
        return;
    }
    state_.table.keepsPreviousHomes = table.keepsPreviousHomes;
    state_.table.version = table.version;
    for (const GroupTerm &term : table.terms) {
        replaceRow(state_.table.terms, term, [](const GroupTerm &row) { return row.group; });
    }
    for (const HomeGrant &home : table.homes) {
        replaceRow(state_.table.homes, home, [](const HomeGrant &row) { return row.backend; });
    }
}

void LeaseHolder::dropExpiredLease(Instant now)
{
    if (state_.validUntil == Instant {} || state_.isValidAt(now)) {
        return;
    }
    // Control may have chosen another home, and reassigns the fixed shares later. A complete table restores the grants.
    const bool haveFixedSharesExpired = now >= state_.validUntil + FixedShareLifetime;
    for (HomeGrant &home : state_.table.homes) {
        if (home.entry == vm_) {
            home.entry = {};
            home.leasedConnections = 0;
        }
        home.fixedConnections = haveFixedSharesExpired ? 0 : home.fixedConnections;
    }
    needsFullTable_ = true;
}

const LeaseState &LeaseHolder::state() const
{
    return state_;
}

} // namespace daisyrelay
