// Raft-based consensus algorithm of the control VMs. The core only decides; its driver performs storage and network
// I/O.
#pragma once

#include "daisyrelay/consensus/followerprogress.h"
#include "daisyrelay/consensus/raftactions.h"
#include "daisyrelay/consensus/raftlog.h"
#include "daisyrelay/consensus/raftoptions.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace daisyrelay {

enum class RaftRole : std::uint8_t {
    Follower,
    Candidate, ///< Requests pre-votes or votes.
    Leader,
};

/// Consensus state machine of one control VM. Uses no clock, socket or file of its own.
///
/// After a start, a VM does not vote until it has been up for an election timeout and enough other voters have
/// confirmed that its disk holds all state that it acknowledged to them. A VM whose disk lacks acknowledged state
/// starts a new incarnation. The leader then admits it as a learner and makes it a voter again once its log has caught
/// up.
class RaftCore
{
public:
    RaftCore(Instant now, RaftOptions options, StoredState stored);

    /// Advances timers. The driver calls it periodically, and never between takeActions and the report of its write.
    void tick(Instant now);

    /// Steps down and starts no further election, because this VM is about to leave.
    void prepareToLeave(Instant now);

    /// Handles a message of another control VM.
    void receive(Instant now, const RaftMessage &message);

    /// Appends \p command to the log. \returns its index, or no value if this VM is not the leader, its disk cannot be
    /// written or a limit of RaftOptions is reached.
    std::optional<std::uint64_t> propose(Instant now, std::string command);

    /// Proposes the removal of \p vm from the membership. Only a leader without a pending membership change does so,
    /// and never removes itself. \returns whether the change was proposed.
    bool removeMember(Instant now, const VmId &vm);

    /// Returns the pending actions and clears them.
    [[nodiscard]] RaftActions takeActions();

    /// Reports that the write of the last actions is synced.
    void onPersisted(Instant now);

    /// Reports that the write of the last actions failed. The write is requested again after
    /// RaftOptions::storageRetryInterval; until then the core acknowledges no new state.
    void onPersistenceFailed(Instant now);

    /// Replaces the snapshot with \p data, the encoded state machine at \p index. Ignored unless \p index is after the
    /// current snapshot and already delivered.
    void compact(std::uint64_t index, std::string data);

    /// Asks for a snapshot of all entries delivered so far, instead of waiting until the log has grown.
    void requestSnapshot();

    [[nodiscard]] RaftRole role() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] std::optional<VmId> leader() const;
    [[nodiscard]] std::uint64_t commitIndex() const;
    [[nodiscard]] const RaftLog &log() const;
    [[nodiscard]] std::uint64_t incarnation() const;

    /// Whether the last write failed.
    [[nodiscard]] bool isStorageBlocked() const;

    /// Whether this VM is a voter in the latest membership of its own log.
    [[nodiscard]] bool isVoter() const;

    /// Whether this VM is the leader, holds the leader lease and has committed an entry of its own term, so that
    /// responses from its state are current. No other VM can be elected before the lease expires.
    [[nodiscard]] bool isConfirmedLeader(Instant now) const;

private:
    /// Highest state that another member is known to have acknowledged.
    struct AcknowledgedState {
        std::uint64_t incarnation = 0;
        Term term = 0;
        LogPoint lastEntry;
    };

    // election.cpp
    void startElection(Instant now, bool isPreVote);
    void countVotes(Instant now);
    void becomeFollower(Instant now, Term term);
    void becomeLeader(Instant now);
    void onVoteRequest(Instant now, const RaftMessage &message);
    void onVoteResponse(Instant now, const RaftMessage &message);
    void resetElectionTimer(Instant now);
    [[nodiscard]] Duration randomDelay(Duration minDelay, Duration maxExtraDelay);
    [[nodiscard]] bool hasLiveLeader(Instant now) const;
    [[nodiscard]] bool canVote(Instant now) const;
    [[nodiscard]] bool allVotersReportNoLeader() const;
    void scheduleEarlyElection(Instant now);
    [[nodiscard]] Instant leaseExpiresAt() const;

    // replication.cpp
    std::optional<std::uint64_t> appendAsLeader(Instant now, std::string command, LogEntryKind kind);
    void broadcastHeartbeat(Instant now);
    void sendAppend(Instant now, const VmId &to);
    void sendHeartbeat(Instant now, const VmId &to);
    void replicateLog(Instant now);
    void onAppendRequest(Instant now, const RaftMessage &message);
    void mergeEntries(const std::vector<LogEntry> &entries);
    void onAppendResponse(Instant now, const RaftMessage &message);
    void followLeader(Instant now, const RaftMessage &message);
    FollowerProgress *progressOf(const RaftMessage &response);
    void advanceCommitIndex(Instant now);
    void raiseCommitIndex(std::uint64_t index);

    // snapshottransfer.cpp
    void sendSnapshotChunk(Instant now, const VmId &to);
    void onInstallSnapshot(Instant now, const RaftMessage &message);
    void onInstallSnapshotResponse(Instant now, const RaftMessage &message);

    // rejoin.cpp
    void sendHello(Instant now);
    void onHello(Instant now, const RaftMessage &message);
    void onHelloResponse(Instant now, const RaftMessage &message);
    void recordReportedVms(const RaftMessage &message);
    void countStateConfirmations(Instant now);
    [[nodiscard]] bool canConfirmState(const RaftMessage &response) const;
    void startNewIncarnation(Instant now);
    void bootstrapMembership(Instant now);
    void onMembershipChanged();
    void recordAcknowledgedState(const RaftMessage &message);
    [[nodiscard]] RaftDataStatus dataStatus() const;

    // membershipchanges.cpp
    void maintainMembership(Instant now);
    bool admitPendingMember(Membership &membership);
    bool promoteLearner(Instant now, Membership &membership);
    bool removeUnresponsiveMember(Instant now, Membership &membership);
    [[nodiscard]] bool isUnresponsive(Instant now, const Member &member, Duration timeout) const;

    // raftcore.cpp
    void queueMessage(RaftMessage message, const VmId &to);
    [[nodiscard]] RaftWrite pendingWrite() const;
    [[nodiscard]] bool mustWaitForSync(const RaftMessage &message) const;
    [[nodiscard]] bool isSnapshotDue() const;
    [[nodiscard]] const Member *findMember(const VmId &vm) const;
    [[nodiscard]] bool isVoter(const VmId &vm, std::uint64_t incarnation) const;
    [[nodiscard]] std::size_t quorumSize() const;
    [[nodiscard]] std::set<VmId> otherControlVms() const;

    RaftOptions options_;
    std::mt19937_64 random_;
    HardState hardState_;
    RaftLog log_;
    RaftRole role_ = RaftRole::Follower;
    std::optional<VmId> leader_;
    Instant startedAt_;
    Instant lastLeaderContactAt_ {};
    Instant electionDueAt_;
    Instant nextHeartbeatAt_ {};
    Instant leaderSince_ {};
    std::uint64_t commitIndex_ = 0;
    bool isSnapshotRequested_ = false;
    std::uint64_t deliveredIndex_ = 0; ///< Highest index whose entry was passed to the driver.

    bool isPreVote_ = false; ///< Whether a candidate requests pre-votes instead of votes.
    std::set<VmId> votes_; ///< VMs that granted a vote or pre-vote to this candidate.

    std::map<VmId, FollowerProgress> progress_; ///< Replication state of the other members; used by a leader only.
    std::uint64_t lastRequestId_ = 0;
    std::string encodedSnapshot_; ///< Snapshot in the form in which a leader sends it; empty if not yet encoded.

    std::string incomingSnapshot_; ///< Received part of a leader's snapshot.
    LogPoint incomingSnapshotPoint_; ///< Last term and index of the snapshot being received.

    std::uint64_t bootNonce_ = 0; ///< Request id of this start's Hello messages; rejects responses to an earlier start.
    Instant nextHelloAt_ {};
    bool isEarlyElectionScheduled_ = false; ///< Whether the first election after the start was brought forward.
    bool isStateConfirmed_ = false; ///< Whether enough voters confirmed that the disk lacks no acknowledged state.
    std::map<VmId, RaftMessage> helloResponses_;
    std::set<VmId> reportedVms_; ///< Members that HelloResponse named; they get Hello too.
    std::map<VmId, std::uint64_t> pendingMembers_; ///< Incarnations that requested membership.
    std::map<VmId, ZoneId> zones_; ///< Availability zones of the VMs that sent Hello.
    std::map<VmId, AcknowledgedState> acknowledgedStates_;

    std::uint64_t persistedIndex_ = 0; ///< Highest index that is synced.
    std::optional<std::uint64_t> truncateFrom_; ///< Synced entries from this index on are replaced by the next write.
    bool isHardStateDirty_ = false;
    bool isSnapshotDirty_ = false;
    bool isWriting_ = false; ///< Whether a write was taken and its outcome is not yet reported.
    bool isStorageBlocked_ = false;
    bool isLeaving_ = false; ///< Whether this VM starts no further election.
    Instant storageBlockedSince_ {};
    Instant storageRetryAt_ {};
    bool isStorageRetryDue_ = false;

    struct OutgoingMessage {
        RaftMessage message;
        bool requiresSync = false; ///< Whether the message must not be sent before the pending write is synced.
    };

    std::vector<OutgoingMessage> outbox_;
    std::optional<std::string> snapshotToRestore_;
    bool isRejoinReported_ = true; ///< Whether the new incarnation was reported to the driver.
};

} // namespace daisyrelay
