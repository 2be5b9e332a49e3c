#include "testbed/history/history.h"

#include <algorithm>
#include <filesystem>
#include <iterator>

namespace graniteseam::testbed {

namespace {

void AddRecord(History& history, LeaseRecord record) {
  history.leases.push_back(std::move(record));
}
void AddRecord(History& history, RunRecord record) { history.runs.push_back(std::move(record)); }
void AddRecord(History& history, AnswerRecord record) {
  history.answers.push_back(std::move(record));
}
void AddRecord(History& history, VersionRecord record) {
  history.versions.push_back(std::move(record));
}

void AddRecord(History& history, LeavingRecord record) {
  history.leavings.push_back(std::move(record));
}

void Append(std::vector<Violation>& all, std::vector<Violation> more) {
  std::move(more.begin(), more.end(), std::back_inserter(all));
}

}  // namespace

void History::Add(std::vector<Record> records) {
  for (auto& record : records) {
    std::visit([this](auto& value) { AddRecord(*this, std::move(value)); }, record);
  }
}

Result<History> ReadHistory(const std::string& folder) {
  History history;
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator(folder, ignored)) {
    if (entry.path().extension() != ".record") continue;
    BOOST_LEAF_AUTO(records, ReadRecords(entry.path()));
    history.Add(std::move(records));
  }
  return history;
}

std::string ViolationName(ViolationKind kind) {
  switch (kind) {
    case ViolationKind::kTwoOwners:
      return "two_owners";
    case ViolationKind::kEpochWentBack:
      return "epoch_went_back";
    case ViolationKind::kDoubledRun:
      return "doubled_run";
    case ViolationKind::kRanThoughNotRun:
      return "ran_though_not_run";
    case ViolationKind::kLostRun:
      return "lost_run";
    case ViolationKind::kCrossedAnswer:
      return "crossed_answer";
    case ViolationKind::kTornAnswer:
      return "torn_answer";
    case ViolationKind::kVersionWentBack:
      return "version_went_back";
    case ViolationKind::kWorkAfterLeaving:
      return "work_after_leaving";
  }
  return "unknown";
}

std::vector<Violation> CheckHistory(const History& history) {
  auto violations = CheckOwners(history);
  Append(violations, CheckRuns(history));
  Append(violations, CheckAnswers(history));
  Append(violations, CheckVersions(history));
  Append(violations, CheckLeaving(history));
  return violations;
}

}  // namespace graniteseam::testbed
