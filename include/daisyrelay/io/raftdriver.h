// Performs the actions of the consensus core of this VM.
#pragma once

#include "daisyrelay/consensus.h"
#include "daisyrelay/io/posixfilesystem.h"

#include <functional>

namespace daisyrelay {

/// Must be used on the control thread only. flush() syncs all inputs since the previous flush with one write.
class RaftDriver
{
public:
    struct Hooks {
        std::function<void(const RaftMessage &message)> send;
        /// Applies a committed entry to the state machine. \returns false if the entry cannot be read.
        std::function<bool(const LogEntry &entry)> apply;
        /// Restores the state machine from a snapshot.
        std::function<Expected<void>(std::string_view bytes)> restore;
        std::function<std::string()> snapshot; ///< Encodes the state machine as a snapshot.
        /// Called when a received snapshot cannot be restored.
        std::function<void(const std::string &detail)> onUnreadableSnapshot;
    };

    /// Restores the state from the data folder.
    /// \returns an error if the folder is damaged or in use, in which case the VM must not start.
    static Expected<std::unique_ptr<RaftDriver>> open(
        const std::string &folder, RaftOptions options, Counters &counters, Hooks hooks);

    RaftDriver(std::unique_ptr<PosixFileSystem> files, Counters &counters, Hooks hooks);

    RaftCore &core();
    [[nodiscard]] const RaftCore &core() const;

    /// Performs all pending actions of the core: storing, sending and applying. After an entry or a snapshot that
    /// cannot be read it does nothing any more: the state machine no longer follows the log, and a snapshot of it would
    /// replace entries that it lacks. \returns whether the state machine changed.
    bool flush();

private:
    Expected<void> restoreState(RaftOptions options);
    void persist(const RaftWrite &write);
    /// \returns false if an entry or a snapshot cannot be read.
    bool applyActions(const RaftActions &actions);
    void logRoleChange();

    std::unique_ptr<PosixFileSystem> files_;
    Counters &counters_;
    Hooks hooks_;
    RaftStorage storage_;
    std::unique_ptr<RaftCore> core_;
    RaftRole loggedRole_ = RaftRole::Follower;
    bool isStopped_ = false; ///< An entry or a snapshot could not be read.
};

} // namespace daisyrelay
