/// @file
/// Storage of the latest snapshot.
#pragma once

#include <optional>
#include <string>

#include "graniteseam/consensus/types.h"
#include "src/storage/file_system.h"

namespace graniteseam::storage {

/// A snapshot with its effect on the log.
struct StoredSnapshot {
  consensus::Snapshot snapshot;
  bool replaces_log = false;  ///< Received from a leader; the log before it is discarded.
};
BOOST_DESCRIBE_STRUCT(StoredSnapshot, (), (snapshot, replaces_log))

/// Stores one snapshot in a folder, as one checksummed frame in the file "snapshot". Not thread
/// safe.
class SnapshotStore {
 public:
  SnapshotStore(FileSystem& files, std::string folder);

  /// Reads the snapshot; nullopt when there is none.
  /// @return kStorageCorrupt when the file does not pass its checksum.
  Result<std::optional<StoredSnapshot>> Load();

  /// Replaces the snapshot atomically: a crash leaves either the old or the new one complete.
  /// @param replaces_log as in StoredSnapshot.
  Result<void> Save(const consensus::Snapshot& snapshot, bool replaces_log);

 private:
  FileSystem& files_;
  const std::string folder_;
};

}  // namespace graniteseam::storage
