// Stores, syncs and sends what the consensus of this VM decides.
#pragma once

#include "daisyrelay/consensus.h"
#include "daisyrelay/io/posixfilesystem.h"

#include <functional>

namespace daisyrelay {

/// Lives on the control thread. All that arrived since the last flush is synced by one write.
class RaftDriver
{
public:
    struct Hooks {
        std::function<void(const RaftMessage &message)> send;
        std::function<void(const LogEntry &entry)> apply;
        std::function<Expected<void>(std::string_view bytes)> restore; ///< Replaces the state machine.
        std::function<std::string()> snapshot; ///< Encodes the state machine.
    };

    /// Reads the data folder. \returns an error if it is damaged or in use; the VM must not start then.
    static Expected<std::unique_ptr<RaftDriver>> open(
        const std::string &folder, RaftOptions options, Counters &counters, Hooks hooks);

    RaftDriver(std::unique_ptr<PosixFileSystem> files, Counters &counters, Hooks hooks);

    RaftCore &core();
    [[nodiscard]] const RaftCore &core() const;

    /// Does what the core asks for. \returns whether anything was applied.
    bool flush();

private:
    Expected<void> restoreState(RaftOptions options);
    void persist(const RaftWrite &write);
    void applyActions(const RaftActions &actions);
    void logRoleChange();

    std::unique_ptr<PosixFileSystem> files_;
    Counters &counters_;
    Hooks hooks_;
    RaftStorage storage_;
    std::unique_ptr<RaftCore> core_;
    RaftRole loggedRole_ = RaftRole::Follower;
};

} // namespace daisyrelay
