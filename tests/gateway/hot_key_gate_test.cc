#include "src/gateway/hot_key_gate.h"

#include <criterion/criterion.h>

#include "tests/gateway/gateway_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

constexpr std::uint32_t kKey = 7;
const ServiceName kKeyed{"keyed"};

traffic::TrafficHints Hot(double admitted) {
  traffic::TrafficHints hints;
  hints.hot_keys = {{kKeyed, kKey, admitted}};
  return hints;
}

}  // namespace

Test(hot_key_gate, gateways_together_let_in_the_part_that_was_told) {
  int let_in = 0;
  int first_ones = 0;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    HotKeyGate gate(seed);
    gate.update_hot_keys(Hot(0.05).hot_keys, At(0));
    for (int request = 0; request < 10; ++request) {
      const bool admitted = gate.admits(kKeyed, kKey);
      let_in += admitted ? 1 : 0;
      first_ones += admitted && request == 0 ? 1 : 0;
    }
  }
  cr_assert(let_in > 120 && let_in < 180, "%d of 3000", let_in);
  cr_assert(first_ones > 4 && first_ones < 30, "%d of 300 first ones", first_ones);
}

Test(hot_key_gate, key_is_hot_until_it_is_told_otherwise_or_not_told_of_any_more) {
  HotKeyGate gate(1);
  cr_assert(!gate.is_hot(kKeyed, kKey, At(0)));
  gate.update_hot_keys(Hot(0.1).hot_keys, At(0));
  cr_assert(gate.is_hot(kKeyed, kKey, At(1)));
  cr_assert(!gate.is_hot(kKeyed, kKey + 1, At(1)));
  cr_assert(!gate.is_hot({"other"}, kKey, At(1)));
  gate.update_hot_keys(Hot(1).hot_keys, At(2));
  cr_assert(!gate.is_hot(kKeyed, kKey, At(3)));
  gate.update_hot_keys(Hot(0.1).hot_keys, At(4));
  cr_assert(!gate.is_hot(kKeyed, kKey, At(4'000)));
}

Test(hot_key_gate, request_without_a_place_is_refused_at_once_and_others_are_not) {
  Fixture fixture;
  fixture.node.OnHints(Hot(0), At(0));
  const auto refused = Only<Refuse>(fixture.Request("/keyed/x", 1, kKey));
  cr_assert(refused.status == 503 && refused.reason == RefusalReason::kHotKey);
  cr_assert(refused.retry_after.has_value());
  cr_assert(Has<SendAttempt>(fixture.Request("/keyed/x", 1, kKey + 1)));
}

Test(hot_key_gate, what_waits_for_a_key_that_turns_out_hot_is_refused_at_once) {
  Fixture fixture;
  std::size_t waiting = 0;
  for (int request = 0; request < 20; ++request) {
    const auto effects = fixture.Request("/keyed/x", request, kKey);
    if (effects.actions.empty()) ++waiting;
  }
  cr_assert(waiting > 0);
  const auto effects = fixture.node.OnHints(Hot(0), At(25));
  std::size_t refusals = 0;
  for (const GatewayEffect& action : effects.actions) {
    const auto* const refusal = std::get_if<Refuse>(&action);
    if (refusal != nullptr && refusal->reason == RefusalReason::kHotKey) ++refusals;
  }
  cr_assert(refusals == waiting, "%zu of %zu", refusals, waiting);
}
