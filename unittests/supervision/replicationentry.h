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

    /// Fills in and records the report that is being sent to control.
    void sendReport(Instant now, EntryReport &report);

    /// Applies an update of control, which had recorded \p servers and \p primary when it made it.
    /// \p servers tells of each server whether it drains.
    void onUpdate(const EntryUpdate &update, std::map<std::string, bool> servers, const std::string &primary);

    /// Opens a connection to the running process of \p server if there is none and the quota permits it.
    void connect(Instant now, const ServerState &server);
    void disconnect(const std::string &server);

    /// Called when the primary has acknowledged commit \p number at \p point to this entry.
    void onCommit(std::uint64_t number, const LogPoint &point);

    /// Called at the timeout of commit \p number, which is in doubt then.
    void giveUp(std::uint64_t number);

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
    [[nodiscard]] bool isAsked(const std::string &server) const;

    struct Connection {
        std::int64_t startedAtMs = 0;
        Instant openedAt {};
    };

    CommitReceipts receipts_ { ProxyTiming().maxReplicaRecordAge };
    SentReports sentReports_;
    std::string primary_;
    std::map<std::string, bool> servers_; ///< Whether each known server drains.
    bool isWithdrawn_ = true;
    std::map<std::string, std::uint32_t> quotas_;
    std::uint64_t homesVersion_ = 0;
    std::map<std::string, Connection> connections_;
};

} // namespace daisyrelay
