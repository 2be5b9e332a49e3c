// What a gateway sends to instances that warm up.
#include <vector>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

GatewayOptions BoundedOptions() {
  GatewayOptions options = Fixture::Options();
  options.backends.warm_up_requests_per_second = 8;
  return options;
}

/// The owner of all keys warms up from 0 ms to 3,000 ms.
struct WarmingOwner : Fixture {
  WarmingOwner() : Fixture(true, BoundedOptions()) {
    traffic::TrafficUpdate update = NextState();
    update.ranges.clear();
    update.instances = {MakeInstance("k-1", "keyed")};
    update.instances[0].report.warmup_left_ms = 3'000;
    node.OnUpdate(update, kStart);
  }
};

/// Control was last heard of at 0 ms; all servers have a health path.
struct CutOff : Fixture {
  CutOff() : Fixture(true, BoundedOptions()) {
    traffic::TrafficUpdate update = NextState();
    update.ranges.clear();
    update.instances.clear();
    for (traffic::Service& service : update.services) service.health_path = "/health";
    node.OnUpdate(update, kStart);
    Confirm(0);
  }

  GatewayEffects Answer(const ProbeInstance& probe, std::int64_t ms,
                        std::optional<Duration> warm_up_left = {}) {
    ProbeReport report;
    report.request = probe.request;
    report.round = probe.round;
    report.instance = probe.instance;
    report.answered = true;
    report.load = ReportedLoad{0, 0, 2};
    report.warm_up_left = warm_up_left;
    return node.OnProbeEnd(report, At(ms));
  }
};

std::vector<ProbeInstance> Probes(const GatewayEffects& effects) {
  std::vector<ProbeInstance> probes;
  for (const GatewayEffect& effect : effects.actions) {
    if (const auto* probe = std::get_if<ProbeInstance>(&effect)) probes.push_back(*probe);
  }
  return probes;
}

}  // namespace

/// Guards against an owner of keys that is flooded while it warms up, since only the choice among a
/// pool's servers asks whether a server does.
Test(warm_up, request_for_an_owner_that_warms_up_waits_for_a_token) {
  WarmingOwner fixture;
  const auto first = fixture.Request("/keyed/x", 100, 7);
  cr_assert(!Has<SendAttempt>(first));
  const auto asked = Only<AskTokens>(first);
  cr_assert_eq(asked.request.limited.size(), 1);
  cr_assert(asked.request.limited[0].limit.instance.value == "k-1");
  traffic::TokenAnswer answer;
  answer.sequence = asked.request.sequence;
  answer.limited = {{{"k-1"}, 1, 0}};
  cr_assert(Has<SendAttempt>(fixture.node.OnTokens(answer, At(105))));
  cr_assert(!Has<SendAttempt>(fixture.Request("/keyed/x", 106, 7)), "the token is used up");
}

Test(warm_up, request_for_an_owner_that_warms_up_is_refused_without_a_token) {
  WarmingOwner fixture;
  const auto asked = Only<AskTokens>(fixture.Request("/keyed/x", 100, 7));
  traffic::TokenAnswer answer;
  answer.sequence = asked.request.sequence;
  answer.limited = {{{"k-1"}, 0, 200}};
  const auto refused = Only<Refuse>(fixture.node.OnTokens(answer, At(105)));
  cr_assert(refused.reason == RefusalReason::kLimited && refused.retry_after);
}

Test(warm_up, owner_that_has_warmed_up_gets_requests_without_tokens) {
  WarmingOwner fixture;
  cr_assert(Has<SendAttempt>(fixture.Request("/keyed/x", 3'000, 7)));
}

/// Guards against gateways that are cut from control and hold servers for warm that are not.
Test(warm_up, gateway_that_is_cut_off_asks_servers_of_a_pool_before_it_sends) {
  CutOff fixture;
  cr_assert(Has<SendAttempt>(fixture.Request("/safe/x", 1'000)), "control was heard of recently");
  const auto first = fixture.Request("/safe/x", 3'000);
  cr_assert(!Has<SendAttempt>(first));
  const auto probes = Probes(first);
  cr_assert_eq(probes.size(), 2);
  cr_assert(!Has<SendAttempt>(fixture.Answer(probes[0], 3'002, Duration{2'000'000})));
  const auto sent = Only<SendAttempt>(fixture.Answer(probes[1], 3'003));
  cr_assert(sent.instance == probes[1].instance, "the other one warms up");
}

Test(warm_up, gateway_that_is_cut_off_refuses_what_no_server_answers_for) {
  CutOff fixture;
  cr_assert(!Has<SendAttempt>(fixture.Request("/safe/x", 3'000)));
  bool refused = false;
  for (std::int64_t ms = 3'000; ms < 3'200 && !refused; ms += 10) {
    const auto effects = fixture.node.Tick(At(ms));
    cr_assert(!Has<SendAttempt>(effects));
    refused = Has<Refuse>(effects);
  }
  cr_assert(refused, "within its target");
}

Test(warm_up, gateway_that_is_cut_off_asks_an_owner_before_it_sends) {
  CutOff fixture;
  const auto probes = Probes(fixture.Request("/keyed/x", 3'000, 7));
  cr_assert(probes.size() == 1 && probes[0].instance.value == "k-1");
  cr_assert(Has<SendAttempt>(fixture.Answer(probes[0], 3'002)));
  cr_assert(Has<SendAttempt>(fixture.Request("/keyed/x", 3'500, 7)), "it answered recently");
  const auto again = Probes(fixture.Request("/keyed/x", 4'500, 7));
  cr_assert_eq(again.size(), 1);
  cr_assert(!Has<SendAttempt>(fixture.Answer(again[0], 4'502, Duration{2'000'000})));
}
