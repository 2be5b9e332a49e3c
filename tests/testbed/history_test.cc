#include "testbed/history/history.h"

#include <criterion/criterion.h>

#include <algorithm>

using graniteseam::Epoch;
using graniteseam::ServiceName;
using graniteseam::ShardId;
using graniteseam::lease::ShardGrant;
using namespace graniteseam::testbed;

namespace {

constexpr std::int64_t kLease = 600;

LeaseRecord Lease(const std::string& server, std::uint64_t incarnation, std::int64_t taken,
                  std::optional<std::vector<std::uint64_t>> epochs_of_shard_1) {
  LeaseRecord record{server, incarnation, taken, taken + kLease, std::nullopt};
  if (!epochs_of_shard_1) return record;
  record.held.emplace();
  for (const auto epoch : *epochs_of_shard_1) {
    record.held->push_back({ShardId{ServiceName{"meters"}, 1}, Epoch{epoch}});
  }
  return record;
}

RunRecord Run(const std::string& server, const std::string& operation, std::int64_t begun,
              std::int64_t ended) {
  RunRecord run;
  run.server = server;
  run.incarnation = 1;
  run.service = "billing";
  run.operation = operation;
  run.nonce = operation;
  run.begun_us = begun;
  run.ended_us = ended;
  return run;
}

RunRecord KeyedRun(const std::string& server, std::uint64_t epoch, std::int64_t begun,
                   std::int64_t ended) {
  auto run = Run(server, "", begun, ended);
  run.service = "meters";
  run.shard = 1;
  run.epoch = epoch;
  run.nonce = "request-" + std::to_string(begun);
  return run;
}

AnswerRecord Answer(const std::string& nonce, const std::string& outcome, std::int64_t sent,
                    std::int64_t answered) {
  AnswerRecord answer;
  answer.nonce = nonce;
  answer.operation = nonce;
  answer.outcome = outcome;
  answer.status = outcome == "answered" || outcome == "kept" ? 200 : 503;
  answer.sent_us = sent;
  answer.answered_us = answered;
  return answer;
}

VersionRecord Version(const std::string& process, std::uint64_t version, std::int64_t at) {
  return {process, version, at, at, false};
}

std::size_t Count(const std::vector<Violation>& violations, ViolationKind kind) {
  return static_cast<std::size_t>(
      std::count_if(violations.begin(), violations.end(),
                    [&](const Violation& violation) { return violation.kind == kind; }));
}

bool Finds(const History& history, ViolationKind kind) {
  const auto violations = CheckHistory(history);
  return Count(violations, kind) == violations.size() && !violations.empty();
}

bool Clean(const History& history) { return CheckHistory(history).empty(); }

}  // namespace

Test(history, ownership_that_passes_on_when_the_old_lease_is_over_is_clean) {
  History history;
  history.leases = {Lease("a", 1, 0, {{1}}), Lease("a", 1, 300, std::nullopt),
                    Lease("b", 1, 900, {{2}})};
  cr_assert(Clean(history));
}

Test(history, finds_an_owner_that_begins_before_the_old_lease_is_over) {
  History history;
  history.leases = {Lease("a", 1, 0, {{1}}), Lease("a", 1, 300, std::nullopt),
                    Lease("b", 1, 899, {{2}})};
  cr_assert(Finds(history, ViolationKind::kTwoOwners));
}

Test(history, finds_two_owners_behind_a_short_overlap_of_others) {
  History history;
  history.leases = {Lease("a", 1, 0, {{1}}), Lease("a", 1, 550, std::nullopt),
                    Lease("b", 1, 700, {{2}})};
  history.runs = {KeyedRun("a", 1, 10, 20)};
  history.answers = {};
  cr_assert(Finds(history, ViolationKind::kTwoOwners));
}

Test(history, shard_released_before_its_lease_is_over_may_go_elsewhere_at_once) {
  History history;
  history.leases = {Lease("a", 1, 0, {{1}}), Lease("a", 1, 100, std::vector<std::uint64_t>{}),
                    Lease("b", 1, 100, {{2}})};
  cr_assert(Clean(history));
}

Test(history, finds_a_run_that_goes_on_after_its_shard_went_elsewhere) {
  History history;
  history.leases = {Lease("a", 1, 0, {{1}}), Lease("a", 1, 100, std::vector<std::uint64_t>{}),
                    Lease("b", 1, 150, {{2}})};
  history.runs = {KeyedRun("a", 1, 90, 200)};
  cr_assert(Finds(history, ViolationKind::kTwoOwners));
}

Test(history, restarted_server_owns_nothing_of_its_earlier_start) {
  History history;
  auto restart = Lease("a", 2, 100, std::vector<std::uint64_t>{});
  restart.valid_until_us = 0;
  history.leases = {Lease("a", 1, 0, {{1}}), restart, Lease("b", 1, 120, {{2}})};
  cr_assert(Clean(history));
}

Test(history, lease_that_lapsed_in_between_leaves_room_for_another_owner) {
  History history;
  history.leases = {Lease("a", 1, 0, {{1}}), Lease("a", 1, 1'300, std::nullopt),
                    Lease("b", 1, 600, {{1}})};
  history.leases[2].valid_until_us = 1'300;
  cr_assert(Clean(history));
}

Test(history, finds_an_epoch_that_goes_back) {
  History history;
  history.leases = {Lease("a", 1, 0, {{5}}), Lease("b", 1, 700, {{4}})};
  cr_assert(Finds(history, ViolationKind::kEpochWentBack));
}

Test(history, finds_an_operation_that_ran_twice) {
  History history;
  history.runs = {Run("a", "op", 10, 20), Run("b", "op", 30, 40)};
  history.answers = {Answer("op", "answered", 0, 50)};
  cr_assert(Finds(history, ViolationKind::kDoubledRun));
}

Test(history, repeatable_request_may_run_twice) {
  History history;
  history.runs = {Run("a", "", 10, 20), Run("b", "", 30, 40)};
  for (auto& run : history.runs) run.nonce = "request";
  history.answers = {Answer("request", "answered", 0, 50)};
  cr_assert(Clean(history));
}

Test(history, finds_a_run_of_what_was_told_not_run) {
  History history;
  history.runs = {Run("a", "op", 10, 20)};
  history.answers = {Answer("op", "not_run", 0, 5)};
  cr_assert(Finds(history, ViolationKind::kRanThoughNotRun));
}

Test(history, operation_told_not_run_may_run_at_a_later_sending) {
  History history;
  history.runs = {Run("a", "op", 30, 40)};
  history.answers = {Answer("op", "not_run", 0, 5), Answer("op", "answered", 20, 50)};
  cr_assert(Clean(history));
}

Test(history, finds_an_operation_told_not_run_after_an_earlier_sending_ran) {
  History history;
  history.runs = {Run("a", "op", 10, 20)};
  history.answers = {Answer("op", "none", 0, 30), Answer("op", "not_run", 40, 50)};
  cr_assert(Finds(history, ViolationKind::kRanThoughNotRun));
}

Test(history, finds_an_answer_that_no_server_gave) {
  History history;
  history.answers = {Answer("op", "answered", 0, 5)};
  cr_assert(Finds(history, ViolationKind::kLostRun));
}

Test(history, finds_crossed_and_torn_answers) {
  History history;
  history.runs = {Run("a", "op", 10, 20)};
  history.answers = {Answer("op", "answered", 0, 50)};
  history.answers[0].own = false;
  cr_assert(Finds(history, ViolationKind::kCrossedAnswer));
  history.answers[0].own = true;
  history.answers[0].whole = false;
  cr_assert(Finds(history, ViolationKind::kTornAnswer));
}

Test(history, finds_a_process_whose_bundle_version_goes_back) {
  History history;
  history.versions = {Version("router-1", 2, 10), Version("router-1", 0, 20),
                      Version("router-1", 1, 30)};
  cr_assert(Finds(history, ViolationKind::kVersionWentBack));
}

Test(history, finds_an_accepted_version_that_is_not_in_force_afterwards) {
  History history;
  auto accepted = Version("operator", 2, 10);
  accepted.accepted = true;
  history.versions = {accepted, Version(VersionRecord::kInForceProcess, 1, 20)};
  cr_assert(Finds(history, ViolationKind::kVersionWentBack));
}

Test(history, leader_asked_before_the_version_was_accepted_may_show_the_older_one) {
  History history;
  auto accepted = Version("operator", 2, 10);
  accepted.accepted = true;
  auto shown = Version(VersionRecord::kInForceProcess, 1, 20);
  shown.asked_us = 5;
  history.versions = {accepted, shown};
  cr_assert(Clean(history));
}

Test(history, finds_new_work_of_a_server_that_was_told_to_leave) {
  History history;
  const std::int64_t late = 100 + kLeavingGraceUs + 1;
  history.leavings = {{"a", 100, true}};
  history.runs = {Run("a", "op", late, late + 5)};
  cr_assert(Finds(history, ViolationKind::kWorkAfterLeaving));
  history.runs = {Run("a", "op", late - 1, late + 5)};
  cr_assert(Clean(history));
  history.runs = {Run("a", "op", late, late + 5)};
  history.leavings.push_back({"a", late - 10, false});
  cr_assert(Clean(history));
}
