/// @file
/// Data folder, snapshots and recovery together; the POSIX file system.
#include "src/storage/consensus_storage.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>

#include "src/storage/memory_file_system.h"
#include "src/storage/posix_file_system.h"

using graniteseam::Attempt;
using graniteseam::ControlId;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::LogIndex;
using graniteseam::Term;
using graniteseam::consensus::EntryKind;
using graniteseam::consensus::PersistRequest;
using graniteseam::consensus::Snapshot;
using graniteseam::storage::ConsensusStorage;
using graniteseam::storage::FileSystem;
using graniteseam::storage::MemoryFileSystem;
using graniteseam::storage::PosixFileSystem;
using graniteseam::storage::StorageOptions;

namespace {

using Storage = std::unique_ptr<ConsensusStorage>;

StorageOptions OptionsIn(const std::string& folder) {
  StorageOptions options;
  options.folder = folder;
  options.id = ControlId{3};
  options.address = "127.0.0.1:1";
  return options;
}

Storage OpenStorage(FileSystem& files, const StorageOptions& options = OptionsIn("/data")) {
  auto outcome = Attempt([&] { return ConsensusStorage::Open(files, options); });
  const auto* error = ErrorOf(outcome);
  cr_assert_null(error, "%s", error != nullptr ? error->message.c_str() : "");
  return std::move(std::get<Storage>(outcome));
}

std::optional<ErrorKind> ErrorOfOpening(FileSystem& files, const StorageOptions& options) {
  const auto outcome = Attempt([&] { return ConsensusStorage::Open(files, options); });
  const auto* error = ErrorOf(outcome);
  return error == nullptr ? std::nullopt : std::optional(error->kind);
}

std::optional<ErrorKind> Persist(ConsensusStorage& storage, const PersistRequest& request) {
  const auto outcome = Attempt([&] { return storage.Persist(request); });
  const auto* error = ErrorOf(outcome);
  return error == nullptr ? std::nullopt : std::optional(error->kind);
}

PersistRequest Entries(std::uint64_t first, std::uint64_t last, std::uint64_t term) {
  PersistRequest request;
  for (auto index = first; index <= last; ++index) {
    request.entries.push_back({Term{term}, LogIndex{index}, EntryKind::kCommand, "command"});
  }
  return request;
}

PersistRequest SnapshotAt(std::uint64_t index, std::uint64_t term, bool replaces_log) {
  PersistRequest request;
  request.snapshot =
      std::make_shared<const Snapshot>(Snapshot{LogIndex{index}, Term{term}, {}, "state"});
  if (replaces_log) request.truncate_from = LogIndex{index + 1};
  return request;
}

void CheckRoundTrip(FileSystem& files, const StorageOptions& options) {
  auto storage = OpenStorage(files, options);
  const auto self = storage->TakeRecovered().self;
  cr_assert_neq(self.disk.value, 0U);
  cr_assert_not(Persist(*storage, Entries(1, 10, 2)).has_value());
  cr_assert_not(Persist(*storage, SnapshotAt(8, 2, false)).has_value());
  PersistRequest vote;
  vote.hard_state = {Term{3}, self};
  cr_assert_not(Persist(*storage, vote).has_value());
  cr_assert(ErrorOfOpening(files, options) == ErrorKind::kFailedPrecondition);
  storage.reset();
  const auto recovered = OpenStorage(files, options)->TakeRecovered();
  cr_assert(recovered.self == self);
  cr_assert(recovered.hard_state == *vote.hard_state);
  cr_assert(recovered.snapshot == *SnapshotAt(8, 2, false).snapshot);
  cr_assert_eq(recovered.entries.size(), 2U);
}

}  // namespace

Test(consensus_storage, comes_back_from_memory) {
  MemoryFileSystem files;
  CheckRoundTrip(files, OptionsIn("/data"));
}

Test(consensus_storage, comes_back_from_files) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("graniteseam-storage-test-" + std::to_string(getpid()));
  PosixFileSystem files;
  CheckRoundTrip(files, OptionsIn((folder / "data").string()));
  std::filesystem::remove_all(folder);
}

Test(consensus_storage, a_lost_disk_comes_back_as_another_incarnation) {
  MemoryFileSystem files;
  const auto before = OpenStorage(files)->TakeRecovered().self;
  files.LoseDisk();
  cr_assert_neq(OpenStorage(files)->TakeRecovered().self.disk.value, before.disk.value);
}

Test(consensus_storage, refuses_the_folder_of_another_id) {
  MemoryFileSystem files;
  OpenStorage(files);
  auto other = OptionsIn("/data");
  other.id = ControlId{4};
  cr_assert(ErrorOfOpening(files, other) == ErrorKind::kInvalidSettings);
}

Test(consensus_storage, refuses_data_without_an_identity) {
  MemoryFileSystem files;
  cr_assert_not(Persist(*OpenStorage(files), Entries(1, 1, 1)).has_value());
  cr_assert_null(ErrorOf(Attempt([&] { return files.Remove("/data/identity"); })));
  cr_assert(ErrorOfOpening(files, OptionsIn("/data")) == ErrorKind::kStorageCorrupt);
}

Test(consensus_storage, a_damaged_snapshot_stops_the_opening) {
  MemoryFileSystem files;
  cr_assert_not(Persist(*OpenStorage(files), SnapshotAt(5, 1, true)).has_value());
  files.FlipBit("/data/snapshot", files.SizeOf("/data/snapshot") / 2, 3);
  cr_assert(ErrorOfOpening(files, OptionsIn("/data")) == ErrorKind::kStorageCorrupt);
}

namespace {

/// @param truncate_from at most 11; lower when requests were joined.
void CheckOldLogStaysAway(std::uint64_t truncate_from) {
  MemoryFileSystem files;
  {
    auto storage = OpenStorage(files);
    cr_assert_not(Persist(*storage, Entries(1, 12, 1)).has_value());
    files.SetCapacity(1'000'000);
    // The snapshot's own sync passes; the log's sync fails, as when power goes in between.
    PersistRequest request = SnapshotAt(10, 5, true);
    request.truncate_from = LogIndex{truncate_from};
    files.FailSyncsAfter(1, 1);
    cr_assert(Persist(*storage, request) == ErrorKind::kStorageIo);
  }
  files.LosePower();
  for (int time = 0; time < 2; ++time) {
    auto storage = OpenStorage(files);
    const auto recovered = storage->TakeRecovered();
    cr_assert(recovered.snapshot->last_index == LogIndex{10});
    cr_assert(recovered.entries.empty());
    files.LosePower();
  }
  auto storage = OpenStorage(files);
  cr_assert_not(Persist(*storage, Entries(11, 11, 5)).has_value());
  files.LosePower();
  cr_assert_eq(OpenStorage(files)->TakeRecovered().entries.size(), 1U);
}

}  // namespace

Test(consensus_storage, a_crash_between_snapshot_and_log_does_not_bring_the_old_log_back) {
  CheckOldLogStaysAway(11);
}

Test(consensus_storage, nor_does_one_in_joined_requests) { CheckOldLogStaysAway(8); }

Test(consensus_storage, a_full_disk_refuses_a_snapshot_and_takes_it_later) {
  MemoryFileSystem files;
  auto storage = OpenStorage(files);
  cr_assert_not(Persist(*storage, Entries(1, 5, 1)).has_value());
  files.SetCapacity(0);
  cr_assert(storage->SpaceIsLow());
  cr_assert(Persist(*storage, SnapshotAt(5, 1, false)) == ErrorKind::kStorageFull);
  files.SetCapacity(std::nullopt);
  cr_assert_not(storage->SpaceIsLow());
  cr_assert_not(Persist(*storage, SnapshotAt(5, 1, false)).has_value());
  files.LosePower();
  cr_assert(OpenStorage(files)->TakeRecovered().snapshot.has_value());
}
