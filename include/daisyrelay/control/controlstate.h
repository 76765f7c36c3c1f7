// The replicated state of the control VMs: each applies the same commands in the same order.
#pragma once

#include "daisyrelay/control/configoutcome.h"
#include "daisyrelay/control/groupmembers.h"
#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <string_view>

namespace daisyrelay {

/// Configuration, the changes that were answered, group terms, members of groups and registered entries.
///
/// A change id is remembered for the latest 10,000 accepted and the latest 10,000 refused changes. An older resend of
/// an accepted change names a version that has passed, so it gets a version conflict and never makes a second change.
class ControlState
{
public:
    /// Applies a compare-and-set change; a change that was applied before gets its first answer.
    ConfigOutcome apply(const ConfigChange &change, std::uint64_t logIndex);

    /// Records a term unless a higher one is known. \returns whether it was recorded.
    bool apply(const GroupTermCommand &command);

    /// \returns whether the set of registered entries changed.
    bool apply(const EntryRegistration &command);

    /// \returns whether the members of the group changed or settled.
    bool apply(const GroupMembersCommand &command);

    [[nodiscard]] std::uint64_t configVersion() const;
    [[nodiscard]] const std::string &configJson() const;

    /// Returns the first answer to a change, or nothing if it is not remembered.
    [[nodiscard]] std::optional<ConfigOutcome> outcomeOf(const std::string &changeId) const;

    /// Returns the latest accepted changes, oldest first.
    [[nodiscard]] const std::deque<ConfigHistoryEntry> &history() const;

    [[nodiscard]] const std::map<GroupKey, GroupTerm> &terms() const;
    [[nodiscard]] const std::map<GroupKey, GroupMembers> &members() const;
    [[nodiscard]] const std::map<VmId, ZoneId> &entries() const;

    /// Returns the whole state as versioned bytes with a checksum.
    [[nodiscard]] std::string encodeSnapshot() const;

    /// \returns an error if \p bytes are damaged or of an unknown version.
    static Expected<ControlState> decodeSnapshot(std::string_view bytes);

    bool operator==(const ControlState &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(configVersion_, configJson_, outcomes_, acceptedOrder_, rejectedOrder_, history_, terms_, members_,
            entries_);
    }

private:
    void rememberOutcome(const ConfigChange &change, const ConfigOutcome &outcome);

    std::uint64_t configVersion_ = 0;
    std::string configJson_ = "{}";
    std::map<std::string, ConfigOutcome> outcomes_;
    std::deque<std::string> acceptedOrder_; ///< Change ids, oldest first.
    std::deque<std::string> rejectedOrder_; ///< Kept apart, so that refused changes can not push out accepted ones.
    std::deque<ConfigHistoryEntry> history_;
    std::map<GroupKey, GroupTerm> terms_;
    std::map<GroupKey, GroupMembers> members_;
    std::map<VmId, ZoneId> entries_;
};

} // namespace daisyrelay
