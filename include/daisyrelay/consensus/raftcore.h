// The consensus algorithm of the control VMs, in the manner of Raft: it decides, its driver stores and sends.
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
    Candidate, ///< Asks for pre-votes or votes.
    Leader,
};

/// One control VM's part in the consensus; holds no clock, socket or file.
///
/// A VM that starts may not vote until it has been up for an election timeout and enough other voters have told it
/// that its disk holds what it promised them. A VM whose disk holds less takes a new incarnation; the leader then
/// lets it follow as a learner and counts it again once it has caught up.
class RaftCore
{
public:
    RaftCore(Instant now, RaftOptions options, StoredState stored);

    void tick(Instant now);

    /// Gives up leadership and does not ask for it again, since this VM is about to leave.
    void prepareToLeave(Instant now);

    void receive(Instant now, const RaftMessage &message);

    /// Appends \p command if this VM leads and its disk can be written. \returns the index it will have.
    std::optional<std::uint64_t> propose(Instant now, std::string command);

    /// Takes \p vm out of the membership, if this VM leads and no other change is pending. A leader does not remove
    /// itself. \returns whether the change was proposed.
    bool removeMember(Instant now, const VmId &vm);

    [[nodiscard]] RaftActions takeActions();

    /// Tells that the write of the last actions is synced.
    void onPersisted(Instant now);

    /// Tells that the write of the last actions failed. It is asked for again after RaftOptions::storageRetryInterval;
    /// until then nothing new is promised.
    void onPersistenceFailed(Instant now);

    /// Takes the state machine at \p index as the snapshot. An index that does not move forward is ignored.
    void compact(std::uint64_t index, std::string data);

    [[nodiscard]] RaftRole role() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] std::optional<VmId> leader() const;
    [[nodiscard]] std::uint64_t commitIndex() const;
    [[nodiscard]] const RaftLog &log() const;
    [[nodiscard]] std::uint64_t incarnation() const;

    /// Whether the disk refused the last write.
    [[nodiscard]] bool isStorageBlocked() const;

    /// Whether this VM counts for a quorum as far as it knows.
    [[nodiscard]] bool isVoter() const;

    /// Whether this VM leads, holds the leader lease, and has committed an entry of its own term, so that answers from
    /// its state are current. No other VM can be elected before the lease ends.
    [[nodiscard]] bool isConfirmedLeader(Instant now) const;

private:
    /// The most that a member was seen to have promised.
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
    std::uint64_t deliveredIndex_ = 0; ///< Given to the driver to apply.

    bool isPreVote_ = false; ///< Whether a candidate asks for pre-votes only.
    std::set<VmId> votes_;

    std::map<VmId, FollowerProgress> progress_;
    std::uint64_t lastRequestId_ = 0;
    std::string encodedSnapshot_; ///< What a leader sends; empty if not yet encoded.

    std::string incomingSnapshot_; ///< The part of a snapshot that has arrived.
    LogPoint incomingSnapshotPoint_;

    std::uint64_t bootNonce_ = 0;
    Instant nextHelloAt_ {};
    bool isEarlyElectionScheduled_ = false; ///< Whether the first election was brought forward.
    bool isStateConfirmed_ = false; ///< Whether enough voters know of no promise that the disk has lost.
    std::map<VmId, RaftMessage> helloResponses_;
    std::map<VmId, std::uint64_t> pendingMembers_; ///< Incarnations that asked to be members.
    std::map<VmId, ZoneId> zones_; ///< Where those that said hello run.
    std::map<VmId, AcknowledgedState> acknowledgedStates_;

    std::uint64_t persistedIndex_ = 0; ///< Synced up to this index.
    std::optional<std::uint64_t> truncateFrom_;
    bool isHardStateDirty_ = false;
    bool isSnapshotDirty_ = false;
    bool isWriting_ = false; ///< Between takeActions and onPersisted.
    bool isStorageBlocked_ = false;
    bool isLeaving_ = false;
    Instant storageBlockedSince_ {};
    Instant storageRetryAt_ {};
    bool isStorageRetryDue_ = false;

    struct OutgoingMessage {
        RaftMessage message;
        bool requiresSync = false; ///< Whether it must not leave before the pending write is synced.
    };

    std::vector<OutgoingMessage> outbox_;
    std::optional<std::string> snapshotToRestore_;
    bool isRejoinReported_ = true; ///< Whether the driver knows that a new incarnation was taken.
};

} // namespace daisyrelay
