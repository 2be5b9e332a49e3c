/// @file
/// Durable state of one consensus member: its data folder, log and snapshot.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/consensus/raft_consensus.h"
#include "src/storage/data_folder.h"
#include "src/storage/file_system.h"
#include "src/storage/log_store.h"
#include "src/storage/snapshot_store.h"

namespace graniteseam::storage {

/// Settings of ConsensusStorage.
struct StorageOptions {
  std::string folder;  ///< Path of the data folder.
  ControlId id;
  std::string address;  ///< "ip:port" of this process's internal port.
  ZoneName zone;
  /// The initial voters; set only at a group's first start. Unknown disk incarnations are 0.
  std::optional<consensus::Membership> bootstrap;
  /// The initial voters as configured at every start. A folder that was initialised for bootstrap
  /// continues the bootstrap with them after a restart, until the group exists.
  std::optional<consensus::Membership> configured_voters;
  /// Members to which this process announces itself while outside the membership. Their
  /// disk incarnations are 0.
  std::vector<consensus::Member> seeds;
  std::size_t segment_bytes = 4UL << 20U;  ///< Size at which a new log segment is started.
  /// SpaceIsLow() returns true below this much free space, so that the caller refuses new work
  /// before the disk is full.
  std::uint64_t low_space_bytes = 64UL << 20U;
  /// Incarnation for a new folder. Set by the simulator; otherwise generated from the operating
  /// system's random source.
  std::optional<DiskIncarnation> fresh_incarnation;
};

/// Storage of one consensus member. Not thread safe. Lifecycle: Open(), TakeRecovered() once, then
/// Persist() for each request in the order in which the consensus returned them.
///
/// When Persist() returns kStorageFull, no durable state is lost: the caller repeats the same
/// request later and does not step the consensus meanwhile, so that nothing is acknowledged that is
/// not on disk. State applied before stays readable. After any other error the process must stop.
class ConsensusStorage {
 public:
  /// @param files must outlive the storage.
  /// @return errors of DataFolder::Open(), LogStore::Open() and SnapshotStore::Load().
  static Result<std::unique_ptr<ConsensusStorage>> Open(FileSystem& files,
                                                        const StorageOptions& options);

  /// The recovered state until it is taken.
  const consensus::RecoveredState& recovered() const { return recovered_; }
  /// Moves out the recovered state; call it once.
  consensus::RecoveredState TakeRecovered() { return std::move(recovered_); }

  /// Makes a request durable in the order snapshot, truncation, entries, hard state. Repeating a
  /// request that failed with kStorageFull is harmless.
  Result<void> Persist(const consensus::PersistRequest& request);

  /// Whether free space is below StorageOptions::low_space_bytes or cannot be determined. New work
  /// is then refused while space remains for the group's own entries.
  bool SpaceIsLow();

  /// Bytes of the torn tail that Open() truncated, for logging.
  std::uint64_t torn_bytes() const { return torn_bytes_; }

 private:
  ConsensusStorage(FileSystem& files, const StorageOptions& options, DataFolder folder,
                   std::unique_ptr<LogStore> log);

  Result<void> Recover(std::optional<StoredSnapshot> stored);
  /// Writes the bootstrap marker into a new folder when StorageOptions::bootstrap is set.
  /// @return whether the folder holds the marker.
  Result<bool> EnsureBootstrapMarker();
  Result<void> RecoverEntries(LogContent content, const std::optional<StoredSnapshot>& stored);

  FileSystem& files_;
  const StorageOptions options_;
  DataFolder folder_;
  SnapshotStore snapshots_;
  std::unique_ptr<LogStore> log_;
  consensus::RecoveredState recovered_;
  std::uint64_t torn_bytes_ = 0;
};

}  // namespace graniteseam::storage
