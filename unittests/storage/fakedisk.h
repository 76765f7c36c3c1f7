// In-memory directory that can fail at any byte of a write, lose unsynced data and be full.
#pragma once

#include "daisyrelay/storage.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace daisyrelay {

/// A simulated disk with one directory.
class FakeDisk : public FileSystem
{
public:
    struct UnsyncedWrite {
        std::size_t offset = 0;
        std::string bytes;
    };
    struct FileContent {
        std::string bytes; ///< Current content.
        std::string syncedBytes; ///< Content that survives a crash.
        std::vector<UnsyncedWrite> unsyncedWrites {}; ///< Writes since the last sync.
    };
    using Directory = std::map<std::string, std::shared_ptr<FileContent>>;

    /// Steps before the simulated failure; no value means none. Each appended byte and each other operation takes one
    /// step. At zero, every operation fails until crash() is called.
    std::optional<std::size_t> stepsUntilFailure;
    bool isFull = false; ///< Whether appending fails.
    /// Bytes that can still be appended before the disk is full; no value if there is room.
    std::optional<std::size_t> bytesUntilFull;

    /// Discards unsynced data, except for the first \p keptUnsyncedBytes bytes of the unsynced tail of each file.
    void crash(std::size_t keptUnsyncedBytes)
    {
        files_ = syncedFiles_;
        for (const auto &[name, content] : files_) {
            const std::size_t size = std::min(content->bytes.size(), content->syncedBytes.size() + keptUnsyncedBytes);
            content->bytes.resize(std::max(size, content->syncedBytes.size()));
            content->syncedBytes = content->bytes;
            content->unsyncedWrites.clear();
        }
        stepsUntilFailure.reset();
    }

    /// Ends the process that uses the disk. All files stay as they are, and what was not synced stays so.
    void kill()
    {
        stepsUntilFailure.reset();
    }

    /// Loses power. Each name changed since the directory was synced has its new or its former file, and each unsynced
    /// write is present, missing or torn, all independently of each other. Sometimes everything unsynced is gone.
    void losePower(std::mt19937_64 &random)
    {
        constexpr std::uint64_t Outcomes = 3;
        const bool isAllLost = random() % Outcomes == 0;
        Directory found = syncedFiles_;
        for (const auto &[name, content] : files_) {
            if (!isAllLost && random() % 2 == 0) {
                found[name] = content;
            }
        }
        std::erase_if(
            found, [&](const auto &file) { return !isAllLost && !files_.contains(file.first) && random() % 2 == 0; });
        files_.clear();
        for (const auto &[name, content] : found) {
            std::string bytes = content->syncedBytes;
            for (const UnsyncedWrite &write : content->unsyncedWrites) {
                const std::uint64_t outcome = isAllLost ? 0 : random() % Outcomes;
                const std::size_t size = outcome == 1 ? random() % (write.bytes.size() + 1) : write.bytes.size();
                if (outcome != 0 && size != 0) {
                    bytes.resize(std::max(bytes.size(), write.offset + size));
                    bytes.replace(write.offset, size, write.bytes, 0, size);
                }
            }
            files_[name] = std::make_shared<FileContent>(FileContent { bytes, bytes });
        }
        syncedFiles_ = files_;
        stepsUntilFailure.reset();
    }

    /// Returns a disk with the same files, synced or not.
    [[nodiscard]] std::unique_ptr<FakeDisk> clone() const
    {
        auto duplicate = std::make_unique<FakeDisk>();
        std::map<const FileContent *, std::shared_ptr<FileContent>> contents;
        const auto cloneDirectory = [&contents](const Directory &from, Directory &to) {
            for (const auto &[name, content] : from) {
                const auto [found, isNew] = contents.try_emplace(content.get());
                if (isNew) {
                    found->second = std::make_shared<FileContent>(*content);
                }
                to[name] = found->second;
            }
        };
        cloneDirectory(files_, duplicate->files_);
        cloneDirectory(syncedFiles_, duplicate->syncedFiles_);
        return duplicate;
    }

    /// Returns a disk with the same synced files.
    [[nodiscard]] std::unique_ptr<FakeDisk> copy() const
    {
        auto duplicate = std::make_unique<FakeDisk>();
        for (const auto &[name, content] : syncedFiles_) {
            duplicate->files_[name]
                = std::make_shared<FileContent>(FileContent { content->syncedBytes, content->syncedBytes });
        }
        duplicate->syncedFiles_ = duplicate->files_;
        return duplicate;
    }

    /// Returns the content of the file \p name for modification.
    std::string &bytesOf(const std::string &name)
    {
        return files_.at(name)->bytes;
    }

    [[nodiscard]] bool exists(const std::string &name) const override
    {
        return files_.contains(name);
    }

    [[nodiscard]] Expected<std::string> read(const std::string &name) const override
    {
        return files_.at(name)->bytes;
    }

    Expected<std::unique_ptr<AppendFile>> create(const std::string &name) override
    {
        if (!consumeStep()) {
            return failure();
        }
        files_[name] = std::make_shared<FileContent>();
        return std::make_unique<File>(*this, files_[name]);
    }

    Expected<std::unique_ptr<AppendFile>> openForAppend(const std::string &name) override
    {
        return std::make_unique<File>(*this, files_.at(name));
    }

    Expected<void> rename(const std::string &from, const std::string &to) override
    {
        if (!consumeStep()) {
            return failure();
        }
        files_[to] = files_.at(from);
        files_.erase(from);
        return {};
    }

    Expected<void> syncDirectory() override
    {
        if (!consumeStep()) {
            return failure();
        }
        syncedFiles_ = files_;
        return {};
    }

private:
    class File : public AppendFile
    {
    public:
        File(FakeDisk &disk, std::shared_ptr<FileContent> content) : disk_(disk), content_(std::move(content))
        {
        }

        Expected<void> append(std::string_view bytes) override
        {
            content_->unsyncedWrites.push_back({ content_->bytes.size(), {} });
            for (const char byte : bytes) {
                if (disk_.isFull || disk_.bytesUntilFull == 0 || !disk_.consumeStep()) {
                    return failure();
                }
                if (disk_.bytesUntilFull) {
                    --*disk_.bytesUntilFull;
                }
                content_->bytes.push_back(byte);
                content_->unsyncedWrites.back().bytes.push_back(byte);
            }
            return {};
        }

        Expected<void> sync() override
        {
            if (!disk_.consumeStep()) {
                return failure();
            }
            content_->syncedBytes = content_->bytes;
            content_->unsyncedWrites.clear();
            return {};
        }

        Expected<void> truncate(std::uint64_t size) override
        {
            if (!disk_.consumeStep()) {
                return failure();
            }
            content_->bytes.resize(size);
            content_->syncedBytes = content_->bytes;
            content_->unsyncedWrites.clear();
            return {};
        }

    private:
        FakeDisk &disk_;
        std::shared_ptr<FileContent> content_;
    };

    bool consumeStep()
    {
        if (stepsUntilFailure && *stepsUntilFailure == 0) {
            return false;
        }
        if (stepsUntilFailure) {
            --*stepsUntilFailure;
        }
        return true;
    }

    static tl::unexpected<Error> failure()
    {
        return tl::unexpected(Error { ErrorKind::StorageFailed, "simulated failure" });
    }

    Directory files_;
    Directory syncedFiles_; ///< Directory entries that survive a crash.
};

} // namespace daisyrelay
