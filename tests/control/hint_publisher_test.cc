#include "src/control/hint_publisher.h"

#include <criterion/criterion.h>

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
const ServiceName kPool{"pool"};
const ServiceName kKeyed{"keyed"};

Instant At(std::int64_t ms) { return kStart + std::chrono::milliseconds(ms); }

struct Fixture {
  traffic::TrafficState state;
  HintPublisher teller{state};

  Fixture() {
    traffic::ConfigurationChange change;
    change.version = {1};
    change.whole = true;
    traffic::Service pool;
    pool.name = kPool;
    traffic::Service keyed;
    keyed.name = kKeyed;
    keyed.keyed = true;
    change.services = {pool, keyed};
    const auto applied = Attempt([&] { return state.Apply(change, 1); });
    cr_assert(ErrorOf(applied) == nullptr);
    state.Report({Report("p-1", kPool), Report("k-1", kKeyed)}, 2);
  }

  static traffic::InstanceReport Report(const std::string& id, const ServiceName& service) {
    traffic::InstanceReport report;
    report.id = {id};
    report.service = service;
    report.address = "10.0.0.1:" + std::to_string(id.back());
    report.sequence = 1;
    return report;
  }

  /// What one router tells of one instance.
  void Poll(const std::string& router, const traffic::InstanceSpeed& speed, std::int64_t ms) {
    traffic::TrafficPoll poll;
    poll.router = {router};
    poll.speeds = {speed};
    teller.TakePoll(poll, At(ms));
  }
};

traffic::InstanceSpeed Answered(const std::string& id, std::uint32_t answers, std::uint64_t us) {
  return {{id}, answers, answers * us, answers, 0, 0};
}

traffic::InstanceSpeed NotReached(const std::string& id, std::uint32_t attempts) {
  return {{id}, 0, 0, 0, 0, attempts};
}

}  // namespace

Test(hint_teller, latency_is_told_once_it_stands_on_some_answers_and_again_when_it_changes) {
  Fixture fixture;
  fixture.Poll("r-1", Answered("p-1", 2, 100'000), 0);
  cr_assert(!fixture.teller.Evaluate({}, At(1)));
  fixture.Poll("r-2", Answered("p-1", 6, 100'000), 2);
  const auto told = fixture.teller.Evaluate({}, At(300));
  cr_assert(told && told->instances.size() == 1);
  cr_assert(told->instances[0].latency_us == 100'000);
  cr_assert(told->instances[0].failing_percent == 0);
  fixture.Poll("r-2", Answered("p-1", 6, 110'000), 310);
  cr_assert(!fixture.teller.Evaluate({}, At(600)), "about the same");
  fixture.Poll("r-2", Answered("p-1", 40, 300'000), 610);
  cr_assert(!fixture.teller.Evaluate({}, At(900)), "means pass through many values");
  cr_assert(fixture.teller.Evaluate({}, At(4'400)).has_value());
}

Test(hint_teller, server_that_several_routers_do_not_reach_is_told) {
  Fixture fixture;
  fixture.Poll("r-1", NotReached("p-1", 5), 0);
  cr_assert(!fixture.teller.Evaluate({}, At(1)), "one router alone may be cut off");
  fixture.Poll("r-2", NotReached("p-1", 1), 10);
  const auto told = fixture.teller.Evaluate({}, At(300));
  cr_assert(told && told->instances.size() == 1);
  cr_assert(told->instances[0].failing_percent == 100);
  cr_assert(fixture.teller.All(At(300)).instances == told->instances);
  cr_assert(!fixture.teller.Evaluate({}, At(600)), "told already");
}

Test(hint_teller, server_that_answers_most_requests_is_not_told_as_failing) {
  Fixture fixture;
  fixture.Poll("r-1", Answered("p-1", 60, 100'000), 0);
  fixture.Poll("r-1", NotReached("p-1", 2), 0);
  fixture.Poll("r-2", NotReached("p-1", 2), 0);
  const auto told = fixture.teller.Evaluate({}, At(1));
  cr_assert(told && told->instances.size() == 1 && told->instances[0].failing_percent == 0);
}

Test(hint_teller, owners_of_keys_are_not_told) {
  Fixture fixture;
  fixture.Poll("r-1", Answered("k-1", 60, 100'000), 0);
  cr_assert(!fixture.teller.Evaluate({}, At(1)));
}

Test(hint_teller, hot_key_is_told_refreshed_and_ended) {
  Fixture fixture;
  const std::vector<traffic::HotKey> hot{{kKeyed, 7, 0.2}};
  cr_assert(fixture.teller.Evaluate(hot, At(0))->hot_keys == hot);
  cr_assert(!fixture.teller.Evaluate(hot, At(250)));
  cr_assert(fixture.teller.All(At(250)).hot_keys == hot);
  const std::vector<traffic::HotKey> hotter{{kKeyed, 7, 0.1}};
  cr_assert(fixture.teller.Evaluate(hotter, At(500))->hot_keys == hotter);
  cr_assert(fixture.teller.Evaluate(hotter, At(1'500))->hot_keys == hotter,
            "routers would forget it");
  const std::vector<traffic::HotKey> over{{kKeyed, 7, 1}};
  cr_assert(fixture.teller.Evaluate({}, At(1'750))->hot_keys == over);
  cr_assert(!fixture.teller.Evaluate({}, At(2'000)));
}
