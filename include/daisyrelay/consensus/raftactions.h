// What the consensus asks its driver to do.
#pragma once

#include "daisyrelay/storage.h"
#include "daisyrelay/wire.h"

#include <optional>
#include <vector>

namespace daisyrelay {

/// To be done in the order of the members. Messages that promise what is in `write` are not among `messages`; they come
/// with the next actions after RaftCore::onPersisted.
struct RaftActions {
    RaftWrite write; ///< Then call onPersisted or onPersistenceFailed at once.
    std::vector<RaftMessage> messages;
    std::optional<std::string> snapshotToRestore; ///< Replaces the state machine.
    std::vector<LogEntry> committed; ///< Commands to apply.
    std::optional<std::uint64_t> snapshotIndex; ///< Encode the state machine now and pass it to RaftCore::compact.
    bool isRejoining = false; ///< The disk was found to be older than what this VM promised.

    [[nodiscard]] bool empty() const
    {
        return write.empty() && messages.empty() && !snapshotToRestore && committed.empty() && !snapshotIndex
            && !isRejoining;
    }
};

} // namespace daisyrelay
