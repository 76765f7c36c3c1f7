// The replicated state of control: each control VM applies the same commands in the same order.
#pragma once

#include "daisyrelay/control/configoutcome.h"
#include "daisyrelay/control/groupmembers.h"
#include "daisyrelay/wire.h"

#include <deque>
#include <map>
#include <string_view>

namespace daisyrelay {

/// Configuration, outcomes of configuration changes, group terms, members of groups and registered entries.
///
/// The outcomes of the latest 10,000 accepted and the latest 10,000 rejected changes are remembered by change id. If an
/// older accepted change is sent again, it names an outdated version and is rejected as a version conflict, so it is
/// never applied twice.
class ControlState
{
public:
    /// Applies a compare-and-set change. A change that was applied before gets its first outcome.
    ConfigOutcome apply(const ConfigChange &change, std::uint64_t logIndex);

    /// Records a term unless a higher one is known. \returns whether it was recorded.
    bool apply(const GroupTermCommand &command);

    /// \returns whether the set of registered entries changed.
    bool apply(const EntryRegistration &command);

    /// \returns whether the members of the group changed or their transition completed.
    bool apply(const GroupMembersCommand &command);

    [[nodiscard]] std::uint64_t configVersion() const;
    [[nodiscard]] const std::string &configJson() const;

    /// Returns the first outcome of a change, or nothing if it is not remembered.
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
    void recordOutcome(const ConfigChange &change, const ConfigOutcome &outcome);

    std::uint64_t configVersion_ = 0;
    std::string configJson_ = "{}";
    std::map<std::string, ConfigOutcome> outcomes_;
    std::deque<std::string> acceptedOrder_; ///< Change ids, oldest first.
    std::deque<std::string> rejectedOrder_; ///< Kept separately, so that rejected changes cannot evict accepted ones.
    std::deque<ConfigHistoryEntry> history_;
    std::map<GroupKey, GroupTerm> terms_;
    std::map<GroupKey, GroupMembers> members_;
    std::map<VmId, ZoneId> entries_;
};

} // namespace daisyrelay
