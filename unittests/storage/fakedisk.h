// A folder in memory that can be killed at any byte of a write, lose what was not synced, and be full.
#pragma once

#include "daisyrelay/storage.h"

#include <map>
#include <memory>
#include <optional>

namespace daisyrelay {

class FakeDisk : public FileSystem
{
public:
    struct Content {
        std::string bytes;
        std::string synced;
    };
    using Folder = std::map<std::string, std::shared_ptr<Content>>;

    /// Each byte and each other operation costs one step; when none is left, every operation fails until crash().
    std::optional<std::size_t> stepsLeft;
    bool full = false;

    /// Loses what was not synced, but for the first \p kept bytes of each file's unsynced tail.
    void crash(std::size_t kept)
    {
        names_ = durableNames_;
        for (const auto &[name, content] : names_) {
            const std::size_t size = std::min(content->bytes.size(), content->synced.size() + kept);
            content->bytes.resize(std::max(size, content->synced.size()));
            content->synced = content->bytes;
        }
        stepsLeft.reset();
    }

    /// Returns a disk with the same synced files.
    [[nodiscard]] std::unique_ptr<FakeDisk> copy() const
    {
        auto other = std::make_unique<FakeDisk>();
        for (const auto &[name, content] : durableNames_) {
            other->names_[name] = std::make_shared<Content>(Content { content->synced, content->synced });
        }
        other->durableNames_ = other->names_;
        return other;
    }

    std::string &bytesOf(const std::string &name)
    {
        return names_.at(name)->bytes;
    }

    [[nodiscard]] bool exists(const std::string &name) const override
    {
        return names_.contains(name);
    }

    [[nodiscard]] Expected<std::string> read(const std::string &name) const override
    {
        return names_.at(name)->bytes;
    }

    Expected<std::unique_ptr<AppendFile>> create(const std::string &name) override
    {
        if (!step()) {
            return failure();
        }
        names_[name] = std::make_shared<Content>();
        return std::make_unique<File>(*this, names_[name]);
    }

    Expected<std::unique_ptr<AppendFile>> openForAppend(const std::string &name) override
    {
        return std::make_unique<File>(*this, names_.at(name));
    }

    Expected<void> rename(const std::string &from, const std::string &to) override
    {
        if (!step()) {
            return failure();
        }
        names_[to] = names_.at(from);
        names_.erase(from);
        return {};
    }

    Expected<void> syncFolder() override
    {
        if (!step()) {
            return failure();
        }
        durableNames_ = names_;
        return {};
    }

private:
    class File : public AppendFile
    {
    public:
        File(FakeDisk &disk, std::shared_ptr<Content> content) : disk_(disk), content_(std::move(content))
        {
        }

        Expected<void> append(std::string_view bytes) override
        {
            for (const char byte : bytes) {
                if (disk_.full || !disk_.step()) {
                    return failure();
                }
                content_->bytes.push_back(byte);
            }
            return {};
        }

        Expected<void> sync() override
        {
            if (!disk_.step()) {
                return failure();
            }
            content_->synced = content_->bytes;
            return {};
        }

        Expected<void> truncate(std::uint64_t size) override
        {
            if (!disk_.step()) {
                return failure();
            }
            content_->bytes.resize(size);
            content_->synced = content_->bytes;
            return {};
        }

    private:
        FakeDisk &disk_;
        std::shared_ptr<Content> content_;
    };

    bool step()
    {
        if (stepsLeft && *stepsLeft == 0) {
            return false;
        }
        if (stepsLeft) {
            --*stepsLeft;
        }
        return true;
    }

    static tl::unexpected<Error> failure()
    {
        return tl::unexpected(Error { ErrorKind::StorageFailed, "fake failure" });
    }

    Folder names_;
    Folder durableNames_;
};

} // namespace daisyrelay
