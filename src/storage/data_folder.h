/// @file
/// A control process's data folder: lock, format version, and the disk incarnation generated when
/// the folder is initialised.
#pragma once

#include <memory>
#include <string>

#include "graniteseam/common/ids.h"
#include "src/storage/file_system.h"

namespace graniteseam::storage {

/// The version of the folder's format that this program reads and writes.
inline constexpr int kDataFolderFormat = 1;

/// An open, locked data folder. The lock is released on destruction. Not thread safe.
class DataFolder {
 public:
  /// Opens a folder, or initialises an empty one.
  /// @param fresh_incarnation stored when the folder is initialised; must be unique.
  /// @return kFailedPrecondition when another process holds the lock; kIncompatibleFormat for an
  ///     unknown version; kInvalidSettings when the folder belongs to another id; kStorageCorrupt
  ///     when it holds data without an identity, or the identity fails its checksum.
  static Result<DataFolder> Open(FileSystem& files, const std::string& path, ControlId id,
                                 DiskIncarnation fresh_incarnation);

  DiskIncarnation incarnation() const { return incarnation_; }
  /// Whether Open() initialised the folder.
  bool initialised_now() const { return initialised_now_; }

 private:
  DataFolder() = default;

  std::unique_ptr<FileLock> lock_;
  DiskIncarnation incarnation_;
  bool initialised_now_ = false;
};

/// Generates an incarnation from the operating system's random source; never 0.
DiskIncarnation GenerateIncarnation();

}  // namespace graniteseam::storage
