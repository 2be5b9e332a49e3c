#include "src/storage/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace graniteseam::storage {
namespace {

constexpr mode_t kFileMode = 0600;

boost::leaf::error_id FailWith(int code, const std::string& step, const std::string& path) {
  const std::string message =
      step + " " + path + ": " + std::generic_category().message(code) + ".";
  if (code == ENOSPC || code == EDQUOT) {
    return Fail(ErrorKind::kStorageFull, message,
                "Free space on this file system; the process then resumes without a restart.");
  }
  return Fail(ErrorKind::kStorageIo, message,
              "Check the disk and the folder's permissions, then restart the process; replace the "
              "disk if the error recurs.");
}

/// Owns a file descriptor.
class Descriptor {
 public:
  explicit Descriptor(int value) : value_(value) {}
  ~Descriptor() {
    if (value_ >= 0) close(value_);
  }
  Descriptor(Descriptor&& other) noexcept : value_(std::exchange(other.value_, -1)) {}
  Descriptor& operator=(Descriptor&&) = delete;
  int get() const { return value_; }

 private:
  int value_;
};

class PosixAppendFile : public AppendFile {
 public:
  PosixAppendFile(Descriptor descriptor, std::string path)
      : descriptor_(std::move(descriptor)), path_(std::move(path)) {}

  Result<void> Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = write(descriptor_.get(), bytes.data(), bytes.size());
      if (written < 0) {
        if (errno == EINTR) continue;
        return FailWith(errno, "Cannot write to", path_);
      }
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
  }

  Result<void> Sync() override {
    if (fdatasync(descriptor_.get()) == 0) return {};
    // Never retried, because the kernel may have dropped the pages that it failed to write.
    const int code = errno;
    return Fail(ErrorKind::kStorageIo,
                "Cannot sync " + path_ + ": " + std::generic_category().message(code) + ".",
                "Replace the disk; restart the process only once the disk is healthy.");
  }

  Result<void> Truncate(std::uint64_t size) override {
    if (ftruncate(descriptor_.get(), static_cast<off_t>(size)) == 0) return {};
    return FailWith(errno, "Cannot truncate", path_);
  }

 private:
  Descriptor descriptor_;
  std::string path_;
};

class PosixFileLock : public FileLock {
 public:
  explicit PosixFileLock(Descriptor descriptor) : descriptor_(std::move(descriptor)) {}

 private:
  Descriptor descriptor_;  ///< Closing it releases the flock().
};

}  // namespace

Result<void> PosixFileSystem::CreateFolder(const std::string& path) {
  std::error_code error;
  const bool created = std::filesystem::create_directories(path, error);
  if (error) return FailWith(error.value(), "Cannot create", path);
  if (!created) return {};
  return SyncFolder(std::filesystem::absolute(path).parent_path().string());
}

Result<std::unique_ptr<AppendFile>> PosixFileSystem::OpenForAppend(const std::string& path) {
  Descriptor descriptor(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode));
  if (descriptor.get() < 0) return FailWith(errno, "Cannot open", path);
  return std::unique_ptr<AppendFile>(new PosixAppendFile(std::move(descriptor), path));
}

Result<std::string> PosixFileSystem::Read(const std::string& path) {
  const Descriptor descriptor(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (descriptor.get() < 0 || fstat(descriptor.get(), &status) != 0) {
    return FailWith(errno, "Cannot read", path);
  }
  // Sized once: a string that grows as it is read takes up to three times the file.
  std::string content(static_cast<std::size_t>(status.st_size), '\0');
  std::size_t filled = 0;
  while (filled < content.size()) {
    const ssize_t got = read(descriptor.get(), content.data() + filled, content.size() - filled);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return FailWith(errno, "Cannot read", path);
    if (got == 0) break;
    filled += static_cast<std::size_t>(got);
  }
  content.resize(filled);
  return content;
}

bool PosixFileSystem::Exists(const std::string& path) {
  std::error_code error;
  return std::filesystem::exists(path, error);
}

Result<std::vector<std::string>> PosixFileSystem::List(const std::string& folder) {
  std::error_code error;
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    names.push_back(entry.path().filename().string());
  }
  if (error) return FailWith(error.value(), "Cannot list", folder);
  std::sort(names.begin(), names.end());
  return names;
}

Result<void> PosixFileSystem::Rename(const std::string& from, const std::string& to) {
  if (rename(from.c_str(), to.c_str()) == 0) return {};
  return FailWith(errno, "Cannot rename", from);
}

Result<void> PosixFileSystem::Remove(const std::string& path) {
  if (unlink(path.c_str()) == 0) return {};
  return FailWith(errno, "Cannot remove", path);
}

Result<void> PosixFileSystem::SyncFolder(const std::string& path) {
  const Descriptor descriptor(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (descriptor.get() < 0 || fsync(descriptor.get()) != 0) {
    return FailWith(errno, "Cannot sync folder", path);
  }
  return {};
}

Result<std::unique_ptr<FileLock>> PosixFileSystem::Lock(const std::string& path) {
  Descriptor descriptor(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (descriptor.get() < 0) return FailWith(errno, "Cannot open", path);
  if (flock(descriptor.get(), LOCK_EX | LOCK_NB) != 0) {
    if (errno != EWOULDBLOCK) return FailWith(errno, "Cannot lock", path);
    return Fail(ErrorKind::kFailedPrecondition, "Another process holds the lock " + path + ".",
                "Stop the other process, or give this one a data folder of its own.");
  }
  return std::unique_ptr<FileLock>(new PosixFileLock(std::move(descriptor)));
}

Result<std::uint64_t> PosixFileSystem::FreeBytes(const std::string& path) {
  struct statvfs status {};
  if (statvfs(path.c_str(), &status) != 0) return FailWith(errno, "Cannot examine", path);
  return static_cast<std::uint64_t>(status.f_bavail) * status.f_frsize;
}

}  // namespace graniteseam::storage
