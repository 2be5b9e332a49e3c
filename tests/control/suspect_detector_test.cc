// Which requests are recorded as the cause of their servers' ends, and which are spared.
#include "src/control/suspect_detector.h"

#include <criterion/criterion.h>

#include <string>
#include <variant>
#include <vector>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
constexpr traffic::RequestDigest kLethal{7};
constexpr traffic::RequestDigest kShared{8};

Instant At(std::int64_t ms) { return kStart + std::chrono::milliseconds(ms); }

struct Fixture {
  traffic::TrafficState state;
  InstanceLiveness liveness{std::chrono::seconds(4), kStart};
  SuspectDetector tally{state, liveness, kStart};
  std::uint64_t index = 1;

  Fixture() {
    for (const char* id : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
      traffic::InstanceReport report;
      report.id = {id};
      report.service = {"pool"};
      report.address = std::string("10.0.0.1:") + id[2];
      report.sequence = 1;
      state.Report({report}, index);
    }
  }

  void Lose(traffic::RequestDigest digest, const char* instance, std::int64_t sent_ms,
            std::int64_t lost_ms) {
    traffic::TrafficPoll poll;
    poll.losses = {{digest, {instance}, 10, 0}};
    poll.losses[0].sent_ms_ago = lost_ms - sent_ms;
    tally.TakePoll(poll, At(lost_ms));
  }

  /// Tells at `ms` of an answer some time before.
  void Answer(traffic::RequestDigest digest, std::int64_t answered_ms, std::int64_t ms) {
    traffic::TrafficPoll poll;
    poll.answered = {{digest, ms - answered_ms}};
    tally.TakePoll(poll, At(ms));
  }

  /// Decides each quarter second until then, and applies what was decided.
  void RunUntil(std::int64_t ms) {
    for (; now_ms <= ms; now_ms += 250) {
      std::vector<CommandBody> commands;
      tally.Decide(commands, At(now_ms));
      for (const CommandBody& command : commands) Apply(command);
    }
  }

  void Apply(const CommandBody& command) {
    ++index;
    if (const auto* record = std::get_if<RecordSuspectsCommand>(&command)) {
      state.RecordSuspects(record->suspects, index);
    } else {
      state.ClearSuspects(std::get<ClearSuspectsCommand>(command).digests, index);
    }
  }

  bool Suspected(traffic::RequestDigest digest) const { return state.suspects().Find(digest); }
  bool Quarantined(traffic::RequestDigest digest) const {
    const auto* const suspect = state.suspects().Find(digest);
    return suspect != nullptr && suspect->Quarantined();
  }

  std::int64_t now_ms = 0;
};

}  // namespace

Test(crash_tally, three_instances_that_end_one_after_the_other_quarantine_a_request) {
  Fixture fixture;
  fixture.Lose(kLethal, "i-1", 5'000, 5'050);
  fixture.RunUntil(5'500);
  cr_assert(!fixture.Suspected(kLethal));
  fixture.Lose(kLethal, "i-2", 8'000, 8'050);
  fixture.RunUntil(8'500);
  cr_assert(fixture.Suspected(kLethal) && !fixture.Quarantined(kLethal));
  fixture.Lose(kLethal, "i-3", 11'000, 11'050);
  fixture.RunUntil(11'500);
  cr_assert(fixture.Quarantined(kLethal));
}

Test(crash_tally, instances_that_are_heard_of_again_have_not_ended) {
  Fixture fixture;
  fixture.Lose(kLethal, "i-1", 5'000, 5'050);
  fixture.Lose(kLethal, "i-2", 6'000, 6'050);
  fixture.Lose(kLethal, "i-3", 7'000, 7'050);
  for (const char* id : {"i-1", "i-2", "i-3"}) {
    fixture.liveness.RecordHeartbeat({id}, At(8'000));
    fixture.liveness.RecordHeartbeat({id}, At(9'500));
  }
  fixture.RunUntil(20'000);
  cr_assert(!fixture.Suspected(kLethal));
}

Test(crash_tally, one_late_heartbeat_does_not_bring_an_instance_back) {
  Fixture fixture;
  fixture.Lose(kLethal, "i-1", 5'000, 5'050);
  fixture.liveness.RecordHeartbeat({"i-1"}, At(6'500));
  fixture.Lose(kLethal, "i-2", 8'000, 8'050);
  fixture.RunUntil(10'500);
  fixture.Lose(kLethal, "i-3", 11'000, 11'050);
  fixture.RunUntil(11'500);
  cr_assert(fixture.Quarantined(kLethal));
}

Test(crash_tally, instances_that_end_together_count_once) {
  Fixture fixture;
  fixture.Lose(kShared, "i-1", 5'000, 5'050);
  fixture.Lose(kShared, "i-2", 5'010, 5'060);
  fixture.Lose(kShared, "i-3", 5'020, 5'070);
  fixture.RunUntil(20'000);
  cr_assert(!fixture.Suspected(kShared));
}

Test(crash_tally, instances_that_leave_as_planned_do_not_count) {
  Fixture fixture;
  for (const char* id : {"i-1", "i-2", "i-3"}) fixture.state.Deregister({id}, ++fixture.index);
  fixture.Lose(kShared, "i-1", 5'000, 5'050);
  fixture.Lose(kShared, "i-2", 6'000, 6'050);
  fixture.Lose(kShared, "i-3", 7'000, 7'050);
  fixture.RunUntil(20'000);
  cr_assert(!fixture.Suspected(kShared));
}

Test(crash_tally, an_answer_between_ends_clears_a_request) {
  Fixture fixture;
  fixture.Lose(kShared, "i-1", 5'000, 5'050);
  fixture.Lose(kShared, "i-2", 8'000, 8'050);
  fixture.RunUntil(8'500);
  cr_assert(fixture.Suspected(kShared));
  fixture.Answer(kShared, 8'400, 8'900);
  fixture.RunUntil(9'500);
  cr_assert(!fixture.Suspected(kShared));
  fixture.Lose(kShared, "i-3", 11'000, 11'050);
  fixture.RunUntil(20'000);
  cr_assert(!fixture.Quarantined(kShared));
}

Test(crash_tally, a_request_that_shared_the_ends_of_another_one_is_spared) {
  Fixture fixture;
  std::int64_t ms = 5'000;
  for (const char* id : {"i-1", "i-2", "i-3"}) {
    fixture.Lose(kLethal, id, ms, ms + 50);
    fixture.Lose(kShared, id, ms, ms + 51);
    fixture.RunUntil(ms + 1'000);
    // It was served until the other one came.
    fixture.Answer(kShared, 4'000, ms + 1'000);
    ms += 3'000;
  }
  fixture.RunUntil(ms + 10'000);
  cr_assert(fixture.Quarantined(kLethal));
  cr_assert(!fixture.Quarantined(kShared));
}

Test(crash_tally, a_new_leader_keeps_what_was_recorded_and_goes_on_counting) {
  Fixture fixture;
  fixture.state.RecordSuspects({{kLethal, {{"i-1"}, {"i-2"}}, 0}}, ++fixture.index);
  fixture.RunUntil(4'000);
  fixture.Lose(kLethal, "i-3", 4'100, 4'150);
  fixture.RunUntil(5'000);
  cr_assert(fixture.Quarantined(kLethal));
}

Test(crash_tally, a_quarantine_ends_after_its_time) {
  Fixture fixture;
  fixture.state.RecordSuspects({{kLethal, {{"i-1"}, {"i-2"}, {"i-3"}}, 0}}, ++fixture.index);
  const std::int64_t kept_ms = traffic::kSuspectRetention.count() / 1'000;
  fixture.RunUntil(kept_ms - 1'000);
  cr_assert(fixture.Quarantined(kLethal));
  fixture.RunUntil(kept_ms + 1'000);
  cr_assert(!fixture.Suspected(kLethal));
}

/// A request comes dozens of times a second. Its first copies are sent together, before any of them
/// ended its instance, and may all have one cause; what follows them tells.
Test(crash_tally, copies_that_were_lost_together_leave_room_for_those_that_follow) {
  Fixture fixture;
  std::vector<std::string> names;
  for (int number = 10; number < 40; ++number) {
    traffic::InstanceReport report;
    report.id = {"i-" + std::to_string(number)};
    report.service = {"pool"};
    report.address = "10.0.1.1:" + std::to_string(number);
    report.sequence = 1;
    fixture.state.Report({report}, fixture.index);
    names.push_back(report.id.value);
  }
  std::size_t next = 0;
  for (int copy = 0; copy < 10; ++copy) {
    fixture.Lose(kLethal, names[next++].c_str(), 5'000 + copy, 5'050 + copy);
  }
  fixture.RunUntil(5'250);
  for (int sent = 5'300; sent < 8'000; sent += 200) {
    fixture.Lose(kLethal, names[next++].c_str(), sent, sent + 60);
    fixture.RunUntil(sent + 60);
  }
  fixture.RunUntil(8'400);
  cr_assert(fixture.Quarantined(kLethal), "it ends its servers for more than 3 s after the third");
}
