/// @file
/// What the stand-ins write down, one JSON object a line: leases and runs by servers, answers by
/// callers, bundle versions by the fleet's observer. The history checker reads them all back.
///
/// Times are microseconds of CLOCK_BOOTTIME. All processes of a fleet run on one machine, so their
/// times can be compared; the product itself never does so.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/lease/grant.h"

namespace graniteseam::testbed {

/// A server took a lease message: from `taken_us` until `valid_until_us` it owns `held`, unless a
/// later record of the same server says otherwise. The first record of each start owns nothing: it
/// ends whatever an earlier start of the same server owned.
struct LeaseRecord {
  std::string server;
  std::uint64_t incarnation = 0;
  std::int64_t taken_us = 0;
  std::int64_t valid_until_us = 0;
  /// The shards that may start new requests; absent when they are those of the record before.
  std::optional<std::vector<lease::ShardGrant>> held;

  bool operator==(const LeaseRecord&) const = default;
};

/// A server made the effect of one request durable. Writing this line is that effect.
struct RunRecord {
  std::string server;
  std::uint64_t incarnation = 0;
  std::string service;
  std::string key;            ///< Empty for a pooled service.
  std::uint32_t shard = 0;    ///< Keyed services only.
  std::uint64_t epoch = 0;    ///< Keyed services only.
  std::string operation;      ///< Empty for a service whose requests may be repeated.
  std::string nonce;          ///< The caller's mark of this request.
  std::string attempt;        ///< The router's attempt id.
  std::int64_t begun_us = 0;  ///< Ownership was checked and the work began.
  std::int64_t ended_us = 0;  ///< Ownership was checked again, right before this line.

  bool operator==(const RunRecord&) const = default;
};

/// What a caller was told about one sending.
struct AnswerRecord {
  std::string nonce;      ///< The same for all sendings of one operation.
  std::string operation;  ///< Empty for a service whose requests may be repeated.
  std::string service;
  std::string key;
  std::string group;
  std::string router;            ///< Address that it was sent to.
  std::uint32_t sending = 0;     ///< Counted from 1 for each nonce.
  std::int64_t due_us = 0;       ///< When the load's schedule wanted it sent.
  std::int64_t deadline_us = 0;  ///< How long after that the caller wants the answer at most.
  std::int64_t sent_us = 0;
  std::int64_t answered_us = 0;
  std::string outcome;  ///< Graniteseam-Outcome, or "none" when no answer came.
  std::string kind;     ///< Error kind of the problem body; empty for a server's answer.
  int status = 0;
  bool own = true;    ///< The answer, if it came from a server, was this request's own.
  bool whole = true;  ///< The answer, if it came from a server, had its full length.

  bool operator==(const AnswerRecord&) const = default;
};

/// A process, or the control group as a whole, was seen to apply a bundle version.
struct VersionRecord {
  std::string process;  ///< kInForceProcess for the answer of a control leader.
  std::uint64_t version = 0;
  std::int64_t asked_us = 0;
  std::int64_t seen_us = 0;
  bool accepted = false;  ///< An operator was told that this version is rolled.

  static constexpr const char* kInForceProcess = "in-force";

  bool operator==(const VersionRecord&) const = default;
};

/// A server was told to take no new work from now on, or to take it again.
struct LeavingRecord {
  std::string server;
  std::int64_t at_us = 0;
  bool leaving = true;

  bool operator==(const LeavingRecord&) const = default;
};

using Record = std::variant<LeaseRecord, RunRecord, AnswerRecord, VersionRecord, LeavingRecord>;

/// Writes a record as one line without its line end.
std::string EncodeRecord(const Record& record);

/// @return kMalformedMessage when the line is no record.
Result<Record> DecodeRecord(const std::string& line);

/// Reads all records of a file. A last line without line end was cut by a kill and is ignored: its
/// effect never became durable.
/// @return kNotFound for a missing file, kMalformedMessage for any other bad line.
Result<std::vector<Record>> ReadRecords(const std::string& path);

}  // namespace graniteseam::testbed
