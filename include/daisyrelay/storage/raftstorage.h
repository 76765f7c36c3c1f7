// Stores the consensus state of a control VM in two files: "snapshot" is replaced atomically, "log" is appended to and
// replaced after each snapshot.
#pragma once

#include "daisyrelay/storage/filesystem.h"
#include "daisyrelay/wire.h"

#include <optional>
#include <vector>

namespace daisyrelay {

/// Consensus state read from disk after a start.
struct StoredState {
    HardState hardState;
    std::optional<RaftSnapshot> snapshot;
    std::vector<LogEntry> entries; ///< Entries after the snapshot.
    std::uint64_t tornTailBytes = 0; ///< Size of the incomplete record that was removed from the end of the log.
};

/// State that one call of RaftStorage::write makes durable.
struct RaftWrite {
    LogRecord record; ///< Record to append to the log file.
    /// New snapshot. If it is set, the record must contain the hard state and all entries after the snapshot.
    std::optional<RaftSnapshot> snapshot;

    /// Whether there is nothing to write.
    [[nodiscard]] bool empty() const;
};

/// Durable storage of the consensus state. After a failed write, the next write must contain everything that the failed
/// one did. A crash in between leaves the state either before or after the failed write, never an earlier one.
class RaftStorage
{
public:
    explicit RaftStorage(FileSystem &files);

    /// Reads the stored state, removes an incomplete record from the end of the log and makes the rest durable.
    /// \returns ErrorKind::StorageCorrupt, with file and offset, if any synced data cannot be read, and
    /// ErrorKind::StorageFailed if the files cannot be read or synced.
    Expected<StoredState> open();

    /// Writes \p write and returns after it is synced.
    Expected<void> write(const RaftWrite &write);

private:
    Expected<void> readLog(StoredState &state);
    Expected<void> appendRecord(const LogRecord &record);
    Expected<void> replaceFile(const std::string &name, const std::string &payload);
    Expected<void> replaceLog(const LogRecord &record);

    FileSystem &files_;
    std::unique_ptr<AppendFile> log_;
    std::uint64_t syncedLogBytes_ = 0; ///< Synced size of the log file, in bytes.
    bool hasUnsyncedTail_ = false; ///< Whether the log file may contain bytes after syncedLogBytes_.
};

} // namespace daisyrelay
