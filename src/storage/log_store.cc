#include "src/storage/log_store.h"

#include <algorithm>

#include "graniteseam/codec/codec.h"
#include "src/storage/frame.h"
#include "src/storage/segment_name.h"

namespace graniteseam::storage {

void LogContent::Apply(LogBatch batch) {
  if (batch.replaced_by) {
    entries.clear();
    replaced_by = batch.replaced_by;
  }
  if (batch.truncate_from) entries.erase(entries.lower_bound(*batch.truncate_from), entries.end());
  for (auto& entry : batch.entries) {
    const LogIndex index = entry.index;
    if (index > covered) entries.insert_or_assign(index, std::move(entry));
  }
  if (batch.hard_state) hard_state = *std::move(batch.hard_state);
}

LogStore::LogStore(FileSystem& files, std::string folder, std::size_t segment_bytes)
    : files_(files), folder_(std::move(folder)), segment_bytes_(segment_bytes) {}

Result<std::unique_ptr<LogStore>> LogStore::Open(FileSystem& files, std::string folder,
                                                 std::size_t segment_bytes, LogIndex covered) {
  std::unique_ptr<LogStore> store(new LogStore(files, std::move(folder), segment_bytes));
  store->content_.covered = covered;
  BOOST_LEAF_CHECK(store->Recover());
  return store;
}

std::string LogStore::PathOf(const Segment& segment) const {
  return folder_ + "/" + SegmentName(segment.first_sequence);
}

Result<void> LogStore::Append(const LogBatch& batch) {
  if (failed_) {
    return Fail(ErrorKind::kStorageIo,
                "The log in " + folder_ + " failed earlier and is closed for writes.",
                "Stop the process; restart it only once the disk is healthy.");
  }
  if (!newest_segment_file_ || segments_.back().size >= segment_bytes_)
    BOOST_LEAF_CHECK(StartSegment());
  if (segments_.back().size == 0) {
    // Older segments may be removed, so each segment begins with the hard state.
    LogBatch first;
    first.hard_state = hard_state_;
    BOOST_LEAF_CHECK(WriteFrame(first));
  }
  BOOST_LEAF_CHECK(WriteFrame(batch));
  if (batch.hard_state) hard_state_ = *batch.hard_state;
  return {};
}

Result<void> LogStore::WriteFrame(const LogBatch& batch) {
  Segment& segment = segments_.back();
  const std::string frame = EncodeFrame(next_sequence_, codec::Encode(batch));
  auto appended = Attempt([&] { return newest_segment_file_->Append(frame); });
  if (const Error* error = ErrorOf(appended)) {
    // Truncates a partial frame, so that the next frame follows a complete one.
    const auto truncation = Attempt([&] { return newest_segment_file_->Truncate(segment.size); });
    failed_ = ErrorOf(truncation) != nullptr || error->kind != ErrorKind::kStorageFull;
    return Fail(*error);
  }
  auto synced = Attempt([&] { return newest_segment_file_->Sync(); });
  if (const Error* error = ErrorOf(synced)) {
    failed_ = true;
    return Fail(*error);
  }
  segment.size += frame.size();
  ++next_sequence_;
  if (!batch.entries.empty()) {
    segment.highest = std::max(segment.highest, batch.entries.back().index);
  }
  return {};
}

Result<void> LogStore::StartSegment() {
  const Segment segment{next_sequence_, 0, {}};
  const std::string path = PathOf(segment);
  auto opened = Attempt([&]() -> Result<std::unique_ptr<AppendFile>> {
    BOOST_LEAF_AUTO(file, files_.OpenForAppend(path));
    BOOST_LEAF_CHECK(file->Truncate(0));  // Removes leftovers of a failed attempt.
    BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
    return file;
  });
  if (const Error* error = ErrorOf(opened)) {
    failed_ = error->kind != ErrorKind::kStorageFull;
    return Fail(*error);
  }
  newest_segment_file_ = std::move(std::get<std::unique_ptr<AppendFile>>(opened));
  segments_.push_back(segment);
  return {};
}

Result<void> LogStore::DropThrough(LogIndex index) {
  while (segments_.size() > 1 && segments_.front().highest <= index) {
    BOOST_LEAF_CHECK(files_.Remove(PathOf(segments_.front())));
    // Syncs after each removal, oldest first, so that a crash leaves no gap in the segments.
    BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
    segments_.pop_front();
  }
  return {};
}

}  // namespace graniteseam::storage
