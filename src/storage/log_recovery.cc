/// @file
/// Recovery of a LogStore when it is opened: replay, torn tails, detection of corruption.
#include <algorithm>
#include <charconv>

#include "graniteseam/codec/codec.h"
#include "src/storage/frame.h"
#include "src/storage/log_store.h"
#include "src/storage/segment_name.h"

namespace graniteseam::storage {
namespace {

constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::size_t kSequenceDigits = 20;
constexpr std::size_t kSectorBytes = 512;

/// Whether a sector at or after `begin`, where a frame begins, reads as zeros. A crash leaves this
/// where a sector was not written; bit rot does not. A few zeros at the end are no evidence, since
/// payloads may end with zeros.
bool HasZeroSector(std::string_view content, std::size_t begin) {
  for (bool first = true; begin < content.size(); first = false) {
    const std::size_t end = std::min(content.size(), (begin / kSectorBytes + 1) * kSectorBytes);
    const auto sector = content.substr(begin, end - begin);
    const bool zeros = sector.find_first_not_of('\0') == std::string_view::npos;
    if (zeros && (first || sector.size() >= kFrameHeaderBytes)) return true;
    begin = end;
  }
  return false;
}

}  // namespace

std::string SegmentName(std::uint64_t first_sequence) {
  const std::string digits = std::to_string(first_sequence);
  return std::string(kSegmentPrefix) + std::string(kSequenceDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> SegmentSequence(std::string_view name) {
  if (!name.starts_with(kSegmentPrefix)) return std::nullopt;
  name.remove_prefix(kSegmentPrefix.size());
  if (name.size() != kSequenceDigits) return std::nullopt;
  std::uint64_t sequence = 0;
  const auto parsed = std::from_chars(name.data(), name.data() + name.size(), sequence);
  if (parsed.ec != std::errc{} || parsed.ptr != name.data() + name.size()) return std::nullopt;
  return sequence;
}

boost::leaf::error_id LogStore::Corrupt(const std::string& what) const {
  return Fail(ErrorKind::kStorageCorrupt, what,
              "Do not repair the file. Replace this control process's disk as described in "
              "docs/operations/replacing-a-control-disk.md; the other voters hold the data.");
}

Result<void> LogStore::Recover() {
  BOOST_LEAF_AUTO(names, files_.List(folder_));
  std::vector<std::uint64_t> sequences;
  for (const std::string& name : names) {
    if (const auto sequence = SegmentSequence(name)) sequences.push_back(*sequence);
  }
  if (!sequences.empty()) next_sequence_ = sequences.front();
  for (const std::uint64_t sequence : sequences) {
    BOOST_LEAF_CHECK(RecoverSegment(sequence, sequence == sequences.back()));
  }
  hard_state_ = content_.hard_state;
  if (segments_.empty()) return {};
  BOOST_LEAF_ASSIGN(newest_segment_file_, files_.OpenForAppend(PathOf(segments_.back())));
  // Data of the previous process may have been read from the page cache only. Syncs it before any
  // state is derived from it.
  return newest_segment_file_->Sync();
}

Result<void> LogStore::RecoverSegment(std::uint64_t first_sequence, bool newest) {
  Segment segment{first_sequence, 0, {}};
  if (first_sequence != next_sequence_) {
    return Corrupt("The log in " + folder_ + " lacks the frames from " +
                   std::to_string(next_sequence_) + " to " + std::to_string(first_sequence - 1) +
                   ".");
  }
  const std::string path = PathOf(segment);
  BOOST_LEAF_AUTO(content, files_.Read(path));
  while (segment.size < content.size()) {
    const Frame frame = ReadFrame(std::string_view(content).substr(segment.size));
    const bool valid = frame.state == FrameState::kValid && frame.sequence == next_sequence_;
    if (!valid) {
      if (!newest) {
        return Corrupt(path + " is damaged at byte " + std::to_string(segment.size) + ".");
      }
      BOOST_LEAF_CHECK(TruncateTornTail(segment, content));
      break;
    }
    BOOST_LEAF_CHECK(ApplyFrame(frame.payload, segment));
    segment.size += frame.Bytes();
    ++next_sequence_;
  }
  segments_.push_back(segment);
  return {};
}

Result<void> LogStore::ApplyFrame(std::string_view payload, Segment& segment) {
  BOOST_LEAF_AUTO(batch, codec::Decode<LogBatch>(payload));
  for (const auto& entry : batch.entries) segment.highest = std::max(segment.highest, entry.index);
  content_.Apply(std::move(batch));
  return {};
}

Result<void> LogStore::TruncateTornTail(Segment& segment, std::string_view content) {
  const std::string_view tail = content.substr(segment.size);
  const Frame frame = ReadFrame(tail);
  // A frame is written only after the previous one is synced. A torn write is therefore at the very
  // end, and consists of missing bytes or of sectors that were never written. Anything else is
  // damage to synced data; truncating it would discard acknowledged entries and votes.
  const bool torn = frame.state == FrameState::kTruncated || HasZeroSector(content, segment.size);
  if (!torn || HasLaterFrame(tail, next_sequence_)) {
    return Corrupt(PathOf(segment) + " is damaged at byte " + std::to_string(segment.size) + ".");
  }
  content_.torn_bytes = tail.size();
  BOOST_LEAF_AUTO(file, files_.OpenForAppend(PathOf(segment)));
  BOOST_LEAF_CHECK(file->Truncate(segment.size));
  return file->Sync();
}

}  // namespace graniteseam::storage
