/// @file
/// Interface of the file operations used by storage. Implementations: PosixFileSystem, and
/// MemoryFileSystem, which loses unsynced bytes and injects faults.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/error.h"

namespace graniteseam::storage {

/// An open append-only file. Not thread safe. Errors: kStorageFull when there is no space,
/// kStorageIo for any other error of the operating system.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  /// Writes all bytes at the end. After an error some of them may have been written.
  virtual Result<void> Append(std::string_view bytes) = 0;
  /// Returns once all appended bytes are durable across a power loss. After an error the content on
  /// disk is undefined and the file must not be used further.
  virtual Result<void> Sync() = 0;
  /// Truncates the file to a size in bytes.
  virtual Result<void> Truncate(std::uint64_t size) = 0;
};

/// An exclusive lock, released on destruction.
class FileLock {
 public:
  virtual ~FileLock() = default;
};

/// File operations. Paths are joined with '/'. Creation, renaming and removal of files are durable
/// only once SyncFolder() has returned. Not thread safe.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// Creates a folder and its parents; no error when it exists.
  virtual Result<void> CreateFolder(const std::string& path) = 0;
  /// Opens a file at its end; creates it when it does not exist.
  virtual Result<std::unique_ptr<AppendFile>> OpenForAppend(const std::string& path) = 0;
  /// Reads a whole file.
  virtual Result<std::string> Read(const std::string& path) = 0;
  virtual bool Exists(const std::string& path) = 0;
  /// Names of the files in a folder, sorted.
  virtual Result<std::vector<std::string>> List(const std::string& folder) = 0;
  /// Renames a file; replaces `to` atomically.
  virtual Result<void> Rename(const std::string& from, const std::string& to) = 0;
  virtual Result<void> Remove(const std::string& path) = 0;
  /// Makes the folder's directory entries durable.
  virtual Result<void> SyncFolder(const std::string& path) = 0;
  /// Locks a file against other processes. @return kFailedPrecondition when another process holds
  /// it.
  virtual Result<std::unique_ptr<FileLock>> Lock(const std::string& path) = 0;
  /// Free bytes of the file system that holds a path.
  virtual Result<std::uint64_t> FreeBytes(const std::string& path) = 0;
};

/// Writes a whole file atomically: after a crash the file is either complete or in its previous
/// state (absent, or with the old content). Writes a temporary file, syncs it, renames it and syncs
/// the folder.
Result<void> WriteFileAtomically(FileSystem& files, const std::string& folder,
                                 const std::string& name, std::string_view content);

/// Suffix of temporary files; leftovers of a crash may be removed.
inline constexpr std::string_view kTemporarySuffix = ".tmp";

/// Removes the temporary files left in a folder by a crash.
Result<void> RemoveTemporaryFiles(FileSystem& files, const std::string& folder);

}  // namespace graniteseam::storage
