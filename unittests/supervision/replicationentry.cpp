#include "replicationentry.h"

namespace daisyrelay {

ReplicationEntry::ReplicationEntry(int ownZone) : zone(ownZone)
{
}

void ReplicationEntry::recordReport(Instant now, std::uint64_t sequence)
{
    sentReports_.record(now, sequence);
}

void ReplicationEntry::onUpdate(const EntryUpdate &update, std::set<std::string> servers, const std::string &primary)
{
    servers_ = std::move(servers);
    std::erase_if(connections_, [this](const auto &connection) { return !servers_.contains(connection.first); });
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
    if (!servers_.contains(server.name)) {
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

std::vector<SessionId> ReplicationEntry::onStatus(Instant now, const ServerState &server)
{
    const auto connection = connections_.find(server.name);
    if (server.name == primary_ || !servers_.contains(server.name) || connection == connections_.end()
        || connection->second.startedAtMs != server.startedAtMs
        || !receipts_.counts(now, connection->second.openedAt)) {
        return {};
    }
    return receipts_.takeReceived(server.received);
}

bool ReplicationEntry::writesTo(const std::string &server) const
{
    return !isWithdrawn_ && server == primary_;
}

bool ReplicationEntry::awaitsReceipts() const
{
    return !receipts_.isEmpty();
}

} // namespace daisyrelay
