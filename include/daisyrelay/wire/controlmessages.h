// Messages that carry operators' configuration changes to the control leader and back.
#pragma once

#include "daisyrelay/wire/leasemessages.h"

#include <variant>

namespace daisyrelay {

/// A compare-and-set change of the configuration.
struct ConfigChange {
    std::uint64_t expectedVersion = 0;
    std::string changeId;
    std::string configJson;
    VmId receivedBy; ///< The VM that the operator sent the change to; set by the leader.
    std::string summary; ///< What changes, for people; set by the leader.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(expectedVersion, changeId, configJson, receivedBy, summary);
    }
};

/// Sent by any VM to the control VM that it takes for the leader.
struct ConfigChangeRequest {
    std::uint64_t requestId = 0;
    ConfigChange change;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, change);
    }
};

/// The answer to a ConfigChangeRequest.
struct ConfigChangeResponse {
    std::uint64_t requestId = 0;
    bool accepted = false;
    ErrorKind error = ErrorKind::Internal; ///< Valid unless accepted.
    std::string detail;
    std::uint64_t version = 0; ///< The new version, or the current one after a lost race.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, accepted, error, detail, version);
    }
};

/// Records the term of a group in the replicated log.
struct GroupTermCommand {
    GroupTerm term;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(term);
    }
};

/// Registers an entry before its first lease, or removes one that is gone for good.
struct EntryRegistration {
    VmId entry;
    ZoneId zone;
    bool registered = true;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(entry, zone, registered);
    }
};

/// Changes or settles the member databases of a group; applies only on top of the generation before its own.
struct GroupMembersCommand {
    GroupKey group;
    std::uint64_t generation = 0;
    std::vector<BackendId> members; ///< Ordered. Unused when settling.
    bool completesTransition = false; ///< Ends the transition from the previous members to the current ones.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(group, generation, members, completesTransition);
    }
};

/// A command of the replicated log.
using ControlCommand = std::variant<ConfigChange, GroupTermCommand, EntryRegistration, GroupMembersCommand>;

} // namespace daisyrelay
