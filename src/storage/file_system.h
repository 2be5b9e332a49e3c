/// @file
/// The file operations that storage needs, behind an interface: the operating system's, and one in
/// memory that loses unsynced bytes and injects faults.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/error.h"

namespace graniteseam::storage {

/// An open file that only grows at its end. Not thread safe. Errors: kStorageFull when there is no
/// space, kStorageIo for everything else the operating system refuses.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  /// Writes all bytes at the end. After an error some of them may be there.
  virtual Result<void> Append(std::string_view bytes) = 0;
  /// Returns once all appended bytes survive a loss of power. After an error nothing is known about
  /// what is on the disk; the file must not be used further.
  virtual Result<void> Sync() = 0;
  /// Cuts the file to a size in bytes.
  virtual Result<void> Truncate(std::uint64_t size) = 0;
};

/// Holds a lock until destruction.
class FileLock {
 public:
  virtual ~FileLock() = default;
};

/// Paths are joined with '/'. Creation, renaming and removal of files last only once SyncFolder()
/// has returned. Not thread safe.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Creates a folder and its parents; no error when it exists.
  virtual Result<void> CreateFolder(const std::string& path) = 0;
  /// Opens a file at its end; creates it when it does not exist.
  virtual Result<std::unique_ptr<AppendFile>> OpenForAppend(const std::string& path) = 0;
  virtual Result<std::string> Read(const std::string& path) = 0;
  virtual bool Exists(const std::string& path) = 0;
  /// Names of the files in a folder, sorted.
  virtual Result<std::vector<std::string>> List(const std::string& folder) = 0;
  /// Replaces `to` atomically.
  virtual Result<void> Rename(const std::string& from, const std::string& to) = 0;
  virtual Result<void> Remove(const std::string& path) = 0;
  virtual Result<void> SyncFolder(const std::string& path) = 0;
  /// Locks a file against other processes. @return kFailedPrecondition when another one holds it.
  virtual Result<std::unique_ptr<FileLock>> Lock(const std::string& path) = 0;
  /// Bytes that may still be written below a path.
  virtual Result<std::uint64_t> FreeBytes(const std::string& path) = 0;
};

/// Writes a whole file so that it is either absent (or as before) or complete after a crash: write
/// to a temporary file, sync it, rename it, sync the folder.
Result<void> WriteFileAtomically(FileSystem& files, const std::string& folder,
                                 const std::string& name, std::string_view content);

/// The suffix of temporary files; what a crash left of them may be removed.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

/// Removes temporary files that a crash left in a folder.
Result<void> RemoveTemporaryFiles(FileSystem& files, const std::string& folder);

}  // namespace graniteseam::storage
