#include "daisyrelay/control/controlstate.h"

namespace daisyrelay {

static constexpr std::size_t RememberedChanges = 10000;

ConfigOutcome ControlState::apply(const ConfigChange &change)
{
    if (const auto known = changes_.find(change.changeId); known != changes_.end()) {
        return known->second;
    }
    ConfigOutcome outcome { false, ErrorKind::VersionConflict, configVersion_ };
    if (change.expectedVersion == configVersion_) {
        ++configVersion_;
        configJson_ = change.configJson;
        outcome = { true, ErrorKind::Internal, configVersion_ };
    }
    changes_.emplace(change.changeId, outcome);
    changeOrder_.push_back(change.changeId);
    if (changeOrder_.size() > RememberedChanges) {
        changes_.erase(changeOrder_.front());
        changeOrder_.pop_front();
    }
    return outcome;
}

bool ControlState::apply(const GroupTermCommand &command)
{
    GroupTerm &known = terms_[command.term.group];
    const bool newer = command.term.term > known.term || (command.term.term == known.term && known.primary.empty());
    if (!newer) {
        return false;
    }
    known = command.term;
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

const std::map<GroupKey, GroupTerm> &ControlState::terms() const
{
    return terms_;
}

} // namespace daisyrelay
