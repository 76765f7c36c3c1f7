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
    void retire(Instant now);

    void receive(Instant now, const RaftMessage &message);

    /// Appends \p command if this VM leads and its disk can be written. \returns the index it will have.
    std::optional<std::uint64_t> propose(Instant now, std::string command);

    /// Takes \p vm out of the membership, if this VM leads and no other change is pending. A leader does not remove
    /// itself. \returns whether the change was proposed.
    bool removeMember(Instant now, const VmId &vm);

    [[nodiscard]] RaftActions takeActions();

    /// Tells that the write of the last actions is synced.
    void onPersisted(Instant now);

    /// Tells that the write of the last actions failed. It is asked for again after RaftOptions::storageRetry; until
    /// then nothing new is promised.
    void onPersistFailed(Instant now);

    /// Takes the state machine at \p index as the snapshot. An index that does not move forward is ignored.
    void compact(std::uint64_t index, std::string data);

    [[nodiscard]] RaftRole role() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] std::optional<VmId> leader() const;
    [[nodiscard]] std::uint64_t commitIndex() const;
    [[nodiscard]] const RaftLog &log() const;
    [[nodiscard]] std::uint64_t incarnation() const;

    /// Whether the disk refused the last write.
    [[nodiscard]] bool isBlocked() const;

    /// Whether this VM counts for a quorum as far as it knows.
    [[nodiscard]] bool isVoter() const;

    /// Whether this VM leads, holds the leader lease, and has committed an entry of its own term, so that answers from
    /// its state are current. No other VM can be elected before the lease ends.
    [[nodiscard]] bool mayAnswer(Instant now) const;

private:
    /// The most that a member was seen to have promised.
    struct Mark {
        std::uint64_t incarnation = 0;
        Term term = 0;
        LogPoint log;
    };

    // election.cpp
    void startElection(Instant now, bool preVote);
    void countVotes(Instant now);
    void becomeFollower(Instant now, Term term);
    void becomeLeader(Instant now);
    void onVote(Instant now, const RaftMessage &message);
    void onVoteAnswer(Instant now, const RaftMessage &message);
    void resetElectionTimer(Instant now);
    [[nodiscard]] Duration drawDelay(Duration least, Duration extra);
    [[nodiscard]] bool followsLiveLeader(Instant now) const;
    [[nodiscard]] bool mayVote(Instant now) const;
    [[nodiscard]] bool nobodyLeads() const;
    void hastenFirstElection(Instant now);
    [[nodiscard]] Instant leaseUntil() const;

    // replication.cpp
    std::optional<std::uint64_t> appendOwn(Instant now, std::string command, LogEntryKind kind);
    void broadcast(Instant now);
    void sendAppend(Instant now, const VmId &to);
    void sendHeartbeat(Instant now, const VmId &to);
    void replicate(Instant now);
    void onAppend(Instant now, const RaftMessage &message);
    void takeEntries(const std::vector<LogEntry> &entries);
    void onAppendAnswer(Instant now, const RaftMessage &message);
    void acceptLeader(Instant now, const RaftMessage &message);
    FollowerProgress *progressOf(const RaftMessage &answer);
    void advanceCommit(Instant now);
    void setCommit(std::uint64_t index);

    // snapshottransfer.cpp
    void sendSnapshot(Instant now, const VmId &to);
    void onInstallSnapshot(Instant now, const RaftMessage &message);
    void onInstallSnapshotAnswer(Instant now, const RaftMessage &message);

    // rejoin.cpp
    void sendHello(Instant now);
    void onHello(Instant now, const RaftMessage &message);
    void onHelloAnswer(Instant now, const RaftMessage &message);
    void countVouchers(Instant now);
    [[nodiscard]] bool mayVouch(const RaftMessage &answer) const;
    void takeNewIncarnation(Instant now);
    void startGenesis(Instant now);
    void onMembershipChanged();
    void recordMark(const RaftMessage &message);
    [[nodiscard]] RaftStanding standing() const;

    // membershipchanges.cpp
    void maintainMembership(Instant now);
    bool admitMember(Membership &membership);
    bool seatLearner(Instant now, Membership &membership);
    bool dropSilentMember(Instant now, Membership &membership);
    [[nodiscard]] bool isSilent(Instant now, const Member &member, Duration limit) const;

    // raftcore.cpp
    void send(RaftMessage message, const VmId &to);
    [[nodiscard]] RaftWrite pendingWrite() const;
    [[nodiscard]] bool isPromise(const RaftMessage &message) const;
    [[nodiscard]] bool snapshotIsDue() const;
    [[nodiscard]] const Member *memberOf(const VmId &vm) const;
    [[nodiscard]] bool isVoter(const VmId &vm, std::uint64_t incarnation) const;
    [[nodiscard]] std::size_t quorum() const;
    [[nodiscard]] std::set<VmId> otherControlVms() const;

    RaftOptions options_;
    std::mt19937_64 random_;
    HardState hardState_;
    RaftLog log_;
    RaftRole role_ = RaftRole::Follower;
    std::optional<VmId> leader_;
    Instant startedAt_;
    Instant heardLeaderAt_ {};
    Instant electionAt_;
    Instant heartbeatAt_ {};
    Instant ledSince_ {};
    std::uint64_t commit_ = 0;
    std::uint64_t delivered_ = 0; ///< Given to the driver to apply.

    bool preVote_ = false; ///< Whether a candidate asks for pre-votes only.
    std::set<VmId> votes_;

    std::map<VmId, FollowerProgress> progress_;
    std::uint64_t round_ = 0;
    std::string encodedSnapshot_; ///< What a leader sends; empty if not yet encoded.

    std::string incoming_; ///< The part of a snapshot that has arrived.
    LogPoint incomingPoint_;

    std::uint64_t bootNonce_ = 0;
    Instant helloAt_ {};
    bool hastened_ = false; ///< Whether the first election was brought forward.
    bool vouched_ = false; ///< Whether enough voters know of no promise that the disk has lost.
    std::map<VmId, RaftMessage> helloAnswers_;
    std::map<VmId, std::uint64_t> rejoining_; ///< Incarnations that asked to be members.
    std::map<VmId, ZoneId> zones_; ///< Where those that said hello run.
    std::map<VmId, Mark> marks_;

    std::uint64_t persisted_ = 0; ///< Synced up to this index.
    std::optional<std::uint64_t> truncateFrom_;
    bool hardStateDirty_ = false;
    bool snapshotDirty_ = false;
    bool writing_ = false; ///< Between takeActions and onPersisted.
    bool blocked_ = false;
    bool retired_ = false;
    Instant blockedSince_ {};
    Instant retryAt_ {};
    bool retryDue_ = false;

    struct Outgoing {
        RaftMessage message;
        bool promise = false; ///< Whether it must not leave before the pending write is synced.
    };

    std::vector<Outgoing> outbox_;
    std::optional<std::string> restore_;
    bool rejoinReported_ = true; ///< Whether the driver knows that a new incarnation was taken.
};

} // namespace daisyrelay
