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

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(expectedVersion, changeId, configJson);
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
struct ConfigChangeAnswer {
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

/// A command of the replicated log.
using ControlCommand = std::variant<ConfigChange, GroupTermCommand>;

} // namespace daisyrelay
