/// @file
/// The history checker: decides from the stand-ins' records whether what must always hold held.
///
/// The records are written by servers and callers, not by the product, so a fault of the product
/// can't hide itself. Each check can fail; tests/testbed/history_test.cc shows histories that do.
#pragma once

#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "testbed/support/record.h"

namespace graniteseam::testbed {

/// All records of one run of a fleet. Those of one server must be in the order of its file.
struct History {
  std::vector<LeaseRecord> leases;
  std::vector<RunRecord> runs;
  std::vector<AnswerRecord> answers;
  std::vector<VersionRecord> versions;
  std::vector<LeavingRecord> leavings;

  void Add(std::vector<Record> records);
};

/// Reads all files named *.record in a folder.
Result<History> ReadHistory(const std::string& folder);

enum class ViolationKind {
  kTwoOwners,         ///< Two servers owned one shard at the same instant.
  kEpochWentBack,     ///< A shard was owned at a lower epoch after a higher one.
  kDoubledRun,        ///< An operation that may not be repeated ran twice.
  kRanThoughNotRun,   ///< A caller was told `not_run` and it ran.
  kLostRun,           ///< A caller was told that a server answered, and no server ran it.
  kCrossedAnswer,     ///< A caller got another request's answer.
  kTornAnswer,        ///< A caller got a part of an answer.
  kVersionWentBack,   ///< A bundle version was replaced by a lower one.
  kWorkAfterLeaving,  ///< A leaving server got new work later than a few seconds.
};

/// For example "two_owners".
std::string ViolationName(ViolationKind kind);

struct Violation {
  ViolationKind kind;
  std::string description;
};

/// Runs all checks.
std::vector<Violation> CheckHistory(const History& history);

/// At any instant a shard has at most one owning server, and its epochs only grow.
std::vector<Violation> CheckOwners(const History& history);
/// An operation runs at most once; what callers were told about runs is true.
std::vector<Violation> CheckRuns(const History& history);
/// Every caller gets its own whole answer.
std::vector<Violation> CheckAnswers(const History& history);
/// A leaving server receives no new work after kLeavingGraceUs.
std::vector<Violation> CheckLeaving(const History& history);
inline constexpr std::int64_t kLeavingGraceUs = 5'000'000;

/// No accepted bundle version is ever replaced by a lower one.
std::vector<Violation> CheckVersions(const History& history);

}  // namespace graniteseam::testbed
