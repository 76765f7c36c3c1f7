// Messages that carry configuration changes of operators to the control leader and its responses back.
#pragma once

#include "daisyrelay/wire/leasemessages.h"

#include <variant>

namespace daisyrelay {

/// A compare-and-set change of the configuration.
struct ConfigChange {
    std::uint64_t expectedVersion = 0;
    std::string changeId;
    std::string configJson;
    VmId receivedBy; ///< VM to which the operator sent the change; set by the leader.
    std::string summary; ///< Human-readable summary of the change; set by the leader.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(expectedVersion, changeId, configJson, receivedBy, summary);
    }
};

/// Sent by any VM to the control VM that it considers the leader.
struct ConfigChangeRequest {
    std::uint64_t requestId = 0;
    ConfigChange change;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, change);
    }
};

/// The response to a ConfigChangeRequest.
struct ConfigChangeResponse {
    std::uint64_t requestId = 0;
    bool isAccepted = false;
    ErrorKind error = ErrorKind::Internal; ///< Valid unless accepted.
    std::string detail;
    std::uint64_t version = 0; ///< The new version, or the current one after a version conflict.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, isAccepted, error, detail, version);
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

/// Registers an entry before its first lease, or removes an entry that has been silent for too long.
struct EntryRegistration {
    VmId entry;
    ZoneId zone;
    bool isRegistered = true;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(entry, zone, isRegistered);
    }
};

/// Changes the member databases of a group or completes a transition. Applies only if \c generation follows the current
/// one.
struct GroupMembersCommand {
    GroupKey group;
    std::uint64_t generation = 0;
    std::vector<BackendId> members; ///< Ordered; unused when completing a transition.
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
