#include "daisyrelay/control/leaseholder.h"

#include <algorithm>

namespace daisyrelay {

static constexpr Duration RenewInterval = std::chrono::milliseconds(100);
static constexpr Duration LeaderSilence = std::chrono::milliseconds(250);
static constexpr std::size_t RememberedRequests = 64;
static constexpr Duration ReportedStall = std::chrono::milliseconds(100);
static constexpr Duration FixedShareLife = std::chrono::minutes(10);

LeaseHolder::LeaseHolder(VmId vm, ZoneId zone, std::vector<VmId> controlVms, std::uint64_t firstNonce)
    : vm_(std::move(vm)), zone_(std::move(zone)), controlVms_(std::move(controlVms)), nextNonce_(firstNonce)
{
}

static bool looksBad(const BackendView &view)
{
    return !view.reachable || std::chrono::milliseconds(view.stalledMs) >= ReportedStall;
}

LeaseHolder::Renewal LeaseHolder::tick(Instant now, const std::vector<BackendView> &views, std::uint64_t configVersion,
    const std::vector<BackendId> &releasing)
{
    dropLapsed(now);
    LeaseRequest request { vm_, zone_, 0, state_.table.leaderTerm, state_.table.version, needsWholeTable_,
        configVersion, {}, releasing, {} };
    std::set<BackendId> bad;
    for (const BackendView &view : views) {
        if (looksBad(view)) {
            bad.insert(view.backend);
            request.views.push_back(view);
        }
    }
    // A database that begins to look bad is reported at once, since a failover may wait for it.
    const bool worse = !std::includes(badBackends_.begin(), badBackends_.end(), bad.begin(), bad.end());
    badBackends_ = std::move(bad);
    if (now < renewAt_ && !worse) {
        return {};
    }
    renewAt_ = now + RenewInterval;
    request.nonce = nextNonce_++;
    for (const HomeGrant &grant : state_.table.homes) {
        if (state_.table.keepsHomes && (grant.entry == vm_ || grant.fixedConnections > 0)) {
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
    dropLapsed(now);
    const auto order = [](const LeaseTable &table) { return std::pair(table.leaderTerm, table.version); };
    if (order(grant.table) < order(state_.table)) {
        return false;
    }
    const bool sameLeader = grant.table.leaderTerm == state_.table.leaderTerm;
    if (grant.table.baseVersion > (sameLeader ? state_.table.version : 0)) {
        return false; // The changes are on top of a table that this run never had.
    }
    bool changed = false;
    if (order(grant.table) > order(state_.table) || (needsWholeTable_ && grant.table.baseVersion == 0)) {
        merge(grant.table);
        if (!sameLeader) {
            leader_ = from;
            grantedAt_ = now;
        }
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

template <typename Row, typename Key>
static void replaceRow(std::vector<Row> &rows, const Row &row, const Key &key)
{
    const auto place = std::lower_bound(
        rows.begin(), rows.end(), row, [&key](const Row &left, const Row &right) { return key(left) < key(right); });
    if (place != rows.end() && key(*place) == key(row)) {
        *place = row;
    } else {
        rows.insert(place, row);
    }
}

void LeaseHolder::merge(const LeaseTable &table)
{
    if (table.baseVersion == 0) {
        std::vector<HomeGrant> homes = table.keepsHomes ? state_.table.homes : table.homes;
        needsWholeTable_ = needsWholeTable_ && table.keepsHomes;
        state_.table = table;
        state_.table.homes = std::move(homes);
        return;
    }
    state_.table.keepsHomes = table.keepsHomes;
    state_.table.version = table.version;
    for (const GroupTerm &term : table.terms) {
        replaceRow(state_.table.terms, term, [](const GroupTerm &row) { return row.group; });
    }
    for (const HomeGrant &home : table.homes) {
        replaceRow(state_.table.homes, home, [](const HomeGrant &row) { return row.backend; });
    }
}

void LeaseHolder::dropLapsed(Instant now)
{
    if (state_.validUntil == Instant {} || state_.isValidAt(now)) {
        return;
    }
    // Control may have made another entry the home, and gives the fixed shares away later. A complete table tells.
    const bool longGone = now >= state_.validUntil + FixedShareLife;
    for (HomeGrant &home : state_.table.homes) {
        if (home.entry == vm_) {
            home.entry = {};
            home.leasedConnections = 0;
        }
        home.fixedConnections = longGone ? 0 : home.fixedConnections;
    }
    needsWholeTable_ = true;
}

const LeaseState &LeaseHolder::state() const
{
    return state_;
}

} // namespace daisyrelay
