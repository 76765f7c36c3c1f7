// The outcome of a configuration change and the history of accepted changes.
#pragma once

#include "daisyrelay/base.h"

#include <string>

namespace daisyrelay {

/// The outcome of a configuration change.
struct ConfigOutcome {
    bool isAccepted = false;
    ErrorKind error = ErrorKind::Internal; ///< Valid unless accepted.
    std::uint64_t version = 0; ///< Version that the change created, or the current version if rejected.

    bool operator==(const ConfigOutcome &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(isAccepted, error, version);
    }
};

/// One accepted configuration change.
struct ConfigHistoryEntry {
    std::uint64_t version = 0;
    std::string changeId;
    std::uint64_t logIndex = 0;
    VmId receivedBy; ///< VM to which the operator sent the change.
    std::string summary; ///< Human-readable summary of the change.

    bool operator==(const ConfigHistoryEntry &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, changeId, logIndex, receivedBy, summary);
    }
};

} // namespace daisyrelay
