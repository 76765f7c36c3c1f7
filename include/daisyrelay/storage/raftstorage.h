// Keeps the consensus state of a control VM in two files: "snapshot", replaced atomically, and "log", which is appended
// to and replaced after each snapshot.
#pragma once

#include "daisyrelay/storage/filesystem.h"
#include "daisyrelay/wire.h"

#include <optional>
#include <vector>

namespace daisyrelay {

/// What consensus finds again after a restart.
struct StoredState {
    HardState hardState;
    std::optional<RaftSnapshot> snapshot;
    std::vector<LogEntry> entries; ///< Those after the snapshot.
    std::uint64_t tornTailBytes = 0; ///< Size of the torn tail that was cut off, if any.
};

/// What one call of RaftStorage::write makes durable.
struct RaftWrite {
    LogRecord record;
    /// If set, the record must hold the hard state and all entries after the snapshot.
    std::optional<RaftSnapshot> snapshot;

    [[nodiscard]] bool empty() const;
};

/// After a failed write the next one must contain everything that the failed one did. What is found after a crash in
/// between is the state before or after the failed write, never less.
class RaftStorage
{
public:
    explicit RaftStorage(FileSystem &files);

    /// Reads what is stored and cuts off a torn tail.
    /// \returns ErrorKind::StorageCorrupt, with file and offset, if anything that was synced can not be read.
    Expected<StoredState> open();

    /// Returns only after everything is synced.
    Expected<void> write(const RaftWrite &write);

private:
    Expected<void> readLog(StoredState &state);
    Expected<void> appendRecord(const LogRecord &record);
    Expected<void> replaceFile(const std::string &name, const std::string &payload);
    Expected<void> replaceLog(const LogRecord &record);

    FileSystem &files_;
    std::unique_ptr<AppendFile> log_;
    std::uint64_t syncedLogBytes_ = 0; ///< The synced size of the log file.
    bool hasUnsyncedTail_ = false; ///< Whether the log file may hold bytes after syncedLogBytes_.
};

} // namespace daisyrelay
