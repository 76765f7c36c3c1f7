// The file operations of storage on a real folder.
#pragma once

#include "daisyrelay/storage.h"

namespace daisyrelay {

/// One folder, locked against a second process for as long as the object lives.
class PosixFileSystem : public FileSystem
{
public:
    /// \returns an error if \p folder does not exist, can not be written or is in use. The folder is not created: one
    /// that is missing is rather a disk that is not mounted than a first start.
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
