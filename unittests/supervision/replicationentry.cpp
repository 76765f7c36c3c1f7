#include "replicationentry.h"

#include <algorithm>

namespace daisyrelay {

ReplicationEntry::ReplicationEntry(int ownZone) : zone(ownZone)
{
}

void ReplicationEntry::sendReport(Instant now, EntryReport &report)
{
    sentReports_.record(now, report.sequence);
    report.zone = ZoneId { "z" + std::to_string(zone) };
    report.homesVersion = homesVersion_;
    for (const auto &[server, quota] : quotas_) {
        const std::uint32_t held = std::max<std::uint32_t>(quota, connections_.contains(server) ? 1 : 0);
        if (held > 0) {
            report.heldQuotas.push_back({ BackendId { server }, held });
        }
    }
}

void ReplicationEntry::onUpdate(
    const EntryUpdate &update, std::map<std::string, bool> servers, const std::string &primary)
{
    servers_ = std::move(servers);
    for (const ConnectionQuota &quota : update.quotas) {
        quotas_[quota.backend.value] = quota.connections;
    }
    if (update.homes) {
        homesVersion_ = update.homes->version;
    }
    // Connections to replicas stay open above the quota while commits wait for a receipt.
    std::erase_if(connections_, [this](const auto &connection) {
        const bool isKept = connection.first != primary_ && awaitsReceipts();
        return !servers_.contains(connection.first) || (quotas_[connection.first] == 0 && !isKept);
    });
    if (primary_ != primary) {
        receipts_.takeAll();
        primary_ = primary;
    }
    isWithdrawn_ = !update.withdrawn.empty();
    if (const std::optional<Instant> sentAt = sentReports_.sentAt(update.sequence); sentAt && !isWithdrawn_) {
        receipts_.confirmReplicas(*sentAt);
    }
}

void ReplicationEntry::connect(Instant now, const ServerState &server)
{
    const auto found = connections_.find(server.name);
    const auto quota = quotas_.find(server.name);
    if (!servers_.contains(server.name) || quota == quotas_.end() || quota->second == 0) {
        return;
    }
    if (found == connections_.end() || found->second.startedAtMs != server.startedAtMs) {
        connections_[server.name] = { server.startedAtMs, now };
    }
}

void ReplicationEntry::disconnect(const std::string &server)
{
    connections_.erase(server);
}

void ReplicationEntry::onCommit(std::uint64_t number, const LogPoint &point)
{
    receipts_.await(number, point);
}

void ReplicationEntry::giveUp(std::uint64_t number)
{
    receipts_.remove(number);
}

std::vector<SessionId> ReplicationEntry::onStatus(Instant now, const ServerState &server)
{
    const auto connection = connections_.find(server.name);
    if (!isAsked(server.name) || connection == connections_.end()
        || connection->second.startedAtMs != server.startedAtMs
        || !receipts_.counts(now, connection->second.openedAt)) {
        return {};
    }
    return receipts_.takeReceived(server.received);
}

// A replica that drains is asked only if no other one is left.
bool ReplicationEntry::isAsked(const std::string &server) const
{
    const auto found = servers_.find(server);
    const bool hasStaying = std::any_of(servers_.begin(), servers_.end(),
        [this](const auto &known) { return known.first != primary_ && !known.second; });
    return server != primary_ && found != servers_.end() && (!found->second || !hasStaying);
}

bool ReplicationEntry::writesTo(const std::string &server) const
{
    const auto quota = quotas_.find(server);
    return !isWithdrawn_ && server == primary_ && quota != quotas_.end() && quota->second > 0;
}

bool ReplicationEntry::awaitsReceipts() const
{
    return !receipts_.isEmpty();
}

} // namespace daisyrelay
