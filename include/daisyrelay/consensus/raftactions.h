// Actions that the consensus core requests from its driver.
#pragma once

#include "daisyrelay/storage.h"
#include "daisyrelay/wire.h"

#include <optional>
#include <vector>

namespace daisyrelay {

/// Actions to perform in the order of the fields. Messages that depend on `write` being durable are not in `messages`;
/// the core returns them with the next actions after RaftCore::onPersisted.
struct RaftActions {
    RaftWrite write; ///< Data to store. Call onPersisted or onPersistenceFailed right after the attempt.
    std::vector<RaftMessage> messages; ///< Messages to send.
    std::optional<std::string> snapshotToRestore; ///< Encoded state that replaces that of the state machine.
    std::vector<LogEntry> committed; ///< Committed commands to apply to the state machine, in log order.
    /// If set, the driver encodes the state machine now and passes the result with this index to RaftCore::compact.
    std::optional<std::uint64_t> snapshotIndex;
    bool isRejoining = false; ///< Whether the disk was found to lack state that this VM had acknowledged.

    /// Whether there is nothing to do.
    [[nodiscard]] bool empty() const
    {
        return write.empty() && messages.empty() && !snapshotToRestore && committed.empty() && !snapshotIndex
            && !isRejoining;
    }
};

} // namespace daisyrelay
