#include "src/storage/consensus_storage.h"

namespace graniteseam::storage {
namespace {

/// File that marks a folder as initialised for the bootstrap of a group.
constexpr const char* kBootstrapMarkerName = "founding";

}  // namespace

ConsensusStorage::ConsensusStorage(FileSystem& files, const StorageOptions& options,
                                   DataFolder folder, std::unique_ptr<LogStore> log)
    : files_(files),
      options_(options),
      folder_(std::move(folder)),
      snapshots_(files, options.folder),
      log_(std::move(log)) {}

Result<std::unique_ptr<ConsensusStorage>> ConsensusStorage::Open(FileSystem& files,
                                                                 const StorageOptions& options) {
  const DiskIncarnation fresh =
      options.fresh_incarnation ? *options.fresh_incarnation : GenerateIncarnation();
  BOOST_LEAF_AUTO(folder, DataFolder::Open(files, options.folder, options.id, fresh));
  // The snapshot goes first, so that the entries that it covers are not held while the log is read.
  BOOST_LEAF_AUTO(stored, SnapshotStore(files, options.folder).Load());
  const LogIndex covered = stored ? stored->snapshot.last_index : LogIndex{};
  BOOST_LEAF_AUTO(log, LogStore::Open(files, options.folder, options.segment_bytes, covered));
  std::unique_ptr<ConsensusStorage> storage(
      new ConsensusStorage(files, options, std::move(folder), std::move(log)));
  BOOST_LEAF_CHECK(storage->Recover(std::move(stored)));
  return storage;
}

Result<void> ConsensusStorage::Recover(std::optional<StoredSnapshot> stored) {
  LogContent content = log_->TakeContent();
  torn_bytes_ = content.torn_bytes;
  recovered_.self = {options_.id, folder_.incarnation(), options_.address, options_.zone};
  recovered_.hard_state = content.hard_state;
  BOOST_LEAF_AUTO(bootstrapping, EnsureBootstrapMarker());
  recovered_.bootstrap = options_.bootstrap;
  if (bootstrapping && !recovered_.bootstrap) recovered_.bootstrap = options_.configured_voters;
  recovered_.seeds = options_.seeds;
  BOOST_LEAF_CHECK(RecoverEntries(std::move(content), stored));
  if (stored) recovered_.snapshot = std::move(stored->snapshot);
  return {};
}

Result<bool> ConsensusStorage::EnsureBootstrapMarker() {
  const std::string path = options_.folder + "/" + kBootstrapMarkerName;
  if (files_.Exists(path)) return true;
  if (!folder_.initialised_now() || !options_.bootstrap) return false;
  BOOST_LEAF_CHECK(
      WriteFileAtomically(files_, options_.folder, kBootstrapMarkerName, "founding\n"));
  return true;
}

Result<void> ConsensusStorage::RecoverEntries(LogContent content,
                                              const std::optional<StoredSnapshot>& stored) {
  LogIndex previous;
  if (stored) {
    previous = stored->snapshot.last_index;
    const LogReplacement replacement{previous, stored->snapshot.last_term};
    if (stored->replaces_log && content.replaced_by != replacement) {
      // A crash happened after the snapshot was saved and before the log frame that replaces the
      // older log: writes that frame now.
      LogBatch batch;
      batch.replaced_by = replacement;
      BOOST_LEAF_CHECK(log_->Append(batch));
      content.entries.clear();
    }
  }
  for (auto& [index, entry] : content.entries) {
    if (index <= previous) continue;
    if (index != previous.Next()) {
      return Fail(ErrorKind::kStorageCorrupt,
                  "The log in " + options_.folder + " lacks entry " +
                      std::to_string(previous.Next().value) + ".",
                  "Replace this control process's disk as described in "
                  "docs/operations/replacing-a-control-disk.md.");
    }
    previous = index;
    recovered_.entries.push_back(std::move(entry));
  }
  return {};
}

Result<void> ConsensusStorage::Persist(const consensus::PersistRequest& request) {
  LogBatch batch;
  if (request.snapshot) {
    // A truncation directly after the snapshot, or before it when requests were merged, replaces
    // the whole log on disk, because its entries may conflict with the leader's.
    const bool replaces_log =
        request.truncate_from && *request.truncate_from <= request.snapshot->last_index.Next();
    BOOST_LEAF_CHECK(snapshots_.Save(*request.snapshot, replaces_log));
    if (replaces_log) {
      batch.replaced_by = {request.snapshot->last_index, request.snapshot->last_term};
    }
  }
  batch.truncate_from = request.truncate_from;
  batch.entries = request.entries;
  batch.hard_state = request.hard_state;
  const bool has_batch = batch.replaced_by || batch.truncate_from || !batch.entries.empty() ||
                         batch.hard_state.has_value();
  if (has_batch) BOOST_LEAF_CHECK(log_->Append(batch));
  if (request.snapshot) BOOST_LEAF_CHECK(log_->DropThrough(request.snapshot->last_index));
  return {};
}

bool ConsensusStorage::SpaceIsLow() {
  const auto free = Attempt([&] { return files_.FreeBytes(options_.folder); });
  const auto* bytes = std::get_if<std::uint64_t>(&free);
  return bytes == nullptr || *bytes < options_.low_space_bytes;
}

}  // namespace graniteseam::storage
