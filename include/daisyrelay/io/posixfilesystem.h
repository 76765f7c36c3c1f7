// Implementation of the file system interface of storage with POSIX calls.
#pragma once

#include "daisyrelay/storage.h"

namespace daisyrelay {

/// Accesses the files of one folder and holds a lock on it, so that no other process opens it.
class PosixFileSystem : public FileSystem
{
public:
    /// Opens and locks \p folder. The folder is not created, because a missing one more likely means that a disk is not
    /// mounted than that the process starts for the first time.
    /// \returns an error if the folder does not exist, is not writable or is in use.
    static Expected<std::unique_ptr<PosixFileSystem>> open(const std::string &folder);

    PosixFileSystem(std::string folder, int folderDescriptor, int lockDescriptor);
    ~PosixFileSystem() override;

    [[nodiscard]] bool exists(const std::string &name) const override;
    [[nodiscard]] Expected<std::string> read(const std::string &name) const override;
    Expected<std::unique_ptr<AppendFile>> create(const std::string &name) override;
    Expected<std::unique_ptr<AppendFile>> openForAppend(const std::string &name) override;
    Expected<void> rename(const std::string &from, const std::string &to) override;
    Expected<void> syncDirectory() override;

private:
    Expected<std::unique_ptr<AppendFile>> openFile(const std::string &name, int flags);

    std::string folder_;
    int folderDescriptor_;
    int lockDescriptor_;
};

} // namespace daisyrelay
