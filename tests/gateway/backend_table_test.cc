#include "src/gateway/backend_table.h"

#include <criterion/criterion.h>

#include <map>
#include <random>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;

namespace {

constexpr Instant kNow = InstantFromMicros(1'000'000'000);
constexpr Duration kTarget{200'000};
const ServiceName kService{"s"};

traffic::Instance MakeInstance(const std::string& id, const std::string& zone) {
  traffic::Instance instance = test::MakeInstance(id, kService.value);
  instance.report.zone = {zone};
  return instance;
}

struct Fixture {
  BackendTable table;

  explicit Fixture(const std::vector<traffic::Instance>& instances)
      : table(
            [] {
              BackendOptions options;
              options.zone = {"near"};
              return options;
            }(),
            1) {
    traffic::TrafficUpdate update;
    update.instances = instances;
    table.Apply(update, kNow);
  }

  std::string Choose() {
    const Backend* backend = table.Choose(kService, {}, kTarget, kNow);
    return backend == nullptr ? "" : backend->instance.report.id.value;
  }

  void Answer(const std::string& id, Duration taken, Instant at,
              std::optional<ReportedLoad> load = {}) {
    AttemptReport report;
    report.end = AttemptEnd::kAnswered;
    report.load = load;
    table.OnSent({id}, kNow);
    table.OnEnded({id}, report, taken, at);
  }
};

}  // namespace

Test(backend_table, servers_of_the_own_zone_come_first_until_they_make_requests_wait) {
  Fixture fixture({MakeInstance("near-1", "near"), MakeInstance("far-1", "far")});
  for (int request = 0; request < 2; ++request) {
    cr_assert(fixture.Choose() == "near-1");
    fixture.table.OnSent({"near-1"}, kNow);
  }
  // Further ones would wait for a whole turn there.
  fixture.table.OnSent({"near-1"}, kNow);
  cr_assert(fixture.Choose() == "far-1");
}

Test(backend_table, gateway_keeps_to_its_part_of_the_connections_that_servers_accept) {
  Fixture fixture({MakeInstance("a", "near"), MakeInstance("b", "near")});
  traffic::Service service;
  service.name = kService;
  service.connections_maximum = 150;
  fixture.table.ShareConnections({{kService, service}}, 88);
  fixture.Answer("b", Duration{400'000}, kNow);
  cr_assert(fixture.Choose() == "a");
  fixture.table.OnSent({"a"}, kNow);
  cr_assert(!fixture.table.HasRoom(*fixture.table.Find({"a"}), kTarget, kNow));
  cr_assert(fixture.Choose() == "b", "the faster one has all of this gateway's connections");
  // Fewer gateways have larger parts.
  fixture.table.ShareConnections({{kService, service}}, 40);
  cr_assert(fixture.table.HasRoom(*fixture.table.Find({"a"}), kTarget, kNow));
  service.connections_maximum = 0;
  fixture.table.ShareConnections({{kService, service}}, 1'000);
  cr_assert(fixture.table.HasRoom(*fixture.table.Find({"a"}), kTarget, kNow), "no bound is stated");
}

Test(backend_table, faster_server_gets_more) {
  Fixture fixture({MakeInstance("a", "near"), MakeInstance("b", "near")});
  for (int answer = 0; answer < 20; ++answer) {
    fixture.Answer("a", Duration{40'000}, kNow);
    fixture.Answer("b", Duration{120'000}, kNow);
  }
  cr_assert(fixture.Choose() == "a");
  fixture.table.OnSent({"a"}, kNow);
  fixture.table.OnSent({"a"}, kNow);
  cr_assert(fixture.Choose() == "a", "two turns of 40 ms end before one of 120 ms");
}

Test(backend_table, reported_load_counts_and_fades) {
  Fixture fixture({MakeInstance("a", "near"), MakeInstance("b", "near")});
  fixture.Answer("a", Duration{80'000}, kNow, ReportedLoad{2, 6, 2});
  fixture.Answer("b", Duration{80'000}, kNow, ReportedLoad{1, 0, 2});
  cr_assert(fixture.Choose() == "b");
  const Backend& busy = *fixture.table.Find({"a"});
  cr_assert(!fixture.table.HasRoom(busy, kTarget, kNow));
  cr_assert(fixture.table.HasRoom(busy, kTarget, kNow + std::chrono::seconds(1)));
}

Test(backend_table, server_that_fails_in_a_row_is_left_out_and_comes_back) {
  Fixture fixture({MakeInstance("a", "near"), MakeInstance("b", "far")});
  AttemptReport lost;
  lost.end = AttemptEnd::kLost;
  for (int failure = 0; failure < 2; ++failure) {
    fixture.table.OnSent({"a"}, kNow);
    fixture.table.OnEnded({"a"}, lost, Duration{1'000}, kNow);
  }
  cr_assert(fixture.Choose() == "b");
  const Backend* later =
      fixture.table.Choose(kService, {}, kTarget, kNow + std::chrono::seconds(2));
  cr_assert(later->instance.report.id.value == "a");
}

Test(backend_table, draining_server_gets_nothing) {
  traffic::Instance draining = MakeInstance("a", "near");
  draining.state = traffic::InstanceState::kDraining;
  Fixture fixture({draining});
  cr_assert(fixture.Choose().empty());
}

Test(backend_table, request_that_would_miss_its_target_in_a_queue_stays_here) {
  Fixture fixture({MakeInstance("a", "near")});
  for (int answer = 0; answer < 20; ++answer) fixture.Answer("a", Duration{120'000}, kNow);
  const Backend& slow = *fixture.table.Find({"a"});
  fixture.table.OnSent({"a"}, kNow);
  cr_assert(fixture.table.HasRoom(slow, kTarget, kNow));
  fixture.table.OnSent({"a"}, kNow);
  // A third one would wait for half a turn of 120 ms, a fourth for a whole one: 240 of 200 ms.
  cr_assert(fixture.table.HasRoom(slow, kTarget, kNow));
  fixture.table.OnSent({"a"}, kNow);
  cr_assert(!fixture.table.HasRoom(slow, kTarget, kNow));
  cr_assert(fixture.table.HasRoom(slow, 2 * kTarget, kNow));
}

Test(backend_table, server_that_answers_with_failures_is_left_for_busier_ones_and_tried_again) {
  Fixture fixture({MakeInstance("fails", "near"), MakeInstance("sound", "near")});
  const auto answer = [&](const std::string& id, int status, Instant at) {
    AttemptReport report;
    report.end = AttemptEnd::kAnswered;
    report.status = status;
    fixture.table.OnSent({id}, kNow);
    fixture.table.OnEnded({id}, report, Duration{20'000}, at);
  };
  answer("sound", 200, kNow);
  // A deadline that passed in its queue says nothing of it.
  answer("sound", 504, kNow);
  answer("fails", 500, kNow);
  // Though it answers fast and has nothing to do, four waiting requests elsewhere are better.
  for (int request = 0; request < 4; ++request) {
    cr_assert(fixture.Choose() == "sound");
    fixture.table.OnSent({"sound"}, kNow);
  }
  // Its failure is forgotten in time, and a success counts for it.
  const Instant later = kNow + std::chrono::seconds(20);
  const Backend* const again = fixture.table.Choose(kService, {}, kTarget, later);
  cr_assert(again->instance.report.id.value == "fails");
  const auto speeds = fixture.table.TakeSpeeds(/*all=*/false);
  cr_assert(speeds.size() == 1 && speeds[0].instance.value == "fails");
  cr_assert(speeds[0].failures == 1 && speeds[0].whole == 1);
}

Test(backend_table, server_that_others_found_failing_is_left_out_for_a_while) {
  Fixture fixture({MakeInstance("a", "near"), MakeInstance("b", "near")});
  fixture.Answer("b", Duration{400'000}, kNow);
  cr_assert(fixture.Choose() == "a");
  fixture.table.ApplyHints({{{"a"}, 0, 100}}, kNow);
  cr_assert(fixture.Choose() == "b");
  const Backend* const later =
      fixture.table.Choose(kService, {}, kTarget, kNow + std::chrono::seconds(20));
  cr_assert(later->instance.report.id.value == "a", "hints fade");
}

Test(backend_table, gateway_that_meets_its_servers_often_does_not_go_by_what_others_saw) {
  Fixture fixture({MakeInstance("a", "near"), MakeInstance("b", "near")});
  fixture.Answer("b", Duration{100'000}, kNow);
  fixture.table.ApplyHints({{{"a"}, 300'000, 0}, {{"unknown"}, 1, 0}}, kNow);
  cr_assert(fixture.Choose() == "a", "it has not met that one yet");
}

Test(backend_table, attempts_that_did_not_reach_their_server_are_told) {
  Fixture fixture({MakeInstance("a", "near"), MakeInstance("b", "near")});
  AttemptReport report;
  report.end = AttemptEnd::kNotSent;
  fixture.table.OnSent({"a"}, kNow);
  fixture.table.OnEnded({"a"}, report, Duration{1'000}, kNow);
  // Another process has the address of a pool's server.
  report.end = AttemptEnd::kNotExecuted;
  report.not_owner = true;
  fixture.table.OnSent({"b"}, kNow);
  fixture.table.OnEnded({"b"}, report, Duration{1'000}, kNow);
  const auto speeds = fixture.table.TakeSpeeds(/*all=*/false);
  cr_assert(speeds.size() == 2);
  for (const traffic::InstanceSpeed& speed : speeds) cr_assert(speed.unreached == 1);
  cr_assert(fixture.table.TakeSpeeds(/*all=*/true).empty());
}

Test(backend_table, owner_that_lost_a_key_was_reached) {
  Fixture fixture({MakeInstance("a", "near")});
  traffic::Service service;
  service.name = kService;
  service.keyed = true;
  fixture.table.ShareConnections({{kService, service}}, 1);
  AttemptReport report;
  report.end = AttemptEnd::kNotExecuted;
  report.not_owner = true;
  fixture.table.OnSent({"a"}, kNow);
  fixture.table.OnEnded({"a"}, report, Duration{1'000}, kNow);
  cr_assert(fixture.table.TakeSpeeds(/*all=*/false).empty());
}

Test(backend_table, gateway_that_rarely_meets_a_server_draws_by_speed) {
  std::vector<traffic::Instance> instances;
  std::vector<traffic::InstanceHint> hints;
  for (int number = 0; number < 200; ++number) {
    instances.push_back(MakeInstance("i-" + std::to_string(number), "near"));
    // Each other one is half as fast.
    const std::uint32_t latency_us = number % 2 == 0 ? 100'000 : 200'000;
    hints.push_back({instances.back().report.id, latency_us, 0});
  }
  Fixture fixture(instances);
  fixture.table.ApplyHints(hints, kNow);
  std::map<std::string, int> chosen;
  for (int request = 0; request < 400; ++request) {
    const Instant now = kNow + std::chrono::milliseconds(250 * request);
    const Backend* const backend = fixture.table.Choose(kService, {}, kTarget, now);
    if (request >= 100) ++chosen[backend->instance.report.id.value];
    const traffic::InstanceId id = backend->instance.report.id;
    fixture.table.OnSent(id, now);
    fixture.table.OnAbandoned(id);
  }
  int slow = 0;
  int most = 0;
  for (const auto& [id, count] : chosen) {
    if (std::stoi(id.substr(2)) % 2 == 1) slow += count;
    most = std::max(most, count);
  }
  // By chance a few are met several times; by the same hints all gateways would go to one.
  cr_assert(most <= 12, "%d requests of 300 went to one server", most);
  cr_assert(slow > 60 && slow < 140, "slower ones get half as many: %d of 300", slow);
}

Test(backend_table, failures_do_not_make_a_server_pass_for_fast) {
  Fixture fixture({MakeInstance("a", "near")});
  fixture.Answer("a", Duration{100'000}, kNow);
  AttemptReport report;
  report.end = AttemptEnd::kAnswered;
  report.status = 500;
  const double before = fixture.table.Find({"a"})->latency_us;
  for (int failure = 0; failure < 20; ++failure) {
    fixture.table.OnSent({"a"}, kNow);
    fixture.table.OnEnded({"a"}, report, Duration{1'000}, kNow);
  }
  cr_assert(fixture.table.Find({"a"})->latency_us == before);
  const auto speeds = fixture.table.TakeSpeeds(/*all=*/true);
  cr_assert(speeds.at(0).answers == 1 && speeds.at(0).failures == 20);
}

Test(backend_table, pool_turns_from_a_drained_zone_at_once) {
  Fixture fixture({MakeInstance("near-1", "near"), MakeInstance("far-1", "far")});
  traffic::TrafficUpdate update;
  update.base = 1;
  update.instances = {MakeInstance("near-1", "near")};
  update.instances[0].state = traffic::InstanceState::kZoneDrained;
  fixture.table.Apply(update, kNow);
  cr_assert(fixture.Choose() == "far-1");
}

Test(backend_table, owner_in_a_drained_zone_gets_requests_while_its_keys_move_and_no_longer) {
  Fixture fixture({MakeInstance("a", "near")});
  fixture.table.Confirm(kNow);
  traffic::TrafficUpdate update;
  update.base = 1;
  update.instances = {MakeInstance("a", "near")};
  update.instances[0].state = traffic::InstanceState::kZoneDrained;
  fixture.table.Apply(update, kNow);
  const Backend& owner = *fixture.table.Find({"a"});
  cr_assert(!fixture.table.DrainAllowanceElapsed(owner, kNow + Duration{3'000'000}));
  // In 5 s nothing may reach it any more.
  cr_assert(fixture.table.DrainAllowanceElapsed(owner, kNow + Duration{4'000'000}));
}

Test(backend_table, instance_that_warms_up_gets_its_few_requests_and_no_others) {
  BackendOptions options;
  options.zone = {"near"};
  options.warm_up_requests_per_second = 8;
  BackendTable table(options, 1);
  const auto settle = [&](Instant polled_at) { table.SetPlace({0, 1}, polled_at, polled_at); };
  settle(kNow - Duration{1'100'000});
  settle(kNow);
  traffic::TrafficUpdate update;
  update.instances = {MakeInstance("cold", "near"), MakeInstance("warm", "near")};
  update.instances[0].report.warmup_left_ms = 3'000;
  table.Apply(update, kNow);
  const auto chosen = [&](Instant at) {
    return table.Choose(kService, {}, kTarget, at)->instance.report.id.value;
  };
  cr_assert(chosen(kNow) == "cold");
  table.OnSent({"cold"}, kNow);
  table.OnAbandoned({"cold"});
  cr_assert(chosen(kNow + Duration{500'000}) == "warm");
  settle(kNow + Duration{1'000'000});
  cr_assert(chosen(kNow + Duration{1'100'000}) == "cold");
  update.base = 1;
  update.instances[0].report.warmup_left_ms = 0;
  update.instances.resize(1);
  table.OnSent({"cold"}, kNow + Duration{1'200'000});
  table.Apply(update, kNow + Duration{1'200'000});
  table.OnAbandoned({"cold"});
  cr_assert(chosen(kNow + Duration{1'300'000}) == "warm",
            "the report may be older than the warm-up");
  for (int sent = 0; sent < 3; ++sent) table.OnSent({"warm"}, kNow + Duration{2'900'000});
  cr_assert(chosen(kNow + Duration{3'000'000}) == "cold", "it is warm, and idle");
}

Test(backend_table, instance_whose_zone_is_taken_back_warms_up_whatever_a_late_heartbeat_says) {
  BackendOptions options;
  options.zone = {"near"};
  options.warm_up_requests_per_second = 8;
  BackendTable table(options, 1);
  traffic::TrafficUpdate update;
  update.instances = {MakeInstance("back", "near"), MakeInstance("other", "far")};
  update.instances[0].state = traffic::InstanceState::kZoneDrained;
  table.Apply(update, kNow);
  update.base = 1;
  update.instances.resize(1);
  update.instances[0].state = traffic::InstanceState::kReady;
  update.instances[0].report.warmup_left_ms = 3'000;
  table.Apply(update, kNow);
  update.instances[0].report.warmup_left_ms = 0;
  table.Apply(update, kNow + Duration{100'000});
  const auto chosen = [&](Instant at) {
    return table.Choose(kService, {}, kTarget, at)->instance.report.id.value;
  };
  cr_assert(chosen(kNow + Duration{200'000}) == "other");
  cr_assert(chosen(kNow + options.taken_back_warm_up) == "back");
}

Test(backend_table, word_of_a_server_on_its_work_is_kept_and_told) {
  Fixture fixture({MakeInstance("a", "near")});
  ReportedLoad load{1, 0, 2};
  load.work_percent = 300;
  fixture.Answer("a", Duration{50'000}, kNow, load);
  const std::string told = fixture.table.Describe(*fixture.table.Find({"a"}), kNow);
  cr_assert(told.find("work 300%") != std::string::npos, "%s", told.c_str());
}

// Control would take a server whose queue is long for a slow one: only the reported work time shows
// the speed of a server whose requests wait.
Test(backend_table, reported_work_times_are_summed_over_all_answers_until_the_next_poll) {
  Fixture fixture({MakeInstance("a", "near")});
  ReportedLoad load{2, 9, 2};
  for (const double percent : {300.0, 100.0}) {
    load.work_percent = percent;
    fixture.Answer("a", Duration{900'000}, kNow, load);
  }
  fixture.Answer("a", Duration{900'000}, kNow, ReportedLoad{2, 9, 2});
  const auto speeds = fixture.table.TakeSpeeds(/*all=*/true);
  cr_assert(speeds.size() == 1 && speeds[0].whole == 3);
  cr_assert(speeds[0].work_percent_sum == 400 && speeds[0].work_percent_answers == 2);
  fixture.Answer("a", Duration{900'000}, kNow, load);
  const auto later = fixture.table.TakeSpeeds(/*all=*/true);
  cr_assert(later.size() == 1 && later[0].work_percent_sum == 100);
}

// A report that changed for servers without the figure would change the placement of their keys.
Test(backend_table, speeds_of_servers_that_report_no_work_time_stay_as_they_were) {
  Fixture fixture({MakeInstance("a", "near")});
  fixture.Answer("a", Duration{50'000}, kNow, ReportedLoad{1, 0, 2});
  fixture.Answer("a", Duration{70'000}, kNow);
  const auto speeds = fixture.table.TakeSpeeds(/*all=*/true);
  const traffic::InstanceSpeed expected{{"a"}, 2, 120'000, 2, 0, 0};
  cr_assert(speeds.size() == 1 && speeds[0] == expected);
}

Test(backend_table, server_that_tells_a_probe_that_it_turned_cold_keeps_to_its_bound) {
  BackendOptions options;
  options.zone = {"near"};
  options.warm_up_requests_per_second = 8;
  BackendTable table(options, 1);  // It was told no place: it may send such an instance nothing.
  traffic::TrafficUpdate update;
  update.instances = {MakeInstance("cold", "near"), MakeInstance("warm", "near")};
  table.Apply(update, kNow);
  const auto tell = [&](const std::string& id, double waiting, std::optional<Duration> warm_up) {
    ProbeReport report;
    report.instance = {id};
    report.load = ReportedLoad{2, waiting, 2, 100};
    report.warm_up_left = warm_up;
    table.OnProbed(report, kNow);
  };
  tell("cold", 0, Duration{3'000'000});
  tell("warm", 1, {});
  const Backend* const chosen = table.FastestProbed({{"cold"}, {"warm"}}, kTarget, kNow);
  cr_assert(chosen != nullptr && chosen->instance.report.id.value == "warm");
}

// Each update went over all instances to list them by service: with ten thousand, and ten updates a
// second, more than a gateway's requests took.
Test(backend_table, instances_that_come_go_and_change_their_service_are_listed_as_by_a_whole) {
  std::mt19937 random(7);
  BackendTable table({}, 1);
  std::map<std::string, traffic::Instance> known;
  std::uint64_t version = 1;
  for (int turn = 0; turn < 300; ++turn) {
    traffic::TrafficUpdate update;
    update.base = version == 1 ? 0 : version;
    update.version = ++version;
    for (int change = 0; change < 4; ++change) {
      traffic::Instance instance;
      instance.report.id = {"i-" + std::to_string(random() % 40)};
      instance.report.service = {random() % 2 == 0 ? "a" : "b"};
      if (random() % 3 == 0) instance.state = traffic::InstanceState::kDeregistered;
      update.instances.push_back(instance);
    }
    for (const auto& instance : update.instances) {
      known.erase(instance.report.id.value);
      if (!instance.IsGone()) known[instance.report.id.value] = instance;
    }
    table.Apply(update, kNow);
    traffic::TrafficUpdate whole;
    whole.version = version;
    for (const auto& [id, instance] : known) whole.instances.push_back(instance);
    BackendTable other({}, 1);
    other.Apply(whole, kNow);
    for (const char* service : {"a", "b"}) {
      cr_assert(table.Listed({service}) == other.Listed({service}), "turn %d", turn);
    }
  }
}
