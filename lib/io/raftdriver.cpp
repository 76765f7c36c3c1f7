#include "daisyrelay/io/raftdriver.h"

#include <spdlog/spdlog.h>

namespace daisyrelay {

/// A control VM does nothing else while it stores, so that a leader that takes longer may lose the lead.
static constexpr Duration MaxUsualWriteTime = std::chrono::milliseconds(200);

Expected<std::unique_ptr<RaftDriver>> RaftDriver::open(
    const std::string &folder, RaftOptions options, Counters &counters, Hooks hooks)
{
    Expected<std::unique_ptr<PosixFileSystem>> files = PosixFileSystem::open(folder);
    if (!files) {
        return tl::unexpected(files.error());
    }
    auto driver = std::make_unique<RaftDriver>(std::move(*files), counters, std::move(hooks));
    if (const Expected<void> restored = driver->restoreState(std::move(options)); !restored) {
        return tl::unexpected(Error { restored.error().kind, folder + "/" + restored.error().detail });
    }
    return driver;
}

RaftDriver::RaftDriver(std::unique_ptr<PosixFileSystem> files, Counters &counters, Hooks hooks)
    : files_(std::move(files)), counters_(counters), hooks_(std::move(hooks)), storage_(*files_)
{
}

Expected<void> RaftDriver::restoreState(RaftOptions options)
{
    Expected<StoredState> stored = storage_.open();
    if (!stored) {
        return tl::unexpected(stored.error());
    }
    if (stored->tornTailBytes > 0) {
        counters_.add("storage.torn_tail");
        spdlog::warn("truncated {} bytes of an incomplete write at the end of the log", stored->tornTailBytes);
    }
    if (stored->snapshot && stored->snapshot->index > 0) {
        if (const Expected<void> restored = hooks_.restore(stored->snapshot->data); !restored) {
            return tl::unexpected(Error { ErrorKind::StorageCorrupt, "snapshot: " + restored.error().detail });
        }
    }
    spdlog::info("restored the log up to index {}, term {}",
        stored->entries.empty() ? (stored->snapshot ? stored->snapshot->index : 0) : stored->entries.back().index,
        stored->hardState.term);
    core_ = std::make_unique<RaftCore>(Clock::now(), std::move(options), std::move(*stored));
    return {};
}

RaftCore &RaftDriver::core()
{
    return *core_;
}

const RaftCore &RaftDriver::core() const
{
    return *core_;
}

bool RaftDriver::flush()
{
    bool hasApplied = false;
    while (!isStopped_) {
        const RaftActions actions = core_->takeActions();
        if (actions.empty()) {
            logRoleChange();
            return hasApplied;
        }
        if (!actions.write.empty()) {
            persist(actions.write);
        }
        for (const RaftMessage &message : actions.messages) {
            hooks_.send(message);
        }
        isStopped_ = !applyActions(actions);
        hasApplied = hasApplied || actions.snapshotToRestore || !actions.committed.empty();
    }
    return hasApplied;
}

void RaftDriver::persist(const RaftWrite &write)
{
    const bool wasBlocked = core_->isStorageBlocked();
    const Instant startedAt = Clock::now();
    const Expected<void> stored = storage_.write(write);
    if (const Duration took = Clock::now() - startedAt; took > MaxUsualWriteTime) {
        counters_.add("storage.slow_writes");
        spdlog::warn("storing {} log entries took {} ms", write.record.entries.size(),
            std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
    }
    if (stored) {
        counters_.add("storage.syncs");
        counters_.add("storage.entries", write.record.entries.size());
        core_->onPersisted(Clock::now());
        if (wasBlocked) {
            spdlog::info("the data folder is writable again; accepting changes");
        }
        return;
    }
    counters_.add("storage.write_failed");
    core_->onPersistenceFailed(Clock::now());
    if (!wasBlocked) {
        spdlog::error("rejecting changes until the data folder is writable again: {}", stored.error().detail);
    }
}

bool RaftDriver::applyActions(const RaftActions &actions)
{
    if (actions.isRejoining) {
        counters_.add("consensus.lost_promises");
        spdlog::error("the data folder is older than the state that this VM acknowledged; rejoining as a learner");
    }
    if (actions.snapshotToRestore) {
        if (const Expected<void> restored = hooks_.restore(*actions.snapshotToRestore); !restored) {
            counters_.add("consensus.snapshot_unreadable");
            spdlog::critical("failed to restore a snapshot: {}", restored.error().detail);
            if (hooks_.onUnreadableSnapshot) {
                hooks_.onUnreadableSnapshot(restored.error().detail);
            }
            return false;
        }
    }
    for (const LogEntry &entry : actions.committed) {
        if (!hooks_.apply(entry)) {
            return false;
        }
    }
    if (actions.snapshotIndex) {
        counters_.add("consensus.snapshots");
        core_->compact(*actions.snapshotIndex, hooks_.snapshot());
    }
    return true;
}

void RaftDriver::logRoleChange()
{
    if (core_->role() == loggedRole_) {
        return;
    }
    loggedRole_ = core_->role();
    if (loggedRole_ == RaftRole::Leader) {
        counters_.add("consensus.elected");
        spdlog::info("became the leader of the control VMs in term {}", core_->term());
    } else if (loggedRole_ == RaftRole::Follower) {
        spdlog::info("became a follower in term {}", core_->term());
    }
}

} // namespace daisyrelay
