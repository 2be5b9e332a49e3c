// What a gateway sends to instances that warm up.
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
