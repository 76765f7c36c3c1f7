// Abstract file operations used by storage, so that tests can simulate crashes, torn writes and failures.
#pragma once

#include "daisyrelay/base.h"

#include <memory>
#include <string>
#include <string_view>

namespace daisyrelay {

/// A file opened for appending.
class AppendFile
{
public:
    AppendFile() = default;
    AppendFile(const AppendFile &) = delete;
    AppendFile &operator=(const AppendFile &) = delete;
    virtual ~AppendFile() = default;

    /// Appends \p bytes. After a failure, the file may contain some of them.
    virtual Expected<void> append(std::string_view bytes) = 0;

    /// Makes all appended bytes durable.
    virtual Expected<void> sync() = 0;

    /// Truncates the file to \p size bytes and makes the new size durable.
    virtual Expected<void> truncate(std::uint64_t size) = 0;
};

/// The files of one directory. The detail of an error names the file.
class FileSystem
{
public:
    FileSystem() = default;
    FileSystem(const FileSystem &) = delete;
    FileSystem &operator=(const FileSystem &) = delete;
    virtual ~FileSystem() = default;

    [[nodiscard]] virtual bool exists(const std::string &name) const = 0;
    [[nodiscard]] virtual Expected<std::string> read(const std::string &name) const = 0;

    /// Creates the file \p name, or truncates it to zero bytes if it exists.
    virtual Expected<std::unique_ptr<AppendFile>> create(const std::string &name) = 0;

    /// Opens the existing file \p name.
    virtual Expected<std::unique_ptr<AppendFile>> openForAppend(const std::string &name) = 0;
    /// Renames \p from to \p to and atomically replaces an existing file \p to.
    virtual Expected<void> rename(const std::string &from, const std::string &to) = 0;

    /// Makes created and renamed directory entries durable.
    virtual Expected<void> syncDirectory() = 0;
};

} // namespace daisyrelay
