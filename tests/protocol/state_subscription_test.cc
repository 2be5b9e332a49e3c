#include "src/protocol/state_subscription.h"

#include <criterion/criterion.h>

using graniteseam::protocol::StateSubscription;

namespace {

constexpr std::size_t kNothing = 0;
constexpr std::size_t kMuch = 1'000'000;

StateSubscription SubscribedAt(std::uint64_t version) {
  StateSubscription state;
  state.Subscribe({{"r1"}, 7, version, false});
  return state;
}

}  // namespace

Test(state_subscription, replaces_skipped_updates_once_the_queue_is_empty) {
  StateSubscription state = SubscribedAt(5);
  cr_assert(state.Admit({5, 6}, kNothing));
  cr_assert(!state.Admit({6, 7}, kMuch));
  cr_assert(!state.TakeRequest(kMuch));
  const auto request = state.TakeRequest(kNothing);
  cr_assert(request && request->version == 6 && request->router.value == "r1");
  cr_assert(!state.TakeRequest(kNothing), "requested twice");
  // Pushed before the request was answered.
  cr_assert(!state.Admit({7, 8}, kNothing));
  cr_assert(state.Admit({6, 8}, kNothing));
  cr_assert(state.Admit({8, 9}, kNothing));
}

Test(state_subscription, requests_again_when_the_replacement_is_skipped) {
  StateSubscription state = SubscribedAt(5);
  cr_assert(!state.Admit({5, 6}, kMuch));
  cr_assert(state.TakeRequest(kNothing));
  cr_assert(!state.Admit({5, 6}, kMuch));
  const auto request = state.TakeRequest(kNothing);
  cr_assert(request && request->version == 5);
}

// An update made for an earlier subscription was sent, and the one that fills the gap was not.
Test(state_subscription, requests_what_lies_before_an_update_with_a_gap) {
  StateSubscription state = SubscribedAt(5);
  cr_assert(!state.Admit({6, 7}, kNothing));
  const auto request = state.TakeRequest(kNothing);
  cr_assert(request && request->version == 5);
  cr_assert(state.Admit({5, 7}, kNothing));
}

Test(state_subscription, sends_nothing_that_the_router_has) {
  StateSubscription state = SubscribedAt(5);
  cr_assert(!state.Admit({4, 5}, kNothing));
  cr_assert(!state.TakeRequest(kNothing));
}

Test(state_subscription, an_ended_one_requests_nothing) {
  StateSubscription state = SubscribedAt(5);
  cr_assert(!state.Admit({5, 6}, kMuch));
  state.Subscribe({{"r1"}, 8, 5, true});
  cr_assert(!state.TakeRequest(kNothing));
}

// Polls request what it lacks again.
Test(state_subscription, without_one_updates_wait_for_an_empty_queue) {
  StateSubscription state;
  cr_assert(state.Admit({0, 6}, kNothing));
  cr_assert(!state.Admit({0, 7}, kMuch));
  cr_assert(!state.TakeRequest(kNothing));
}
