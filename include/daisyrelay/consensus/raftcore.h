// The consensus algorithm of the control VMs, in the manner of Raft: it decides, its driver stores and sends.
#pragma once

#include "daisyrelay/storage.h"
#include "daisyrelay/wire.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace daisyrelay {

enum class RaftRole : std::uint8_t {
    Follower,
    Candidate,
    Leader,
};

struct RaftOptions {
    VmId self;
    std::vector<VmId> voters;
    std::uint64_t seed = 1; ///< Randomizes election timeouts.
    Duration heartbeat = std::chrono::milliseconds(50);
    Duration electionTimeout = std::chrono::milliseconds(300); ///< The shortest; the longest is twice this.
};

/// What the driver has to do, in this order: store and sync, send, apply.
struct RaftActions {
    std::optional<HardState> hardState;
    std::optional<std::uint64_t> truncateFrom; ///< Drop stored entries from this index on before appending.
    std::vector<LogEntry> append;
    std::vector<RaftMessage> messages;
    std::vector<LogEntry> committed;
};

/// One control VM's part in the consensus; holds no clock, socket or file.
class RaftCore
{
public:
    RaftCore(Instant now, RaftOptions options, HardState hardState, std::vector<LogEntry> log);

    void tick(Instant now);
    void receive(Instant now, const RaftMessage &message);

    /// Appends \p command if this VM leads. \returns the index it will have.
    std::optional<std::uint64_t> propose(Instant now, std::string command);

    [[nodiscard]] RaftActions takeActions();

    [[nodiscard]] RaftRole role() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] std::optional<VmId> leader() const;
    [[nodiscard]] std::uint64_t commitIndex() const;

    /// Whether this VM leads, has heard from a quorum within the shortest election timeout, and has committed an
    /// entry of its own term, so that answers from its state are current.
    [[nodiscard]] bool mayAnswer(Instant now) const;

private:
    struct Progress {
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        Instant heard {};
    };

    void becomeFollower(Instant now, Term term);
    void startElection(Instant now);
    void becomeLeader(Instant now);
    void onVote(Instant now, const RaftMessage &message);
    void onVoteAnswer(Instant now, const RaftMessage &message);
    void onAppend(Instant now, const RaftMessage &message);
    void onAppendAnswer(Instant now, const RaftMessage &message);
    void sendAppend(const VmId &to);
    void broadcast(Instant now);
    void advanceCommit();
    void setCommit(std::uint64_t index);
    void resetElectionTimer(Instant now);
    void saveHardState();
    void send(RaftMessage message, const VmId &to);
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] Term termAt(std::uint64_t index) const;
    [[nodiscard]] std::size_t quorum() const;

    RaftOptions options_;
    HardState hardState_;
    std::vector<LogEntry> log_;
    std::mt19937_64 random_;
    RaftRole role_ = RaftRole::Follower;
    std::optional<VmId> leader_;
    std::uint64_t commit_ = 0;
    Instant electionAt_;
    Instant heartbeatAt_;
    std::map<VmId, Progress> progress_;
    std::size_t votes_ = 0;
    RaftActions actions_;
};

} // namespace daisyrelay
