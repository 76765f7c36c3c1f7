// The few file operations that storage needs, so that a test can lose, cut or refuse each of them.
#pragma once

#include "daisyrelay/base.h"

#include <memory>
#include <string>
#include <string_view>

namespace daisyrelay {

/// A file that is open for appending.
class AppendFile
{
public:
    AppendFile() = default;
    AppendFile(const AppendFile &) = delete;
    AppendFile &operator=(const AppendFile &) = delete;
    virtual ~AppendFile() = default;

    virtual Expected<void> append(std::string_view bytes) = 0;

    /// Makes everything appended so far survive a crash.
    virtual Expected<void> sync() = 0;

    /// Cuts the file to \p size bytes and makes that survive a crash.
    virtual Expected<void> truncate(std::uint64_t size) = 0;
};

/// One folder of files. Errors name the file.
class FileSystem
{
public:
    FileSystem() = default;
    FileSystem(const FileSystem &) = delete;
    FileSystem &operator=(const FileSystem &) = delete;
    virtual ~FileSystem() = default;

    [[nodiscard]] virtual bool exists(const std::string &name) const = 0;
    [[nodiscard]] virtual Expected<std::string> read(const std::string &name) const = 0;

    /// Creates \p name, or empties it if it exists.
    virtual Expected<std::unique_ptr<AppendFile>> create(const std::string &name) = 0;

    virtual Expected<std::unique_ptr<AppendFile>> openForAppend(const std::string &name) = 0;
    virtual Expected<void> rename(const std::string &from, const std::string &to) = 0;

    /// Makes the names in the folder survive a crash.
    virtual Expected<void> syncDirectory() = 0;
};

} // namespace daisyrelay
