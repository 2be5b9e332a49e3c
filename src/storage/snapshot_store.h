/// @file
/// The newest snapshot on disk.
#pragma once

#include <optional>
#include <string>

#include "graniteseam/consensus/types.h"
#include "src/storage/file_system.h"

namespace graniteseam::storage {

/// A snapshot with what its saving meant for the log.
struct StoredSnapshot {
  consensus::Snapshot snapshot;
  bool replaces_log = false;  ///< It came from a leader, and the log before it is void.
};
BOOST_DESCRIBE_STRUCT(StoredSnapshot, (), (snapshot, replaces_log))

/// Keeps one snapshot in a folder, as a file "snapshot" in one checksummed frame. Not thread safe.
class SnapshotStore {
 public:
  SnapshotStore(FileSystem& files, std::string folder);

  /// @return kStorageCorrupt when the file does not pass its checksum.
  Result<std::optional<StoredSnapshot>> Load();

  /// Replaces the snapshot: after a crash either the old one or the new one is there, whole.
  Result<void> Save(const StoredSnapshot& stored);

 private:
  FileSystem& files_;
  const std::string folder_;
};

}  // namespace graniteseam::storage
