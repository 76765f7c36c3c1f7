#include "daisyrelay/control/controlstate.h"

namespace daisyrelay {

static constexpr std::size_t MaxRememberedChanges = 10000;
static constexpr std::size_t MaxHistoryEntries = 200;
static constexpr std::size_t MaxSummaryBytes = 512;

ConfigOutcome ControlState::apply(const ConfigChange &change, std::uint64_t logIndex)
{
    if (const auto known = outcomes_.find(change.changeId); known != outcomes_.end()) {
        return known->second;
    }
    ConfigOutcome outcome { false, ErrorKind::VersionConflict, configVersion_ };
    if (change.expectedVersion == configVersion_) {
        ++configVersion_;
        configJson_ = change.configJson;
        outcome = { true, ErrorKind::Internal, configVersion_ };
        history_.push_back({ configVersion_, change.changeId, logIndex, change.receivedBy,
            change.summary.substr(0, MaxSummaryBytes) });
        if (history_.size() > MaxHistoryEntries) {
            history_.pop_front();
        }
    }
    recordOutcome(change, outcome);
    return outcome;
}

void ControlState::recordOutcome(const ConfigChange &change, const ConfigOutcome &outcome)
{
    outcomes_.emplace(change.changeId, outcome);
    std::deque<std::string> &order = outcome.isAccepted ? acceptedOrder_ : rejectedOrder_;
    order.push_back(change.changeId);
    if (order.size() > MaxRememberedChanges) {
        outcomes_.erase(order.front());
        order.pop_front();
    }
}

bool ControlState::apply(const GroupTermCommand &command)
{
    const GroupTerm &next = command.term;
    GroupTerm &known = terms_[next.group];
    const bool isNewer = next.term > known.term || (next.term == known.term && known.primary.empty());
    if (!isNewer) {
        return false;
    }
    known.group = next.group;
    known.term = next.term;
    known.primary = next.primary;
    known.startPosition = next.startPosition;
    if (!next.primary.empty()) {
        known.starts.push_back({ next.term, next.startPosition });
        if (known.starts.size() > MaxTermStarts) {
            known.starts.erase(known.starts.begin());
        }
    }
    return true;
}

bool ControlState::apply(const EntryRegistration &command)
{
    if (!command.isRegistered) {
        return entries_.erase(command.entry) > 0;
    }
    ZoneId &zone = entries_[command.entry];
    if (zone == command.zone) {
        return false;
    }
    zone = command.zone;
    return true;
}

bool ControlState::apply(const GroupMembersCommand &command)
{
    GroupMembers &known = members_[command.group];
    if (command.generation != known.generation + 1 || command.completesTransition == known.previous.empty()) {
        // Rejects a change during a transition and a completion without one. The first set of members needs no
        // transition, so there is nothing to complete.
        return false;
    }
    known.generation = command.generation;
    if (command.completesTransition) {
        known.previous.clear();
        return true;
    }
    known.previous = std::exchange(known.members, command.members);
    return true;
}

std::uint64_t ControlState::configVersion() const
{
    return configVersion_;
}

const std::string &ControlState::configJson() const
{
    return configJson_;
}

std::optional<ConfigOutcome> ControlState::outcomeOf(const std::string &changeId) const
{
    const auto known = outcomes_.find(changeId);
    return known == outcomes_.end() ? std::nullopt : std::optional(known->second);
}

const std::deque<ConfigHistoryEntry> &ControlState::history() const
{
    return history_;
}

const std::map<GroupKey, GroupTerm> &ControlState::terms() const
{
    return terms_;
}

const std::map<GroupKey, GroupMembers> &ControlState::members() const
{
    return members_;
}

const std::map<VmId, ZoneId> &ControlState::entries() const
{
    return entries_;
}

} // namespace daisyrelay
