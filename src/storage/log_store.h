/// @file
/// The replicated log and the hard state on disk: checksummed frames in segment files.
///
/// Each Append() writes one frame and syncs once, so a crash can tear only the last frame. A
/// segment is named by the sequence number of its first frame. The first frame of each segment
/// repeats the hard state, so that whole old segments can be removed.
#pragma once

#include <boost/describe/class.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "graniteseam/consensus/types.h"
#include "src/storage/file_system.h"

namespace graniteseam::storage {

/// Records that a snapshot replaced the whole log before this frame.
struct LogReplacement {
  LogIndex last_index;
  Term last_term;

  bool operator==(const LogReplacement&) const = default;
};
BOOST_DESCRIBE_STRUCT(LogReplacement, (), (last_index, last_term))

/// Content of one frame; applied in the order of the fields.
struct LogBatch {
  std::optional<LogReplacement> replaced_by;
  std::optional<LogIndex> truncate_from;
  std::vector<consensus::LogEntry> entries;
  std::optional<consensus::HardState> hard_state;
};
BOOST_DESCRIBE_STRUCT(LogBatch, (), (replaced_by, truncate_from, entries, hard_state))

/// The state that results from applying all frames.
struct LogContent {
  LogIndex covered;  ///< Entries up to here are in a snapshot, and are left out.
  consensus::HardState hard_state;
  std::map<LogIndex, consensus::LogEntry> entries;
  std::optional<LogReplacement> replaced_by;  ///< The latest one.
  std::uint64_t torn_bytes = 0;               ///< Truncated from the end.

  void Apply(LogBatch batch);
};

/// Append-only log in segment files. Not thread safe. After kStorageIo the store refuses all
/// appends: the content on disk is undefined, so the process must stop. After kStorageFull nothing
/// of the batch is retained, and the same batch may be appended again.
class LogStore {
 public:
  /// Reads all segments of a folder and truncates a torn tail.
  /// @param covered the last index of the snapshot; entries up to it are not kept in memory.
  /// @return kStorageCorrupt when a checksum fails elsewhere or a segment is missing.
  static Result<std::unique_ptr<LogStore>> Open(FileSystem& files, std::string folder,
                                                std::size_t segment_bytes, LogIndex covered = {});

  /// Moves out the content read by Open(); call it once.
  LogContent TakeContent() { return std::move(content_); }

  /// Makes a batch durable.
  Result<void> Append(const LogBatch& batch);

  /// Removes segments that hold no entry above `index`, except the newest segment.
  Result<void> DropThrough(LogIndex index);

  std::size_t segment_count() const { return segments_.size(); }

 private:
  struct Segment {
    std::uint64_t first_sequence = 0;
    std::uint64_t size = 0;  ///< Bytes of complete, synced frames.
    LogIndex highest;        ///< The highest entry index in the segment.
  };

  LogStore(FileSystem& files, std::string folder, std::size_t segment_bytes);

  Result<void> Recover();
  Result<void> RecoverSegment(std::uint64_t first_sequence, bool newest);
  Result<void> ApplyFrame(std::string_view payload, Segment& segment);
  Result<void> TruncateTornTail(Segment& segment, std::string_view content);
  Result<void> StartSegment();
  Result<void> WriteFrame(const LogBatch& batch);
  std::string PathOf(const Segment& segment) const;
  boost::leaf::error_id Corrupt(const std::string& what) const;

  FileSystem& files_;
  const std::string folder_;
  const std::size_t segment_bytes_;
  LogContent content_;
  consensus::HardState hard_state_;
  std::deque<Segment> segments_;
  std::uint64_t next_sequence_ = 1;
  std::unique_ptr<AppendFile> newest_segment_file_;
  bool failed_ = false;
};

}  // namespace graniteseam::storage
