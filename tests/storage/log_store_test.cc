/// @file
/// The log on disk: recovery, torn tails, corruption, full disks, failing syncs, segments.
#include "src/storage/log_store.h"

#include <criterion/criterion.h>

#include "src/storage/memory_file_system.h"
#include "src/storage/segment_name.h"

using graniteseam::Attempt;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;
using graniteseam::LogIndex;
using graniteseam::Term;
using graniteseam::consensus::EntryKind;
using graniteseam::consensus::LogEntry;
using graniteseam::storage::LogBatch;
using graniteseam::storage::LogContent;
using graniteseam::storage::LogStore;
using graniteseam::storage::MemoryFileSystem;
using graniteseam::storage::SegmentName;

namespace {

const std::string kFolder = "/data";
constexpr std::size_t kSegmentBytes = 4'096;

std::string FirstSegment() { return kFolder + "/" + SegmentName(1); }

LogBatch Entries(std::uint64_t first, std::uint64_t last, std::size_t bytes = 20) {
  LogBatch batch;
  for (auto index = first; index <= last; ++index) {
    batch.entries.push_back(
        {Term{1}, LogIndex{index}, EntryKind::kCommand, std::string(bytes, 'x')});
  }
  return batch;
}

std::unique_ptr<LogStore> OpenStore(MemoryFileSystem& files) {
  auto outcome = Attempt([&] { return LogStore::Open(files, kFolder, kSegmentBytes); });
  cr_assert_null(ErrorOf(outcome));
  return std::move(std::get<std::unique_ptr<LogStore>>(outcome));
}

std::optional<ErrorKind> ErrorOfOpening(MemoryFileSystem& files) {
  const auto outcome = Attempt([&] { return LogStore::Open(files, kFolder, kSegmentBytes); });
  const auto* error = ErrorOf(outcome);
  if (error == nullptr) return std::nullopt;
  cr_assert_not(error->remedy.empty());
  return error->kind;
}

std::optional<ErrorKind> ErrorOfAppending(LogStore& store, const LogBatch& batch) {
  const auto outcome = Attempt([&] { return store.Append(batch); });
  const auto* error = ErrorOf(outcome);
  return error == nullptr ? std::nullopt : std::optional(error->kind);
}

void Append(LogStore& store, const LogBatch& batch) {
  cr_assert_not(ErrorOfAppending(store, batch).has_value());
}

}  // namespace

Test(log_store, what_was_appended_survives_a_loss_of_power) {
  MemoryFileSystem files;
  auto store = OpenStore(files);
  LogBatch batch = Entries(1, 3);
  batch.hard_state = {Term{4}, std::nullopt};
  Append(*store, batch);
  LogBatch cut;
  cut.truncate_from = LogIndex{3};
  Append(*store, cut);
  files.LosePower();
  const LogContent content = OpenStore(files)->TakeContent();
  cr_assert_eq(content.entries.size(), 2U);
  cr_assert(content.hard_state.term == Term{4});
  cr_assert_eq(content.torn_bytes, 0U);
}

Test(log_store, a_torn_tail_is_cut_and_all_before_it_kept) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    MemoryFileSystem files(seed);
    auto store = OpenStore(files);
    Append(*store, Entries(1, 2));
    files.FailSyncs(1);  // The bytes are written but not synced, as when power goes in between.
    cr_assert(ErrorOfAppending(*store, Entries(3, 3, 1'500)) == ErrorKind::kStorageIo);
    files.LosePower();
    auto reopened = OpenStore(files);
    const auto held = reopened->TakeContent().entries.size();
    cr_assert(held == 2 || held == 3, "seed %lu", seed);
    Append(*reopened, Entries(held + 1, 5));
    files.LosePower();
    cr_assert_eq(OpenStore(files)->TakeContent().entries.size(), 5U);
  }
}

Test(log_store, any_flipped_bit_of_synced_frames_stops_the_opening) {
  MemoryFileSystem files;
  Append(*OpenStore(files), Entries(1, 2));
  Append(*OpenStore(files), Entries(3, 4));
  const auto size = files.SizeOf(FirstSegment());
  for (std::uint64_t byte = 0; byte < size; ++byte) {
    files.FlipBit(FirstSegment(), byte, static_cast<int>(byte % 8));
    cr_assert(ErrorOfOpening(files) == ErrorKind::kStorageCorrupt, "byte %lu", byte);
    files.FlipBit(FirstSegment(), byte, static_cast<int>(byte % 8));
  }
  cr_assert_not(ErrorOfOpening(files).has_value());
}

Test(log_store, a_missing_segment_stops_the_opening) {
  MemoryFileSystem files;
  auto store = OpenStore(files);
  for (std::uint64_t index = 1; index <= 10; ++index) Append(*store, Entries(index, index, 1'000));
  cr_assert_gt(store->segment_count(), 2U);
  const auto names = Attempt([&] { return files.List(kFolder); });
  const auto& middle = std::get<std::vector<std::string>>(names)[1];
  cr_assert_null(ErrorOf(Attempt([&] { return files.Remove(kFolder + "/" + middle); })));
  cr_assert(ErrorOfOpening(files) == ErrorKind::kStorageCorrupt);
}

Test(log_store, a_full_disk_refuses_and_the_same_batch_passes_later) {
  MemoryFileSystem files;
  auto store = OpenStore(files);
  Append(*store, Entries(1, 2));
  files.SetCapacity(files.SizeOf(FirstSegment()) + 100);
  cr_assert(ErrorOfAppending(*store, Entries(3, 3, 500)) == ErrorKind::kStorageFull);
  cr_assert(ErrorOfAppending(*store, Entries(3, 3, 500)) == ErrorKind::kStorageFull);
  files.SetCapacity(std::nullopt);
  Append(*store, Entries(3, 3, 500));
  files.LosePower();
  cr_assert_eq(OpenStore(files)->TakeContent().entries.size(), 3U);
}

Test(log_store, a_disk_that_is_full_at_the_start_of_a_segment_keeps_the_hard_state) {
  MemoryFileSystem files;
  auto store = OpenStore(files);
  LogBatch first = Entries(1, 1, kSegmentBytes);
  first.hard_state = {Term{9}, std::nullopt};
  Append(*store, first);
  files.SetCapacity(files.SizeOf(FirstSegment()));
  cr_assert(ErrorOfAppending(*store, Entries(2, 2)) == ErrorKind::kStorageFull);
  files.SetCapacity(std::nullopt);
  Append(*store, Entries(2, 2));
  cr_assert_null(ErrorOf(Attempt([&] { return store->DropThrough(LogIndex{1}); })));
  files.LosePower();
  const LogContent content = OpenStore(files)->TakeContent();
  cr_assert(content.hard_state.term == Term{9});
  cr_assert_eq(content.entries.size(), 1U);
}

Test(log_store, a_failed_sync_stops_the_store_for_good) {
  MemoryFileSystem files;
  auto store = OpenStore(files);
  Append(*store, Entries(1, 1));
  files.FailSyncs(1);
  cr_assert(ErrorOfAppending(*store, Entries(2, 2)) == ErrorKind::kStorageIo);
  cr_assert(ErrorOfAppending(*store, Entries(2, 2)) == ErrorKind::kStorageIo);
}

Test(log_store, old_segments_go_and_the_rest_still_opens) {
  MemoryFileSystem files;
  auto store = OpenStore(files);
  for (std::uint64_t index = 1; index <= 40; ++index) Append(*store, Entries(index, index, 1'000));
  const auto before = store->segment_count();
  cr_assert_null(ErrorOf(Attempt([&] { return store->DropThrough(LogIndex{30}); })));
  cr_assert_lt(store->segment_count(), before);
  files.LosePower();
  const LogContent content = OpenStore(files)->TakeContent();
  cr_assert_eq(content.entries.rbegin()->first.value, 40U);
  cr_assert_leq(content.entries.begin()->first.value, 31U);
}

// A start held the entries that its snapshot covers as well, which was most of a large log.
Test(log_store, entries_that_the_snapshot_covers_are_left_out) {
  MemoryFileSystem files;
  auto store = OpenStore(files);
  Append(*store, Entries(1, 8));
  LogBatch replaced = Entries(5, 6);
  replaced.truncate_from = LogIndex{3};
  replaced.entries.insert(replaced.entries.begin(), {Term{2}, LogIndex{4}, EntryKind::kNoop, ""});
  replaced.entries.insert(replaced.entries.begin(), {Term{2}, LogIndex{3}, EntryKind::kNoop, ""});
  Append(*store, replaced);
  files.LosePower();
  auto opened = Attempt([&] { return LogStore::Open(files, kFolder, kSegmentBytes, LogIndex{4}); });
  cr_assert_null(ErrorOf(opened));
  auto reopened = std::move(std::get<std::unique_ptr<LogStore>>(opened));
  const LogContent content = reopened->TakeContent();
  cr_assert_eq(content.entries.size(), 2U);
  cr_assert_eq(content.entries.begin()->first.value, 5U);
  cr_assert_eq(content.entries.rbegin()->first.value, 6U);
  // The store itself still counts them: their segment holds entries beyond index 4.
  const auto segments = reopened->segment_count();
  cr_assert_null(ErrorOf(Attempt([&] { return reopened->DropThrough(LogIndex{4}); })));
  cr_assert_eq(reopened->segment_count(), segments);
}
