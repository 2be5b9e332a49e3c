/// @file
/// A control process's data folder: lock, format version, and the disk incarnation that is drawn
/// when the folder is first used.
#pragma once

#include <memory>
#include <string>

#include "graniteseam/common/ids.h"
#include "src/storage/file_system.h"

namespace graniteseam::storage {

/// The version of the folder's format that this program reads and writes.
inline constexpr int kDataFolderFormat = 1;

/// Held open while the process lives; the lock ends with it. Not thread safe.
class DataFolder {
 public:
  /// Opens a folder, or initialises an empty one.
  /// @param fresh_incarnation used when the folder is initialised; must never repeat.
  /// @return kFailedPrecondition when another process holds the lock; kIncompatibleFormat for an
  ///     unknown version; kInvalidSettings when the folder belongs to another id; kStorageCorrupt
  ///     when it holds data but not whose.
  static Result<DataFolder> Open(FileSystem& files, const std::string& path, ControlId id,
                                 DiskIncarnation fresh_incarnation);

  DiskIncarnation incarnation() const { return incarnation_; }
  bool initialised_now() const { return initialised_now_; }

 private:
  DataFolder() = default;

  std::unique_ptr<FileLock> lock_;
  DiskIncarnation incarnation_;
  bool initialised_now_ = false;
};

/// Draws an incarnation from the operating system's random source; never 0.
DiskIncarnation GenerateIncarnation();

}  // namespace graniteseam::storage
