#include "daisyrelay/storage/raftstorage.h"

#include "daisyrelay/storage/recordframe.h"

#include <algorithm>

namespace daisyrelay {

static const char *const LogName = "log";
static const char *const SnapshotName = "snapshot";
static const char *const TemporarySuffix = ".tmp";

static tl::unexpected<Error> corrupt(const std::string &file, std::uint64_t offset, const std::string &what)
{
    return tl::unexpected(
        Error { ErrorKind::StorageCorrupt, file + ": offset " + std::to_string(offset) + ": " + what });
}

static Expected<void> applyRecord(LogRecord record, StoredState &state, std::uint64_t offset)
{
    if (record.hardState) {
        state.hardState = *record.hardState;
    }
    if (record.truncateFrom) {
        std::erase_if(
            state.entries, [from = *record.truncateFrom](const LogEntry &entry) { return entry.index >= from; });
    }
    for (LogEntry &entry : record.append) {
        if (!state.entries.empty() && entry.index != state.entries.back().index + 1) {
            return corrupt(LogName, offset, "entry " + std::to_string(entry.index) + " does not follow the one before");
        }
        state.entries.push_back(std::move(entry));
    }
    return {};
}

// A crash between the replacement of the snapshot and that of the log leaves entries that the snapshot stands for.
static Expected<void> dropCoveredEntries(StoredState &state)
{
    const std::uint64_t covered = state.snapshot ? state.snapshot->index : 0;
    const auto at = std::find_if(state.entries.begin(), state.entries.end(),
        [covered](const LogEntry &entry) { return entry.index == covered; });
    if (at != state.entries.end() && at->term != state.snapshot->term) {
        state.entries.clear();
    }
    std::erase_if(state.entries, [covered](const LogEntry &entry) { return entry.index <= covered; });
    if (!state.entries.empty() && state.entries.front().index != covered + 1) {
        return corrupt(LogName, 0, "entries after " + std::to_string(covered) + " are missing");
    }
    return {};
}

bool RaftWrite::empty() const
{
    return record == LogRecord {} && !snapshot;
}

RaftStorage::RaftStorage(FileSystem &files) : files_(files)
{
}

Expected<StoredState> RaftStorage::open()
{
    StoredState state;
    if (files_.exists(SnapshotName)) {
        const Expected<std::string> bytes = files_.read(SnapshotName);
        if (!bytes) {
            return tl::unexpected(bytes.error());
        }
        const std::optional<std::string_view> payload = readFrame(*bytes, 0);
        if (!payload || payload->size() + FrameHeaderBytes != bytes->size()) {
            return corrupt(SnapshotName, 0, "checksum mismatch");
        }
        Expected<RaftSnapshot> snapshot = decodeRaftSnapshot(*payload);
        if (!snapshot) {
            return corrupt(SnapshotName, FrameHeaderBytes, snapshot.error().detail);
        }
        state.snapshot = std::move(*snapshot);
    }
    if (!files_.exists(LogName)) {
        // The log is the first file ever written, and it is only replaced by renaming.
        if (state.snapshot) {
            return corrupt(LogName, 0, "the file is missing, but there is a snapshot");
        }
        return state;
    }
    if (const Expected<void> result = readLog(state); !result) {
        return tl::unexpected(result.error());
    }
    if (const Expected<void> result = dropCoveredEntries(state); !result) {
        return tl::unexpected(result.error());
    }
    return state;
}

Expected<void> RaftStorage::readLog(StoredState &state)
{
    const Expected<std::string> bytes = files_.read(LogName);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    std::uint64_t offset = 0;
    while (const std::optional<std::string_view> payload = readFrame(*bytes, offset)) {
        Expected<LogRecord> record = decodeLogRecord(*payload);
        if (!record) {
            return corrupt(LogName, offset, record.error().detail);
        }
        if (Expected<void> result = applyRecord(std::move(*record), state, offset); !result) {
            return result;
        }
        offset += FrameHeaderBytes + payload->size();
    }
    // A write begins only after the one before is synced, so a torn write has no whole record after it.
    if (offset == 0 || findFrameAfter(*bytes, offset)) {
        return corrupt(LogName, offset, "checksum mismatch before the end of the log");
    }
    Expected<std::unique_ptr<AppendFile>> file = files_.openForAppend(LogName);
    if (!file) {
        return tl::unexpected(file.error());
    }
    log_ = std::move(*file);
    logBytes_ = offset;
    state.cutBytes = bytes->size() - offset;
    return state.cutBytes == 0 ? Expected<void>() : log_->truncate(offset);
}

Expected<void> RaftStorage::write(const RaftWrite &write)
{
    if (write.snapshot) {
        if (Expected<void> result = replaceFile(SnapshotName, encodeRaftSnapshot(*write.snapshot)); !result) {
            return result;
        }
    }
    return write.snapshot || !log_ ? replaceLog(write.record) : appendRecord(write.record);
}

Expected<void> RaftStorage::appendRecord(const LogRecord &record)
{
    if (dirty_) {
        if (Expected<void> result = log_->truncate(logBytes_); !result) {
            return result;
        }
        dirty_ = false;
    }
    const std::string frame = frameRecord(encodeLogRecord(record), logBytes_);
    dirty_ = true;
    if (Expected<void> result = log_->append(frame); !result) {
        return result;
    }
    if (Expected<void> result = log_->sync(); !result) {
        return result;
    }
    dirty_ = false;
    logBytes_ += frame.size();
    return {};
}

Expected<void> RaftStorage::replaceLog(const LogRecord &record)
{
    const std::string payload = encodeLogRecord(record);
    if (Expected<void> result = replaceFile(LogName, payload); !result) {
        return result;
    }
    Expected<std::unique_ptr<AppendFile>> file = files_.openForAppend(LogName);
    if (!file) {
        return tl::unexpected(file.error());
    }
    log_ = std::move(*file);
    logBytes_ = FrameHeaderBytes + payload.size();
    dirty_ = false;
    return {};
}

Expected<void> RaftStorage::replaceFile(const std::string &name, const std::string &payload)
{
    const std::string temporary = name + TemporarySuffix;
    const Expected<std::unique_ptr<AppendFile>> file = files_.create(temporary);
    if (!file) {
        return tl::unexpected(file.error());
    }
    if (Expected<void> result = (*file)->append(frameRecord(payload, 0)); !result) {
        return result;
    }
    if (Expected<void> result = (*file)->sync(); !result) {
        return result;
    }
    if (Expected<void> result = files_.rename(temporary, name); !result) {
        return result;
    }
    return files_.syncFolder();
}

} // namespace daisyrelay
