// An entry of the replication simulation: it acknowledges a commit once CommitReceipts permits.
#pragma once

#include "daisyrelay/proxy.h"
#include "daisyrelay/supervision.h"

#include <map>
#include <set>

namespace daisyrelay {

class ReplicationEntry
{
public:
    /// What one server process tells about itself.
    struct ServerState {
        std::string name;
        std::int64_t startedAtMs = 0;
        LogPoint received;
    };

    explicit ReplicationEntry(int zone);

    /// Records that report \p sequence is being sent to control.
    void recordReport(Instant now, std::uint64_t sequence);

    /// Applies an update of control, which had recorded \p servers and \p primary when it made it.
    void onUpdate(const EntryUpdate &update, std::set<std::string> servers, const std::string &primary);

    /// Opens a connection to the running process of \p server, unless there is one or the server is unknown.
    void connect(Instant now, const ServerState &server);
    void disconnect(const std::string &server);

    /// Called when the primary has acknowledged commit \p number at \p point to this entry.
    void onCommit(std::uint64_t number, const LogPoint &point);

    /// Handles the response of the process \p server to a request for its position. \returns the commits that may be
    /// acknowledged to callers.
    std::vector<SessionId> onStatus(Instant now, const ServerState &server);

    /// Tells whether the entry sends writes to \p server.
    [[nodiscard]] bool writesTo(const std::string &server) const;
    [[nodiscard]] bool awaitsReceipts() const;

    const int zone;
    bool reachesControl = true;
    Instant suspendedUntil {};

private:
    struct Connection {
        std::int64_t startedAtMs = 0;
        Instant openedAt {};
    };

    CommitReceipts receipts_ { ProxyTiming().maxReplicaRecordAge };
    SentReports sentReports_;
    std::string primary_;
    std::set<std::string> servers_;
    bool isWithdrawn_ = true;
    std::map<std::string, Connection> connections_;
};

} // namespace daisyrelay
