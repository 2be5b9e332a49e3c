// Whether bundle versions only grew.
#include <algorithm>
#include <map>

#include "testbed/history/history.h"

namespace graniteseam::testbed {

namespace {

/// The last version that each process showed before.
void CheckEachProcess(const std::vector<VersionRecord>& records,
                      std::vector<Violation>& violations) {
  std::map<std::string, std::uint64_t> newest;
  for (const auto& record : records) {
    // A process that has just started knows no version yet, and serves nobody then.
    if (record.accepted || record.version == 0) continue;
    auto& last = newest[record.process];
    if (record.version < last) {
      violations.push_back(
          {ViolationKind::kVersionWentBack, record.process + " showed bundle version " +
                                                std::to_string(record.version) + " after version " +
                                                std::to_string(last) + "."});
    }
    last = std::max(last, record.version);
  }
}

/// An answer of a leader shows at least what was accepted before it was asked.
void CheckAccepted(const std::vector<VersionRecord>& records, std::vector<Violation>& violations) {
  for (const auto& accepted : records) {
    if (!accepted.accepted) continue;
    for (const auto& shown : records) {
      const bool asked_later = !shown.accepted && shown.asked_us >= accepted.seen_us &&
                               shown.process == VersionRecord::kInForceProcess;
      if (!asked_later || shown.version >= accepted.version) continue;
      violations.push_back({ViolationKind::kVersionWentBack,
                            "Bundle version " + std::to_string(accepted.version) +
                                " was accepted at " + std::to_string(accepted.seen_us) +
                                " us, but version " + std::to_string(shown.version) +
                                " was in force at " + std::to_string(shown.asked_us) + " us."});
    }
  }
}

}  // namespace

std::vector<Violation> CheckVersions(const History& history) {
  auto records = history.versions;
  std::stable_sort(records.begin(), records.end(),
                   [](const VersionRecord& left, const VersionRecord& right) {
                     return left.seen_us < right.seen_us;
                   });
  std::vector<Violation> violations;
  CheckEachProcess(records, violations);
  CheckAccepted(records, violations);
  return violations;
}

}  // namespace graniteseam::testbed
