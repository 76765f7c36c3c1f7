#include "daisyrelay/consensus/raftcore.h"

#include <algorithm>
#include <functional>

namespace daisyrelay {

RaftCore::RaftCore(Instant now, RaftOptions options, HardState hardState, std::vector<LogEntry> log)
    : options_(std::move(options)), hardState_(std::move(hardState)), log_(std::move(log)), random_(options_.seed)
{
    resetElectionTimer(now);
}

void RaftCore::tick(Instant now)
{
    if (role_ == RaftRole::Leader) {
        if (now >= heartbeatAt_) {
            broadcast(now);
        }
        return;
    }
    if (now >= electionAt_) {
        startElection(now);
    }
}

void RaftCore::receive(Instant now, const RaftMessage &message)
{
    if (message.term > hardState_.term) {
        becomeFollower(now, message.term);
    }
    switch (message.kind) {
    case RaftMessageKind::Vote:
        onVote(now, message);
        break;
    case RaftMessageKind::VoteAnswer:
        onVoteAnswer(now, message);
        break;
    case RaftMessageKind::Append:
        onAppend(now, message);
        break;
    case RaftMessageKind::AppendAnswer:
        onAppendAnswer(now, message);
        break;
    default:
        break;
    }
}

std::optional<std::uint64_t> RaftCore::propose(Instant now, std::string command)
{
    if (role_ != RaftRole::Leader) {
        return std::nullopt;
    }
    log_.push_back({ hardState_.term, lastIndex() + 1, std::move(command) });
    actions_.append.push_back(log_.back());
    broadcast(now);
    advanceCommit();
    return lastIndex();
}

RaftActions RaftCore::takeActions()
{
    return std::exchange(actions_, {});
}

RaftRole RaftCore::role() const
{
    return role_;
}

Term RaftCore::term() const
{
    return hardState_.term;
}

std::optional<VmId> RaftCore::leader() const
{
    return leader_;
}

std::uint64_t RaftCore::commitIndex() const
{
    return commit_;
}

bool RaftCore::mayAnswer(Instant now) const
{
    if (role_ != RaftRole::Leader || commit_ == 0 || termAt(commit_) != hardState_.term) {
        return false;
    }
    std::size_t recent = 1;
    for (const auto &[vm, progress] : progress_) {
        if (progress.heard + options_.electionTimeout > now) {
            ++recent;
        }
    }
    return recent >= quorum();
}

void RaftCore::becomeFollower(Instant now, Term term)
{
    role_ = RaftRole::Follower;
    leader_.reset();
    if (term > hardState_.term) {
        hardState_ = { term, "" };
        saveHardState();
    }
    resetElectionTimer(now);
}

void RaftCore::startElection(Instant now)
{
    role_ = RaftRole::Candidate;
    leader_.reset();
    hardState_ = { hardState_.term + 1, options_.self.value };
    saveHardState();
    votes_ = 1;
    resetElectionTimer(now);
    for (const VmId &voter : options_.voters) {
        RaftMessage message;
        message.kind = RaftMessageKind::Vote;
        message.lastIndex = lastIndex();
        message.lastTerm = termAt(lastIndex());
        send(std::move(message), voter);
    }
    if (votes_ >= quorum()) {
        becomeLeader(now);
    }
}

void RaftCore::becomeLeader(Instant now)
{
    role_ = RaftRole::Leader;
    leader_ = options_.self;
    progress_.clear();
    for (const VmId &voter : options_.voters) {
        if (voter != options_.self) {
            progress_[voter] = { lastIndex() + 1, 0, {} };
        }
    }
    // An entry of the new term lets the leader commit what earlier terms left behind.
    propose(now, "");
}

void RaftCore::onVote(Instant now, const RaftMessage &message)
{
    const bool upToDate = message.lastTerm > termAt(lastIndex())
        || (message.lastTerm == termAt(lastIndex()) && message.lastIndex >= lastIndex());
    const bool free = hardState_.votedFor.empty() || hardState_.votedFor == message.from.value;
    RaftMessage answer;
    answer.kind = RaftMessageKind::VoteAnswer;
    answer.granted = message.term == hardState_.term && role_ == RaftRole::Follower && upToDate && free;
    if (answer.granted) {
        hardState_.votedFor = message.from.value;
        saveHardState();
        resetElectionTimer(now);
    }
    send(std::move(answer), message.from);
}

void RaftCore::onVoteAnswer(Instant now, const RaftMessage &message)
{
    if (role_ != RaftRole::Candidate || message.term != hardState_.term || !message.granted) {
        return;
    }
    ++votes_;
    if (votes_ >= quorum()) {
        becomeLeader(now);
    }
}

void RaftCore::onAppend(Instant now, const RaftMessage &message)
{
    RaftMessage answer;
    answer.kind = RaftMessageKind::AppendAnswer;
    if (message.term < hardState_.term) {
        send(std::move(answer), message.from);
        return;
    }
    role_ = RaftRole::Follower;
    leader_ = message.from;
    resetElectionTimer(now);
    if (message.lastIndex > lastIndex() || termAt(message.lastIndex) != message.lastTerm) {
        answer.lastIndex = std::min(lastIndex(), message.lastIndex - 1);
        send(std::move(answer), message.from);
        return;
    }
    for (const LogEntry &entry : message.entries) {
        if (entry.index <= lastIndex() && termAt(entry.index) != entry.term) {
            log_.resize(entry.index - 1);
            actions_.truncateFrom = std::min(actions_.truncateFrom.value_or(entry.index), entry.index);
            std::erase_if(actions_.append, [&entry](const LogEntry &old) { return old.index >= entry.index; });
        }
        if (entry.index > lastIndex()) {
            log_.push_back(entry);
            actions_.append.push_back(entry);
        }
    }
    answer.granted = true;
    answer.lastIndex = message.lastIndex + message.entries.size();
    setCommit(std::min(message.commit, answer.lastIndex));
    send(std::move(answer), message.from);
}

void RaftCore::onAppendAnswer(Instant now, const RaftMessage &message)
{
    const auto found = progress_.find(message.from);
    if (role_ != RaftRole::Leader || message.term != hardState_.term || found == progress_.end()) {
        return;
    }
    Progress &progress = found->second;
    progress.heard = now;
    if (!message.granted) {
        progress.next = std::clamp<std::uint64_t>(message.lastIndex + 1, 1, lastIndex() + 1);
        sendAppend(message.from);
        return;
    }
    progress.match = std::max(progress.match, message.lastIndex);
    progress.next = progress.match + 1;
    advanceCommit();
    if (progress.next <= lastIndex()) {
        sendAppend(message.from);
    }
}

void RaftCore::sendAppend(const VmId &to)
{
    constexpr std::uint64_t MostEntries = 64;
    const Progress &progress = progress_.at(to);
    RaftMessage message;
    message.kind = RaftMessageKind::Append;
    message.lastIndex = progress.next - 1;
    message.lastTerm = termAt(message.lastIndex);
    message.commit = commit_;
    const std::uint64_t end = std::min(lastIndex(), message.lastIndex + MostEntries);
    for (std::uint64_t index = progress.next; index <= end; ++index) {
        message.entries.push_back(log_[index - 1]);
    }
    send(std::move(message), to);
}

void RaftCore::broadcast(Instant now)
{
    heartbeatAt_ = now + options_.heartbeat;
    for (const auto &[vm, progress] : progress_) {
        sendAppend(vm);
    }
}

void RaftCore::advanceCommit()
{
    std::vector<std::uint64_t> matches { lastIndex() };
    for (const auto &[vm, progress] : progress_) {
        matches.push_back(progress.match);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t index = matches[quorum() - 1];
    if (index > commit_ && termAt(index) == hardState_.term) {
        setCommit(index);
    }
}

void RaftCore::setCommit(std::uint64_t index)
{
    for (; commit_ < index; ++commit_) {
        actions_.committed.push_back(log_[commit_]);
    }
}

void RaftCore::resetElectionTimer(Instant now)
{
    std::uniform_int_distribution<Duration::rep> extra(0, options_.electionTimeout.count());
    electionAt_ = now + options_.electionTimeout + Duration(extra(random_));
}

void RaftCore::saveHardState()
{
    actions_.hardState = hardState_;
}

void RaftCore::send(RaftMessage message, const VmId &to)
{
    if (to == options_.self) {
        return;
    }
    message.from = options_.self;
    message.to = to;
    message.term = hardState_.term;
    actions_.messages.push_back(std::move(message));
}

std::uint64_t RaftCore::lastIndex() const
{
    return log_.size();
}

Term RaftCore::termAt(std::uint64_t index) const
{
    return index == 0 || index > log_.size() ? 0 : log_[index - 1].term;
}

std::size_t RaftCore::quorum() const
{
    return options_.voters.size() / 2 + 1;
}

} // namespace daisyrelay
