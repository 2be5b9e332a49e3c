/// @file
/// In-memory FileSystem that distinguishes synced from unsynced state and injects faults. For the
/// simulator and tests.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>

#include "src/storage/file_system.h"

namespace graniteseam::storage {

/// In-memory file system with fault injection. Not thread safe. Deterministic: equal seeds and
/// calls give equal faults.
class MemoryFileSystem : public FileSystem {
 public:
  explicit MemoryFileSystem(std::uint64_t seed = 1) : random_(seed) {}

  Result<void> CreateFolder(const std::string& path) override;
  Result<std::unique_ptr<AppendFile>> OpenForAppend(const std::string& path) override;
  Result<std::string> Read(const std::string& path) override;
  bool Exists(const std::string& path) override;
  Result<std::vector<std::string>> List(const std::string& folder) override;
  Result<void> Rename(const std::string& from, const std::string& to) override;
  Result<void> Remove(const std::string& path) override;
  Result<void> SyncFolder(const std::string& path) override;
  Result<std::unique_ptr<FileLock>> Lock(const std::string& path) override;
  Result<std::uint64_t> FreeBytes(const std::string& path) override;

  /// Simulates a power loss: unsynced names are lost; a random prefix of the unsynced bytes
  /// survives, in which whole sectors may read as zeros. All locks are released, and files opened
  /// before must not be used any more.
  void LosePower();
  /// Makes each later power loss decide at random, and independently for each name that was
  /// created, removed or renamed since its folder was synced, whether the change survives. One in
  /// four power losses loses all unsynced state.
  void RandomizeNameLoss() { randomize_name_loss_ = true; }
  /// Simulates the end of the process alone: all written data survives and locks are released.
  void EndProcess() { locks_.clear(); }
  /// Replaces the disk by an empty one.
  void LoseDisk();

  /// Appends beyond this total fail with kStorageFull after writing what fits.
  void SetCapacity(std::optional<std::uint64_t> bytes) { capacity_ = bytes; }
  /// The next `count` syncs fail with kStorageIo, and their bytes stay unsynced.
  void FailSyncs(int count) { FailSyncsAfter(0, count); }
  /// As FailSyncs(), after `passing` more successful syncs.
  void FailSyncsAfter(int passing, int count) {
    passing_syncs_ = passing;
    failing_syncs_ = count;
  }
  /// Flips one bit of a file.
  void FlipBit(const std::string& path, std::uint64_t byte, int bit);
  std::uint64_t SizeOf(const std::string& path) const;
  /// Number of successful file syncs.
  std::uint64_t syncs() const { return syncs_; }

 private:
  friend class MemoryAppendFile;

  struct Inode {
    std::string content;
    std::uint64_t synced_size = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<Inode>>;

  Result<void> AppendTo(Inode& inode, const std::string& path, std::string_view bytes);
  Result<void> SyncInode(Inode& inode, const std::string& path);
  std::uint64_t UsedBytes() const;
  void TearUnsynced(Inode& inode);
  Names NamesAfterPowerLoss();

  std::mt19937_64 random_;
  Names names_;         ///< As visible to the running process.
  Names synced_names_;  ///< As durable across a power loss.
  std::set<std::string> locks_;
  std::optional<std::uint64_t> capacity_;
  int passing_syncs_ = 0;  ///< Successful syncs before the failing ones.
  int failing_syncs_ = 0;
  std::uint64_t syncs_ = 0;
  bool randomize_name_loss_ = false;
};

}  // namespace graniteseam::storage
