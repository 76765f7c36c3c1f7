#include "daisyrelay/storage/raftstorage.h"

#include "daisyrelay/storage/recordframe.h"

#include <algorithm>

namespace daisyrelay {

static const char *const LogFileName = "log";
static const char *const SnapshotFileName = "snapshot";
static const char *const TemporarySuffix = ".tmp";

static tl::unexpected<Error> corruptError(const std::string &file, std::uint64_t offset, const std::string &problem)
{
    return tl::unexpected(
        Error { ErrorKind::StorageCorrupt, file + ": offset " + std::to_string(offset) + ": " + problem });
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
    for (LogEntry &entry : record.entries) {
        if (!state.entries.empty() && entry.index != state.entries.back().index + 1) {
            return corruptError(
                LogFileName, offset, "entry " + std::to_string(entry.index) + " does not follow the previous entry");
        }
        state.entries.push_back(std::move(entry));
    }
    return {};
}

// A crash after the snapshot was replaced but before the log was replaced leaves entries that the snapshot covers.
static Expected<void> dropEntriesInSnapshot(StoredState &state)
{
    const std::uint64_t snapshotIndex = state.snapshot ? state.snapshot->index : 0;
    const auto found = std::find_if(state.entries.begin(), state.entries.end(),
        [snapshotIndex](const LogEntry &entry) { return entry.index == snapshotIndex; });
    if (found != state.entries.end() && found->term != state.snapshot->term) {
        state.entries.clear();
    }
    std::erase_if(state.entries, [snapshotIndex](const LogEntry &entry) { return entry.index <= snapshotIndex; });
    if (!state.entries.empty() && state.entries.front().index != snapshotIndex + 1) {
        return corruptError(LogFileName, 0, "entries after " + std::to_string(snapshotIndex) + " are missing");
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
    if (files_.exists(SnapshotFileName)) {
        const Expected<std::string> bytes = files_.read(SnapshotFileName);
        if (!bytes) {
            return tl::unexpected(bytes.error());
        }
        const std::optional<std::string_view> payload = readFrame(*bytes, 0);
        if (!payload || payload->size() + FrameHeaderBytes != bytes->size()) {
            return corruptError(SnapshotFileName, 0, "checksum mismatch");
        }
        Expected<RaftSnapshot> snapshot = decodeRaftSnapshot(*payload);
        if (!snapshot) {
            return corruptError(SnapshotFileName, FrameHeaderBytes, snapshot.error().detail);
        }
        state.snapshot = std::move(*snapshot);
    }
    if (!files_.exists(LogFileName)) {
        // The log is always written before the first snapshot and only replaced by a rename, so it must exist.
        if (state.snapshot) {
            return corruptError(LogFileName, 0, "the file is missing, but a snapshot exists");
        }
        return state;
    }
    if (const Expected<void> result = readLog(state); !result) {
        return tl::unexpected(result.error());
    }
    if (const Expected<void> result = dropEntriesInSnapshot(state); !result) {
        return tl::unexpected(result.error());
    }
    return state;
}

Expected<void> RaftStorage::readLog(StoredState &state)
{
    const Expected<std::string> bytes = files_.read(LogFileName);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    std::uint64_t offset = 0;
    while (const std::optional<std::string_view> payload = readFrame(*bytes, offset)) {
        Expected<LogRecord> record = decodeLogRecord(*payload);
        if (!record) {
            return corruptError(LogFileName, offset, record.error().detail);
        }
        if (Expected<void> result = applyRecord(std::move(*record), state, offset); !result) {
            return result;
        }
        offset += FrameHeaderBytes + payload->size();
    }
    // A write starts only after the previous one is synced, so no valid record can follow a torn write.
    if (offset == 0 || findNextFrame(*bytes, offset)) {
        return corruptError(LogFileName, offset, "checksum mismatch before the end of the log");
    }
    Expected<std::unique_ptr<AppendFile>> file = files_.openForAppend(LogFileName);
    if (!file) {
        return tl::unexpected(file.error());
    }
    log_ = std::move(*file);
    syncedLogBytes_ = offset;
    state.tornTailBytes = bytes->size() - offset;
    // A process that was killed may have left records and names that it had not synced. The caller will acknowledge
    // what it reads, so it must not be lost from here on.
    if (Expected<void> result = state.tornTailBytes == 0 ? log_->sync() : log_->truncate(offset); !result) {
        return result;
    }
    return files_.syncDirectory();
}

Expected<void> RaftStorage::write(const RaftWrite &write)
{
    if (write.snapshot) {
        if (Expected<void> result = replaceFile(SnapshotFileName, encodeRaftSnapshot(*write.snapshot)); !result) {
            return result;
        }
    }
    return write.snapshot || !log_ ? replaceLog(write.record) : appendRecord(write.record);
}

Expected<void> RaftStorage::appendRecord(const LogRecord &record)
{
    if (hasUnsyncedTail_) {
        if (Expected<void> result = log_->truncate(syncedLogBytes_); !result) {
            return result;
        }
        hasUnsyncedTail_ = false;
    }
    const std::string frame = frameRecord(encodeLogRecord(record), syncedLogBytes_);
    hasUnsyncedTail_ = true;
    if (Expected<void> result = log_->append(frame); !result) {
        return result;
    }
    if (Expected<void> result = log_->sync(); !result) {
        return result;
    }
    hasUnsyncedTail_ = false;
    syncedLogBytes_ += frame.size();
    return {};
}

Expected<void> RaftStorage::replaceLog(const LogRecord &record)
{
    const std::string payload = encodeLogRecord(record);
    if (Expected<void> result = replaceFile(LogFileName, payload); !result) {
        return result;
    }
    Expected<std::unique_ptr<AppendFile>> file = files_.openForAppend(LogFileName);
    if (!file) {
        return tl::unexpected(file.error());
    }
    log_ = std::move(*file);
    syncedLogBytes_ = FrameHeaderBytes + payload.size();
    hasUnsyncedTail_ = false;
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
    return files_.syncDirectory();
}

} // namespace daisyrelay
