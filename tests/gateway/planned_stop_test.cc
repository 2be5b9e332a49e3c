// Which requests a gateway still begins while its process stops.
#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

/// A gateway that begins only what ends by 3,000 ms, from 2,000 ms on. Routes have 1,000 ms.
struct StoppingFixture : Fixture {
  StoppingFixture() { node.BeginStop({At(2'000), At(3'000)}); }

  GatewayEffects RequestOfPeer(const std::string& path, std::int64_t ms) {
    ArrivedRequest request;
    request.number = {++numbers};
    request.host = "a.example";
    request.path = path;
    request.time_left = std::chrono::seconds(2);
    request.hop = HopLimits{{5}, 1};
    return node.OnRequest(request, At(ms));
  }
};

}  // namespace

/// Guards against requests that were taken late in a stop and broken off at its end.
Test(planned_stop, request_that_may_outlast_the_stop_is_refused_unsent) {
  for (const std::string path : {"/safe/x", "/unsafe/x"}) {
    StoppingFixture fixture;
    const GatewayEffects effects = fixture.Request(path, 2'001);
    const auto refusal = Only<Refuse>(effects);
    cr_assert_eq(refusal.status, 503);
    cr_assert(refusal.reason == RefusalReason::kStopping);
    cr_assert(refusal.retry_after.has_value());
    cr_assert(!Has<SendAttempt>(effects));
    cr_assert_eq(fixture.node.requests(), 0);
  }
}

Test(planned_stop, request_that_ends_before_the_stop_is_sent) {
  StoppingFixture fixture;
  cr_assert(Has<SendAttempt>(fixture.Request("/unsafe/x", 2'000)));
}

Test(planned_stop, request_that_came_early_in_the_stop_is_sent) {
  StoppingFixture fixture;
  fixture.node.BeginStop({At(2'000), At(2'100)});
  cr_assert(Has<SendAttempt>(fixture.Request("/unsafe/x", 1'999)));
}

/// Guards against a gateway that relays the refusal of one that stops, instead of asking another.
Test(planned_stop, refusal_to_a_peer_tells_it_to_try_another_gateway) {
  StoppingFixture fixture;
  cr_assert(Only<Refuse>(fixture.RequestOfPeer("/unsafe/x", 2'500)).declines_hop);
}
