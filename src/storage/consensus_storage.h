/// @file
/// Durable state of one consensus member: data folder, log and snapshot behind one class.
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

struct StorageOptions {
  std::string folder;
  ControlId id;
  std::string address;  ///< "ip:port" of this process's internal port.
  ZoneName zone;
  /// Set only at a group's first start: the first voters, disks 0 where unknown.
  std::optional<consensus::Membership> bootstrap;
  /// The first voters as every start names them. A folder that was made for founding goes on
  /// founding with them after a restart, until the group exists.
  std::optional<consensus::Membership> configured_voters;
  /// Where to announce this process while it is in no membership; disks 0.
  std::vector<consensus::Member> seeds;
  std::size_t segment_bytes = 16UL << 20U;
  /// With less free space than this, SpaceIsLow() asks the caller to refuse new work in time.
  std::uint64_t low_space_bytes = 64UL << 20U;
  /// Given by the simulator; drawn from the operating system otherwise.
  std::optional<DiskIncarnation> fresh_incarnation;
};

/// Not thread safe. Lifecycle: Open(), TakeRecovered() once, then Persist() for each request in the
/// order in which the consensus returned them.
///
/// When Persist() returns kStorageFull, nothing was forgotten: give the same request again later
/// and do not step the consensus meanwhile, so that no promise is made that is not on disk. What
/// was applied before may still be read. After any other error the process must stop.
class ConsensusStorage {
 public:
  /// @param files must outlive the storage.
  /// @return errors of DataFolder::Open(), LogStore::Open() and SnapshotStore::Load().
  static Result<std::unique_ptr<ConsensusStorage>> Open(FileSystem& files,
                                                        const StorageOptions& options);

  /// What the disk holds; moved out once.
  consensus::RecoveredState TakeRecovered() { return std::move(recovered_); }

  /// Makes a request durable in the order snapshot, truncation, entries, hard state. Repeating a
  /// request that failed with kStorageFull is harmless.
  Result<void> Persist(const consensus::PersistRequest& request);

  /// Whether new work should be refused while there is still space for the group's own entries.
  bool SpaceIsLow();

  /// Bytes of a torn tail that Open() cut; for the log.
  std::uint64_t torn_bytes() const { return torn_bytes_; }

 private:
  ConsensusStorage(FileSystem& files, const StorageOptions& options, DataFolder folder,
                   std::unique_ptr<LogStore> log);

  Result<void> Recover();
  /// Remembers that this folder was made for founding, or finds that it was.
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
