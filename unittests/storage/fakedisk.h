// A folder in memory that can be killed at any byte of a write, lose what was not synced, and be isFull.
#pragma once

#include "daisyrelay/storage.h"

#include <map>
#include <memory>
#include <optional>

namespace daisyrelay {

class FakeDisk : public FileSystem
{
public:
    struct FileContent {
        std::string bytes;
        std::string syncedBytes;
    };
    using Directory = std::map<std::string, std::shared_ptr<FileContent>>;

    /// Each byte and each duplicate operation costs one step; when none is left, every operation fails until crash().
    std::optional<std::size_t> stepsUntilFailure;
    bool isFull = false;

    /// Loses what was not synced, but for the first \p keptUnsyncedBytes bytes of each file's unsynced tail.
    void crash(std::size_t keptUnsyncedBytes)
    {
        files_ = syncedFiles_;
        for (const auto &[name, content] : files_) {
            const std::size_t size = std::min(content->bytes.size(), content->syncedBytes.size() + keptUnsyncedBytes);
            content->bytes.resize(std::max(size, content->syncedBytes.size()));
            content->syncedBytes = content->bytes;
        }
        stepsUntilFailure.reset();
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
            for (const char byte : bytes) {
                if (disk_.isFull || !disk_.consumeStep()) {
                    return failure();
                }
                content_->bytes.push_back(byte);
            }
            return {};
        }

        Expected<void> sync() override
        {
            if (!disk_.consumeStep()) {
                return failure();
            }
            content_->syncedBytes = content_->bytes;
            return {};
        }

        Expected<void> truncate(std::uint64_t size) override
        {
            if (!disk_.consumeStep()) {
                return failure();
            }
            content_->bytes.resize(size);
            content_->syncedBytes = content_->bytes;
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
        return tl::unexpected(Error { ErrorKind::StorageFailed, "fake failure" });
    }

    Directory files_;
    Directory syncedFiles_;
};

} // namespace daisyrelay
