// The answer to a configuration change and the history of the changes that were accepted.
#pragma once

#include "daisyrelay/base.h"

#include <string>

namespace daisyrelay {

/// How a configuration change ended.
struct ConfigOutcome {
    bool accepted = false;
    ErrorKind error = ErrorKind::Internal; ///< Valid unless accepted.
    std::uint64_t version = 0; ///< The version that the change made, or the current one.

    bool operator==(const ConfigOutcome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(accepted, error, version);
    }
};

/// One accepted configuration change.
struct ConfigHistoryEntry {
    std::uint64_t version = 0;
    std::string changeId;
    std::uint64_t logIndex = 0;
    VmId receivedBy; ///< The VM that the operator sent the change to.
    std::string summary; ///< What changed, for people.

    bool operator==(const ConfigHistoryEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, changeId, logIndex, receivedBy, summary);
    }
};

} // namespace daisyrelay
