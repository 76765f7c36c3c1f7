#include "daisyrelay/consensus/raftlog.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace daisyrelay {

RaftLog::RaftLog(RaftSnapshot snapshot, std::vector<LogEntry> entries)
    : snapshot_(std::move(snapshot))
    , baseIndex_(snapshot_.index)
    , baseTerm_(snapshot_.term)
    , membership_(snapshot_.membership)
    , membershipIndex_(snapshot_.index)
{
    for (LogEntry &entry : entries) {
        append(std::move(entry));
    }
}

void RaftLog::append(LogEntry entry)
{
    assert(entry.index == lastIndex() + 1 && "entries must follow each other");
    bytesAfterSnapshot_ += entry.command.size();
    entries_.push_back(std::move(entry));
    if (entries_.back().kind == LogEntryKind::Membership) {
        updateMembership();
    }
}

void RaftLog::truncateFrom(std::uint64_t index)
{
    assert(index > snapshot_.index && "what a snapshot stands for is committed");
    while (lastIndex() >= index) {
        bytesAfterSnapshot_ -= entries_.back().command.size();
        entries_.pop_back();
    }
    updateMembership();
}

void RaftLog::compact(std::uint64_t index, std::string data, std::size_t retainedEntries)
{
    assert(index >= snapshot_.index && index <= lastIndex() && "only entries held can be compacted");
    Membership membership = membershipAt(index);
    snapshot_ = { index, *termAt(index), std::move(membership), std::move(data) };
    while (baseIndex_ + retainedEntries < index) {
        baseIndex_ = entries_.front().index;
        baseTerm_ = entries_.front().term;
        entries_.pop_front();
    }
    bytesAfterSnapshot_ = 0;
    for (std::uint64_t after = index + 1; after <= lastIndex(); ++after) {
        bytesAfterSnapshot_ += at(after).command.size();
    }
    updateMembership();
}

void RaftLog::installSnapshot(RaftSnapshot snapshot)
{
    std::vector<LogEntry> remainingEntries;
    if (termAt(snapshot.index) == snapshot.term) {
        const auto first = std::find_if(entries_.begin(), entries_.end(),
            [&snapshot](const LogEntry &entry) { return entry.index > snapshot.index; });
        remainingEntries.assign(first, entries_.end());
    }
    *this = RaftLog(std::move(snapshot), std::move(remainingEntries));
}

std::optional<Term> RaftLog::termAt(std::uint64_t index) const
{
    if (index == baseIndex_) {
        return baseTerm_;
    }
    return index < baseIndex_ || index > lastIndex() ? std::nullopt : std::optional(at(index).term);
}

std::vector<LogEntry> RaftLog::slice(std::uint64_t from, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (std::uint64_t index = from; index <= lastIndex() && result.size() < maxEntries; ++index) {
        bytes += at(index).command.size();
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(at(index));
    }
    return result;
}

const LogEntry &RaftLog::at(std::uint64_t index) const
{
    assert(index > baseIndex_ && index <= lastIndex() && "the entry must be held");
    return entries_[index - baseIndex_ - 1];
}

std::uint64_t RaftLog::firstIndex() const
{
    return baseIndex_ + 1;
}

std::uint64_t RaftLog::lastIndex() const
{
    return baseIndex_ + entries_.size();
}

LogPoint RaftLog::lastPoint() const
{
    return { entries_.empty() ? baseTerm_ : entries_.back().term, lastIndex() };
}

const RaftSnapshot &RaftLog::snapshot() const
{
    return snapshot_;
}

std::size_t RaftLog::bytesAfterSnapshot() const
{
    return bytesAfterSnapshot_;
}

const Membership &RaftLog::membership() const
{
    return membership_;
}

std::uint64_t RaftLog::membershipIndex() const
{
    return membershipIndex_;
}

// Returns the last membership entry up to an index, if one is held after the snapshot.
static const LogEntry *findLastMembershipEntry(
    const std::deque<LogEntry> &entries, std::uint64_t after, std::uint64_t upTo)
{
    const auto found = std::find_if(entries.rbegin(), entries.rend(),
        [upTo](const LogEntry &entry) { return entry.index <= upTo && entry.kind == LogEntryKind::Membership; });
    return found == entries.rend() || found->index <= after ? nullptr : &*found;
}

Membership RaftLog::membershipAt(std::uint64_t index) const
{
    const LogEntry *entry = findLastMembershipEntry(entries_, snapshot_.index, index);
    return entry == nullptr ? snapshot_.membership : decodeMembership(entry->command).value_or(snapshot_.membership);
}

void RaftLog::updateMembership()
{
    const LogEntry *entry = findLastMembershipEntry(entries_, snapshot_.index, lastIndex());
    membershipIndex_ = entry == nullptr ? snapshot_.index : entry->index;
    membership_ = membershipAt(lastIndex());
}

} // namespace daisyrelay
