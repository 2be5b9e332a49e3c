// The small decision makers of the router, each by itself.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

#include "graniteseam/routing/outlier_detector.h"
#include "graniteseam/routing/request_state.h"
#include "graniteseam/routing/router_lease.h"
#include "graniteseam/routing/routing_table.h"
#include "graniteseam/routing/server_selector.h"
#include "graniteseam/routing/slow_start.h"
#include "tests/support/fixed_seed.h"

using namespace std::chrono_literals;
using namespace graniteseam;
using namespace graniteseam::routing;

namespace {

constexpr Instant kNow = InstantFromMicros(10'000'000);
const ServiceName kService{"transcripts"};

control::MapUpdate Update(std::uint64_t base, std::uint64_t version, std::uint64_t epoch) {
  control::MapUpdate update;
  update.base_version = base;
  update.version = version;
  update.shards = {{{kService, 3}, control::ShardState::kAssigned, {"a"}, {epoch}}};
  return update;
}

control::ServerEntry Entry(const std::string& id, double hint = 0.0) {
  return {{id}, kService, "127.0.0.1:1", {"zone"}, true, hint};
}

std::vector<const control::ServerEntry*> Pointers(
    const std::vector<control::ServerEntry>& entries) {
  std::vector<const control::ServerEntry*> pointers;
  for (const auto& entry : entries) pointers.push_back(&entry);
  return pointers;
}

AttemptResult Ended(AttemptEnd end) { return {1, 1, end, 0, {}, {}}; }

}  // namespace

Test(routing_table, applies_changes_in_order_only) {
  RoutingTable table;
  cr_assert(table.Apply(Update(0, 5, 1)) == RoutingTable::Applied::kYes);
  cr_assert(table.Apply(Update(7, 9, 3)) == RoutingTable::Applied::kGap);
  cr_assert(table.Apply(Update(5, 7, 2)) == RoutingTable::Applied::kYes);
  cr_assert(table.Apply(Update(5, 7, 9)) == RoutingTable::Applied::kOld, "a repeated change");
  cr_assert(table.Apply(Update(0, 6, 9)) == RoutingTable::Applied::kOld, "an older whole table");
  cr_assert_eq(table.Find(kService, 3).epoch.value, 2);
  cr_assert(table.Find(kService, 4).state == control::ShardState::kUnassigned);
  cr_assert(table.Find({"other"}, 3).state == control::ShardState::kUnassigned);
}

Test(routing_table, keys_fall_into_the_documented_shard) {
  // XXH3-64 of the empty string is 2d06800538d394c2 by its specification.
  cr_assert_eq(ShardOfKey("", 1000), 0x2d06800538d394c2ULL % 1000);
}

Test(router_lease, is_dated_from_the_send_and_takes_each_grant_once) {
  RouterLease lease;
  const std::uint64_t first = lease.Send({1}, kNow);
  const std::uint64_t second = lease.Send({2}, kNow + 100ms);
  cr_assert(lease.Grant(second, 1s));
  cr_assert(lease.Valid(kNow + 1099ms));
  cr_assert_not(lease.Valid(kNow + 1100ms), "counted from the send, whenever the answer came");
  cr_assert_not(lease.Grant(second, 5s), "a repeated answer");
  cr_assert_not(lease.Grant(first, 5s), "a late answer to an older renewal");
  cr_assert_not(lease.Grant(77, 5s));
  cr_assert_eq(lease.valid_until(), kNow + 1100ms);
}

Test(retry_budget, bounds_retries_to_a_fraction) {
  RetryBudget budget({0.1, 5.0});
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    taken += budget.TryTake() ? 1 : 0;
  }
  cr_assert_leq(taken, 105);
  cr_assert_geq(taken, 100);
}

Test(concurrency_window, shrinks_once_an_answer_time_when_the_server_sheds) {
  ConcurrencyWindow window(64);
  for (int i = 0; i < 200; ++i) {
    while (window.AvailableSlots(kNow) > 0) window.OnSent();
    window.OnAnswered(1ms, kNow);
  }
  const double grown = window.size();
  cr_assert_eq(grown, 64.0);
  window.OnShed(kNow);
  const double shrunk = window.size();
  cr_assert_lt(shrunk, grown);
  window.OnShed(kNow + 10us);
  cr_assert_eq(window.size(), shrunk, "the same overload, told twice");
}

Test(concurrency_window, leaves_a_server_alone_that_sheds_everything) {
  ConcurrencyWindow window(64);
  for (int i = 0; i < 300; ++i) {
    window.OnSent();
    window.OnShed(kNow + i * 1s);
  }
  cr_assert_eq(window.size(), 1.0);
  cr_assert_eq(window.AvailableSlots(kNow + 299s + 499ms), 0);
  cr_assert_eq(window.AvailableSlots(kNow + 299s + 500ms), 1, "for half a second at most");
}

Test(concurrency_window, leaves_a_server_alone_that_wants_no_work) {
  ConcurrencyWindow window(64);
  Instant now = kNow;
  Duration pause = 20ms;
  for (int round = 0; round < 4; ++round) {
    window.OnSent();
    window.OnShed(now);
    cr_assert_eq(window.AvailableSlots(now + pause - 1us), 0);
    cr_assert_gt(window.AvailableSlots(now + pause), 0, "it is asked again after the pause");
    now += pause;
    pause *= 2;
  }
  window.OnSent();
  window.OnAnswered(1ms, now);
  cr_assert_gt(window.AvailableSlots(now), 0, "an answer ends the pauses");
  window.OnSent();
  window.OnShed(now);
  cr_assert_gt(window.AvailableSlots(now + 20ms), 0, "the next pause is short again");
}

Test(concurrency_window, grows_slowly_near_the_size_that_was_shed) {
  const auto answers_until = [](ConcurrencyWindow& window, double size, Instant now) {
    int answers = 0;
    while (window.size() < size) {
      while (window.AvailableSlots(now) > 0) window.OnSent();
      window.OnAnswered(1ms, now);
      ++answers;
    }
    return answers;
  };
  ConcurrencyWindow window(64);
  answers_until(window, 32.0, kNow);
  while (window.AvailableSlots(kNow) > 0) window.OnSent();
  window.OnShed(kNow);
  const double shrunk = window.size();
  ConcurrencyWindow later = window;
  const int soon = answers_until(window, shrunk + 2.0, kNow + 10ms);
  const int much_later = answers_until(later, shrunk + 2.0, kNow + 10s);
  cr_assert_gt(soon, 8 * much_later);
}

Test(slow_start, grows_from_little_to_full) {
  const SlowStart slow_start{5s, 0.1};
  cr_assert_eq(slow_start.Weight(kNow, kNow), 0.1);
  cr_assert_eq(slow_start.Weight(kNow, kNow + 2500ms), 0.5);
  cr_assert_eq(slow_start.Weight(kNow, kNow + 5s), 1.0);
}

Test(outlier_detector, never_ejects_more_than_the_cap) {
  OutlierDetector detector;
  for (int i = 0; i < 10; ++i) detector.Add({std::to_string(i)});
  for (int round = 0; round < 50; ++round) {
    for (int i = 0; i < 10; ++i) detector.OnFailed({std::to_string(i)}, kNow);
  }
  cr_assert_eq(detector.EjectedCount(kNow), 3);
  OutlierDetector alone;
  alone.Add({"only"});
  for (int round = 0; round < 50; ++round) alone.OnFailed({"only"}, kNow);
  cr_assert_eq(alone.EjectedCount(kNow), 0, "a pool of one is never emptied");
}

Test(outlier_detector, ejects_longer_each_time_and_takes_back) {
  OutlierDetector detector;
  for (const char* id : {"good", "bad"}) detector.Add({id});
  for (int i = 0; i < 5; ++i) detector.OnFailed({"bad"}, kNow);
  cr_assert(detector.Ejected({"bad"}, kNow + 999ms));
  cr_assert_not(detector.Ejected({"bad"}, kNow + 1s));
  for (int i = 0; i < 5; ++i) detector.OnFailed({"bad"}, kNow + 1s);
  cr_assert(detector.Ejected({"bad"}, kNow + 2999ms));
  cr_assert_not(detector.Ejected({"bad"}, kNow + 3s));
}

Test(outlier_detector, finds_the_slow_server_that_calls_itself_idle) {
  OutlierDetector detector;
  for (int i = 0; i < 5; ++i) detector.Add({std::to_string(i)});
  for (int round = 0; round < 100; ++round) {
    for (int i = 0; i < 5; ++i) {
      detector.OnAnswered({std::to_string(i)}, i == 4 ? Duration(80ms) : Duration(8ms), kNow);
    }
  }
  cr_assert(detector.Ejected({"4"}, kNow));
  cr_assert_eq(detector.EjectedCount(kNow), 1);
}

Test(server_selector, prefers_the_faster_server_and_forgets_old_hints) {
  ServerSelector selector({}, 1);
  const std::vector<control::ServerEntry> servers = {Entry("fast", 1.0), Entry("slow", 0.0)};
  selector.Update(Pointers(servers), 64, kNow);
  for (int i = 0; i < 50; ++i) {
    selector.Reserve({"fast"});
    selector.OnEnd({"fast"}, AttemptEnd::kAnswered, 200, 2ms, kNow);
    selector.Reserve({"slow"});
    selector.OnEnd({"slow"}, AttemptEnd::kAnswered, 200, 4ms, kNow);
  }
  // The slow one's lower hint is outvoted by what the router saw.
  for (int i = 0; i < 20; ++i) cr_assert_eq(selector.Choose({}, kNow)->value, "fast");
  cr_assert_eq(selector.Choose({{"fast"}}, kNow)->value, "slow", "avoided while there is another");
}

Test(server_selector, leaves_out_full_leaving_and_ejected_servers) {
  ServerSelector selector({}, 1);
  std::vector<control::ServerEntry> servers = {Entry("a"), Entry("b"), Entry("c")};
  servers[0].accepts_new_work = false;
  selector.Update(Pointers(servers), 2, kNow);
  for (int i = 0; i < 5; ++i) {
    selector.Reserve({"b"});
    selector.OnEnd({"b"}, AttemptEnd::kNotSent, 0, 0ms, kNow);
  }
  cr_assert_eq(selector.EjectedCount(kNow), 1);
  cr_assert_eq(selector.Choose({}, kNow)->value, "c");
  selector.Reserve({"c"});
  selector.Reserve({"c"});
  cr_assert_not(selector.Choose({}, kNow).has_value());
  cr_assert_eq(selector.PoolAvailableSlots(kNow), 0);
  cr_assert_eq(selector.Choose({}, kNow + 1s)->value, "b", "the ejection is over");
}

Test(server_selector, keeps_a_removed_server_until_its_last_request_ended) {
  ServerSelector selector({}, 1);
  const std::vector<control::ServerEntry> servers = {Entry("a")};
  selector.Update(Pointers(servers), 2, kNow);
  selector.Reserve({"a"});
  selector.Update({}, 2, kNow);
  cr_assert(selector.HasServer({"a"}));
  cr_assert_not(selector.AcceptsNewWork({"a"}));
  selector.OnEnd({"a"}, AttemptEnd::kAnswered, 200, 1ms, kNow);
  cr_assert_not(selector.HasServer({"a"}));
}

Test(request_state, never_sends_again_what_may_have_run_and_may_not_be_repeated) {
  RetryBudget budget;
  RequestState state({false, false, false}, {}, kNow, kNow + 1s);
  state.OnSent();
  cr_assert_not(state.MaySend(kNow), "never two attempts at once");
  const Decision decision = state.OnAttemptEnd(Ended(AttemptEnd::kBroken), budget, 0.5, kNow);
  cr_assert(decision.step == Step::kGiveUp);
  cr_assert(state.GiveUp() == RequestOutcome::kOutcomeUnknown);
}

Test(request_state, gives_up_at_once_when_the_budget_is_spent) {
  RetryBudget budget({0.0, 0.0});
  RequestState state({true, false, false}, {}, kNow, kNow + 10s);
  state.OnSent();
  AttemptResult shed = Ended(AttemptEnd::kShed);
  shed.retry_after = 3s;
  const Decision decision = state.OnAttemptEnd(shed, budget, 0.5, kNow);
  cr_assert(decision.step == Step::kGiveUp);
  cr_assert(decision.reason == ErrorKind::kOverloaded);
  cr_assert(decision.retry_after == Duration(3s));
}

Test(request_state, holds_for_a_bounded_time) {
  RequestState state({false, true, false}, {}, kNow, kNow + 1s);
  Instant now = kNow;
  Decision decision = state.Hold(0.5, now);
  while (decision.step == Step::kHold) {
    now = decision.at;
    cr_assert_leq(ToMicros(now), ToMicros(kNow + 750ms));
    decision = state.Hold(0.5, now);
  }
  cr_assert_eq(now, kNow + 750ms);
  cr_assert(state.GiveUp() == RequestOutcome::kNotRun);
}

Test(request_state, tells_the_truth_whatever_happened) {
  const bool holds = rc::check("not_run only when each attempt provably did not run", [] {
    const bool repeatable = *rc::gen::arbitrary<bool>();
    const bool keyed = *rc::gen::arbitrary<bool>();
    RetryBudget budget({1.0, 100.0});
    RequestState state({repeatable, keyed, false}, {}, kNow, kNow + 1s);
    Instant now = kNow;
    bool may_have_run = false;
    for (int step = 0; step < 40; ++step) {
      if (!state.MaySend(now)) break;
      RC_ASSERT(repeatable || !may_have_run);
      RC_ASSERT(now < state.deadline());
      state.OnSent();
      const auto end = static_cast<AttemptEnd>(*rc::gen::inRange(1, 8));
      now += Duration(*rc::gen::inRange(0, 100'000));
      may_have_run |= !ProvenNotRun(end);
      const Decision decision = state.OnAttemptEnd(Ended(end), budget, 0.5, now);
      if (decision.step == Step::kGiveUp) break;
      RC_ASSERT(decision.step != Step::kAnswer);
      now = std::max(now, decision.at);
    }
    RC_ASSERT((state.GiveUp() == RequestOutcome::kNotRun) == !may_have_run);
  });
  cr_assert(holds);
}
