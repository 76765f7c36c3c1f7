// The decisions of the control leader: who holds a lease, which database may acknowledge writes, and which
// configuration is in force. On other control VMs the core only applies the log.
#pragma once

#include "daisyrelay/control/controlactions.h"
#include "daisyrelay/control/controlstate.h"
#include "daisyrelay/control/controltiming.h"
#include "daisyrelay/control/entrysessions.h"
#include "daisyrelay/control/failuredetector.h"
#include "daisyrelay/control/groupfailover.h"
#include "daisyrelay/control/groupmembermanager.h"
#include "daisyrelay/control/homeassigner.h"
#include "daisyrelay/control/knownbackends.h"
#include "daisyrelay/control/leasetables.h"

#include <map>
#include <optional>
#include <set>

namespace daisyrelay {

/// A state machine without clock, sockets or files; the driver passes the time in and carries out the actions.
class ControlCore
{
public:
    explicit ControlCore(VmId self, ControlTiming timing = {});

    /// Sets whether this VM is the leader and may respond, and its consensus term. Must be called with the current time
    /// before any other input, because the process may have been suspended in between.
    void onLeadership(Instant now, bool isLeader, Term leaderTerm);

    void onCommitted(Instant now, const LogEntry &entry);

    /// Replaces the replicated state with that of a snapshot. \returns an error if \p bytes are damaged.
    Expected<void> restoreSnapshot(Instant now, std::string_view bytes);

    /// Returns the replicated state including all entries committed so far.
    [[nodiscard]] std::string encodeSnapshot() const;

    void onLeaseRequest(Instant now, const LeaseRequest &request);
    void onAnnouncement(Instant now, const BackendAnnouncement &announcement);
    void onConfigChange(Instant now, const VmId &from, const ConfigChangeRequest &request);
    void onPositionQueryResult(Instant now, const PositionQueryResult &result);

    /// Handles the result of a PromoteBackend. \p point is empty if the promotion failed.
    void onPromotionResult(Instant now, const BackendId &backend, Term term, std::optional<LogPoint> point);

    void tick(Instant now);

    [[nodiscard]] std::vector<ControlAction> takeActions();

    [[nodiscard]] const ControlState &state() const;

    /// Returns the entries with a live lease and the configuration version that each has in force.
    [[nodiscard]] std::map<VmId, std::uint64_t> liveEntries(Instant now) const;

    /// Returns the stage of each running failover.
    [[nodiscard]] std::map<GroupKey, FailoverStage> failovers() const;

    /// Returns the homes that the current table grants.
    [[nodiscard]] std::vector<HomeGrant> homes() const;

private:
    /// The reason why a position was queried.
    enum class QueryPurpose : std::uint8_t {
        Probe,
        Survey,
        CatchUpPoint, ///< Determines the position that a member must reach to complete a change of members.
    };

    struct PendingQuery {
        QueryPurpose purpose = QueryPurpose::Probe;
        BackendId backend;
        GroupKey group;
    };

    struct PendingChange {
        Instant proposedAt {};
        std::map<VmId, std::uint64_t> requesters; ///< Request id of each VM that waits for the response.
    };

    void startLeading(Instant now, Term leaderTerm);
    void resumeLeading();
    void applyChange(const ConfigChange &change, std::uint64_t logIndex);
    void respondToChange(const VmId &to, std::uint64_t requestId, const ConfigOutcome &outcome);
    void monitorGroup(Instant now, const GroupKey &group);
    void monitorPrimary(Instant now, const GroupTerm &term, const GroupMembers &members);
    void startFailover(Instant now, const GroupKey &group, bool isPlanned);
    void advanceFailover(Instant now, const GroupKey &group, GroupFailover &failover);
    void followPrimary(Instant now, const GroupTerm &term);
    void assignHomes(Instant now);
    void removeExpiredEntries(Instant now);
    void queryPosition(QueryPurpose purpose, const GroupKey &group, const BackendId &backend);
    void propose(ControlCommand command);
    void updateTerms();
    void pushTable(Instant now);
    void grant(const VmId &to, std::uint64_t nonce);
    [[nodiscard]] PrimaryEvidence evidenceFor(Instant now, const GroupTerm &term) const;
    [[nodiscard]] bool canHandOver(Instant now, const GroupTerm &term, const GroupMembers &members) const;

    VmId self_;
    ControlTiming timing_;
    ControlState state_;
    bool isLeader_ = false;
    EntrySessions sessions_;
    LeaseTables tables_;
    KnownBackends backends_;
    HomeAssigner homes_;
    FailureDetector detector_;
    GroupMemberManager memberManager_;
    std::map<GroupKey, GroupFailover> failovers_;
    std::map<GroupKey, Instant> handoverRetryAt_;
    std::map<std::uint64_t, PendingQuery> pendingQueries_;
    std::uint64_t nextQueryId_ = 1;
    std::map<std::string, PendingChange> pendingChanges_;
    std::map<VmId, Instant> registrationProposedAt_; ///< Last proposal to register or remove an entry.
    std::set<VmId> entriesBeingRemoved_; ///< Entries whose removal is proposed; they get no lease.
    std::set<BackendId> suspectBackends_; ///< Databases reported as failing by an entry with a live lease.
    std::uint64_t pushedVersion_ = 0;
    bool sharesMayChange_ = true;
    Instant sharesCheckedAt_ {};
    std::vector<ControlAction> actions_;
};

} // namespace daisyrelay
