#include "daisyrelay/io/posixfilesystem.h"

#include <cerrno>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace daisyrelay {

static constexpr mode_t FileMode = 0600;

static tl::unexpected<Error> storageError(const std::string &path, const char *operation)
{
    const std::string reason = std::generic_category().message(errno);
    return tl::unexpected(Error { ErrorKind::StorageFailed, path + ": " + operation + ": " + reason });
}

namespace {

/// A descriptor that is open for appending.
class PosixAppendFile : public AppendFile
{
public:
    PosixAppendFile(std::string path, int descriptor) : path_(std::move(path)), descriptor_(descriptor)
    {
    }

    ~PosixAppendFile() override
    {
        ::close(descriptor_);
    }

    Expected<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written < 0) {
                return storageError(path_, "write");
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return {};
    }

    Expected<void> sync() override
    {
        return ::fdatasync(descriptor_) == 0 ? Expected<void>() : storageError(path_, "sync");
    }

    Expected<void> truncate(std::uint64_t size) override
    {
        const bool succeeded = ::ftruncate(descriptor_, static_cast<off_t>(size)) == 0 && ::fsync(descriptor_) == 0;
        return succeeded ? Expected<void>() : storageError(path_, "truncate");
    }

private:
    std::string path_;
    int descriptor_;
};

} // namespace

Expected<std::unique_ptr<PosixFileSystem>> PosixFileSystem::open(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return storageError(folder, "open");
    }
    const int lock = ::openat(descriptor, "lock", O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
    if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        const tl::unexpected<Error> error = storageError(folder + "/lock", "lock");
        ::close(descriptor);
        if (lock >= 0) {
            ::close(lock);
        }
        return error;
    }
    return std::make_unique<PosixFileSystem>(folder, descriptor, lock);
}

PosixFileSystem::PosixFileSystem(std::string folder, int folderDescriptor, int lockDescriptor)
    : folder_(std::move(folder)), folderDescriptor_(folderDescriptor), lockDescriptor_(lockDescriptor)
{
}

PosixFileSystem::~PosixFileSystem()
{
    ::close(folderDescriptor_);
    ::close(lockDescriptor_);
}

bool PosixFileSystem::exists(const std::string &name) const
{
    // A file that can not be looked at exists as far as anyone knows; reading it gives the error.
    return ::faccessat(folderDescriptor_, name.c_str(), F_OK, 0) == 0 || errno != ENOENT;
}

Expected<std::string> PosixFileSystem::read(const std::string &name) const
{
    const int descriptor = ::openat(folderDescriptor_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return storageError(folder_ + "/" + name, "open");
    }
    constexpr std::size_t BufferBytes = std::size_t { 64 } * 1024;
    std::string bytes;
    std::string buffer(BufferBytes, '\0');
    ssize_t receivedBytes = 0;
    do {
        receivedBytes = ::read(descriptor, buffer.data(), buffer.size());
        if (receivedBytes > 0) {
            bytes.append(buffer, 0, static_cast<std::size_t>(receivedBytes));
        }
    } while (receivedBytes > 0 || (receivedBytes < 0 && errno == EINTR));
    if (receivedBytes < 0) {
        const tl::unexpected<Error> error = storageError(folder_ + "/" + name, "read");
        ::close(descriptor);
        return error;
    }
    ::close(descriptor);
    return bytes;
}

Expected<std::unique_ptr<AppendFile>> PosixFileSystem::create(const std::string &name)
{
    return openFile(name, O_CREAT | O_TRUNC);
}

Expected<std::unique_ptr<AppendFile>> PosixFileSystem::openForAppend(const std::string &name)
{
    return openFile(name, 0);
}

Expected<std::unique_ptr<AppendFile>> PosixFileSystem::openFile(const std::string &name, int flags)
{
    const std::string path = folder_ + "/" + name;
    const int descriptor = ::openat(folderDescriptor_, name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC | flags, FileMode);
    if (descriptor < 0) {
        return storageError(path, "open");
    }
    return std::make_unique<PosixAppendFile>(path, descriptor);
}

Expected<void> PosixFileSystem::rename(const std::string &from, const std::string &to)
{
    const bool succeeded = ::renameat(folderDescriptor_, from.c_str(), folderDescriptor_, to.c_str()) == 0;
    return succeeded ? Expected<void>() : storageError(folder_ + "/" + from, "rename");
}

Expected<void> PosixFileSystem::syncDirectory()
{
    return ::fsync(folderDescriptor_) == 0 ? Expected<void>() : storageError(folder_, "sync");
}

} // namespace daisyrelay
