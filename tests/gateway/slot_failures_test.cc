// Coordinators that do not answer, and gateways that stood still or are gone.
#include "tests/gateway/slot_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

using coordination::SlotOutcome;
using coordination::SlotVerdict;
using std::chrono::milliseconds;

/// Guards against a request that waits for a coordinator that was killed.
Test(slot_failures, silent_coordinator_costs_100_ms_then_the_request_is_sent_without_a_slot) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  cr_assert(fixture.node.NextTick() == At(110));
  cr_assert(!Has<SendAttempt>(fixture.node.Tick(At(109))));
  const auto effects = fixture.node.Tick(At(110));
  cr_assert(Has<SendAttempt>(effects));
  const auto withdrawn = ReleasedTo2(effects);
  cr_assert_eq(withdrawn.number, ask.number);
  cr_assert(withdrawn.outcome == SlotOutcome::kUnused);
  // A late grant belongs to a request that is under way.
  cr_assert_eq(Sends(Grant(fixture, ask.number, 120)), 0);
}

/// Guards against each request waiting for a coordinator that is known to be silent.
Test(slot_failures, coordinator_silent_twice_is_not_asked_for_a_second_and_its_link_is_closed) {
  Asking fixture;
  fixture.Ask(10);
  fixture.node.Tick(At(110));
  fixture.Ask(120);
  cr_assert(Only<ResetPeer>(fixture.node.Tick(At(220))).address == PeerOf(2).address);
  cr_assert(Has<SendAttempt>(fixture.Ask(1'000)));
  // One request at a time tries it again.
  const auto tried = AskedOf2(fixture.Ask(1'230));
  const auto beside = fixture.Ask(1'231);
  cr_assert(Has<SendAttempt>(beside));
  cr_assert(!Has<SendSlots>(beside));
  cr_assert(Has<SendAttempt>(Grant(fixture, tried.number, 1'240)));
  AskedOf2(fixture.Ask(1'250));
}

/// Guards against a request that is refused for want of a slot although its coordinator never
/// answered: its machine stood still until both its answer and its hold time were overdue.
Test(slot_failures, late_request_of_a_gateway_that_stood_still_is_sent_without_a_slot) {
  Asking fixture;
  for (int request = 0; request < 64; ++request) {
    fixture.AskFor(milliseconds(5'000), 1);
    fixture.node.OnCallerGone({fixture.numbers}, At(1));
  }
  const auto ask = AskedOf2(fixture.AskFor(milliseconds(610), 10));
  cr_assert(ask.returned);
  cr_assert_eq(ask.hold_us, 150'000);
  cr_assert(Has<SendAttempt>(fixture.node.Tick(At(270))));
}

/// Guards against a slot request that is repeated and withdrawn in one batch, by a gateway that
/// stood still until the expected start and the hold time had both passed.
Test(slot_failures, queued_request_of_a_gateway_that_stood_still_leaves_no_slot_request_open) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  Answer(fixture, ask.number, SlotVerdict::kQueued, milliseconds(300), 12);
  const auto effects = fixture.node.Tick(At(920));
  cr_assert(Only<Refuse>(effects).reason == RefusalReason::kOverloaded);
  const auto batch = SentTo(PeerOf(2).address, effects);
  cr_assert(batch->requests.empty());
  cr_assert_eq(ReleasedTo2(effects).number, ask.number);
}

/// Guards against a request that waits for ever when its grant and its rejection are lost.
Test(slot_failures, lost_answers_after_a_place_in_the_queue_end_with_the_hold_time) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  Answer(fixture, ask.number, SlotVerdict::kQueued, milliseconds(100), 12);
  // Repeated once its expected start has passed.
  const auto repeated = AskedOf2(fixture.node.Tick(At(212)));
  cr_assert_eq(repeated.number, ask.number);
  cr_assert(Has<SendAttempt>(fixture.node.Tick(At(312))));
}

/// Guards against a request that is sent after its deadline, when a machine that was suspended
/// reads the grant before its timers fire.
Test(slot_failures, grant_read_after_the_deadline_does_not_send_the_request) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  const auto effects = Grant(fixture, ask.number, 2'010);
  cr_assert_eq(Sends(effects), 0);
  cr_assert(Only<Refuse>(effects).reason == RefusalReason::kDeadline);
  cr_assert(ReleasedTo2(effects).outcome == SlotOutcome::kUnused);
}

/// Guards against an owner that is sent requests past its coordinator, since another owner's was
/// silent before.
Test(slot_failures, silence_of_a_coordinator_does_not_send_later_attempts_without_a_slot) {
  Asking fixture;
  fixture.Ask(10);
  const auto send = Only<SendAttempt>(fixture.node.Tick(At(110)));
  fixture.End(send, AttemptEnd::kLost, 0, 140);
  const auto effects = fixture.node.Tick(At(180));
  cr_assert(!Has<SendAttempt>(effects));
  cr_assert(Has<SendAttempt>(Grant(fixture, AskedOf2(effects).number, 182)));
}

/// Guards against a request that goes to a new owner without a slot, since the coordinator of the
/// former one was silent.
Test(slot_failures, silence_of_a_coordinator_does_not_send_to_the_next_owner_without_a_slot) {
  Asking fixture;
  const auto first = Only<SendAttempt>(Grant(fixture, AskedOf2(fixture.Ask(10)).number, 12));
  fixture.EndWithLoad(first, {40, 40, 2}, 20);
  fixture.Ask(22);
  // The owner has no room, so that the request waits as before.
  cr_assert(!Has<SendAttempt>(fixture.node.Tick(At(122))));
  auto update = fixture.NextUpdate();
  update.ranges = Fixture::State().ranges;
  update.ranges[0].owner = {"k-2"};
  update.ranges[0].fence = {20};
  const auto effects = fixture.node.OnUpdate(update, At(130));
  cr_assert(!Has<SendAttempt>(effects));
  cr_assert(AskedOf2(effects).instance.value == "k-2");
}

/// Guards against a request that is sent although the update that frees its slot quarantines it.
Test(slot_failures, removed_gateway_frees_no_slot_for_a_request_quarantined_by_the_same_update) {
  SlotFixture fixture;
  fixture.List({1}, 0);
  coordination::SlotBatch others;
  others.sender = PeerOf(3).id;
  others.incarnation = 33;
  coordination::SlotRequest taken;
  taken.instance = {"k-1"};
  taken.slots = 2;
  taken.target_left_us = taken.hold_us = 800'000;
  taken.time_left_us = 2'000'000;
  for (taken.number = 1; taken.number <= 3; ++taken.number) others.requests.push_back(taken);
  fixture.node.OnSlotBatch("#3", others, At(5));
  ArrivedRequest crashing;
  crashing.number = {++fixture.numbers};
  crashing.host = "a.example";
  crashing.path = "/keyed/x";
  crashing.key = 7;
  crashing.time_left = milliseconds(2'000);
  crashing.digest = {77};
  cr_assert(!Has<SendAttempt>(fixture.node.OnRequest(crashing, At(10))));
  fixture.List({1, 3}, 12);
  auto update = fixture.NextUpdate();
  update.peers.version = {1, ++fixture.list};
  update.peers.changed = {PeerOf(1)};
  traffic::SuspectRequest suspect;
  suspect.digest = {77};
  suspect.ended = {{"k-2"}, {"k-3"}, {"k-4"}};
  update.suspects = {suspect};
  const auto effects = fixture.node.OnUpdate(update, At(20));
  cr_assert_eq(Sends(effects), 0);
  cr_assert(Only<Refuse>(effects).reason == RefusalReason::kQuarantined);
}

/// Guards against a caller that is sent away until its request is late: a server that refuses part
/// of its requests although it has room for them may run the next one.
Test(slot_failures, server_that_refuses_requests_with_slots_lets_their_callers_return_at_once) {
  SlotFixture fixture;
  fixture.List({1}, 0);
  auto send = Only<SendAttempt>(fixture.Ask(10));
  auto effects = fixture.End(send, AttemptEnd::kNotExecuted, 503, 20);
  for (std::int64_t ms = 60; !Has<Refuse>(effects) && ms < 500; ms += 40) {
    effects = fixture.node.Tick(At(ms));
    if (!Has<SendAttempt>(effects)) continue;
    effects = fixture.End(Only<SendAttempt>(effects), AttemptEnd::kNotExecuted, 503, ms + 10);
  }
  const auto refused = Only<Refuse>(effects);
  cr_assert(refused.reason == RefusalReason::kAttemptsUsed);
  cr_assert(refused.retry_after <= milliseconds(50));
}
