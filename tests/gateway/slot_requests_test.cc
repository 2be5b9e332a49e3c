// A gateway asks for a slot before it sends a request to an owner whose keys are leased by
// heartbeat.
#include "tests/gateway/slot_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

using coordination::SlotOutcome;
using coordination::SlotVerdict;
using std::chrono::milliseconds;

namespace {

/// Two gateways; the second one coordinates the owner.
struct Pair {
  SlotFixture first{1};
  SlotFixture second{2};

  Pair() {
    first.List({2}, 0);
    second.List({2}, 0);
  }

  /// Carries what the first gateway sends, and gives it the answers.
  GatewayEffects Carry(const GatewayEffects& effects, std::int64_t ms) {
    const auto batch = SentTo(PeerOf(2).address, effects);
    cr_assert(batch.has_value(), "nothing is sent to the coordinator");
    return Back(second.node.OnSlotBatch("#1", *batch, At(ms)), ms);
  }
  /// Gives the first gateway what the second one answers.
  GatewayEffects Back(const GatewayEffects& effects, std::int64_t ms) {
    const auto answers = SentTo("#1", effects);
    return answers ? first.node.OnSlotBatch(PeerOf(2).address, *answers, At(ms)) : GatewayEffects{};
  }
};

}  // namespace

/// Guards against a gateway that waits for messages to itself, and against one that sends an owner
/// more than its slots and one when all requests arrive here at once.
Test(slot_requests, gateway_that_coordinates_the_owner_itself_grants_slots_and_one_more_at_once) {
  SlotFixture fixture;
  fixture.List({1}, 0);
  std::size_t sent = 0;
  for (int request = 0; request < 5; ++request) {
    const auto effects = fixture.Ask(10);
    cr_assert(!Has<SendSlots>(effects));
    sent += Sends(effects);
  }
  cr_assert_eq(sent, 3);
  cr_assert_eq(fixture.node.coordinated_queue(), 2);
}

/// Guards against a request that stays queued when a slot becomes free at its own gateway.
Test(slot_requests, answer_frees_the_slot_for_the_next_request_of_the_same_gateway) {
  SlotFixture fixture;
  fixture.List({1}, 0);
  const auto sent = Only<SendAttempt>(fixture.Ask(10));
  for (int request = 0; request < 3; ++request) fixture.Ask(10);
  const auto effects = fixture.End(sent, AttemptEnd::kAnswered, 200, 60);
  cr_assert_eq(Only<SendAttempt>(effects).request.value, 4);
  cr_assert_eq(fixture.node.coordinated_queue(), 0);
}

/// Guards against a request that is sent before its slot is granted, and against an age or a time
/// that the coordinator gets wrong.
Test(slot_requests, request_is_sent_when_another_gateway_grants_its_slot) {
  Asking fixture;
  const auto asked = fixture.Ask(10);
  cr_assert(!Has<SendAttempt>(asked));
  const auto ask = AskedOf2(asked);
  cr_assert(ask.instance.value == "k-1");
  cr_assert(ask.service.value == "keyed");
  cr_assert_eq(ask.slots, 2);
  cr_assert_eq(ask.target_left_us, 800'000);
  cr_assert_eq(ask.time_left_us, 1'990'000);
  cr_assert_eq(ask.hold_us, 800'000);
  cr_assert(!ask.returned);
  const auto send = Only<SendAttempt>(Grant(fixture, ask.number, 12));
  cr_assert(send.instance.value == "k-1");
}

/// Guards against a second grant for one request, which would run it twice.
Test(slot_requests, grant_that_arrives_twice_sends_the_request_once) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  cr_assert_eq(Sends(Grant(fixture, ask.number, 12)), 1);
  cr_assert_eq(Sends(Grant(fixture, ask.number, 13)), 0);
}

/// Guards against a queue at another gateway whose grants do not reach this one, with an owner of
/// two slots that gets four requests at once.
Test(slot_requests, request_queued_at_another_gateway_is_sent_when_an_earlier_one_ends) {
  Pair pair;
  std::vector<SendAttempt> sent;
  for (int request = 0; request < 3; ++request) {
    sent.push_back(Only<SendAttempt>(pair.Carry(pair.first.Ask(10), 12)));
  }
  cr_assert(!Has<SendAttempt>(pair.Carry(pair.first.Ask(14), 16)));
  cr_assert_eq(pair.second.node.coordinated_queue(), 1);
  const auto ended = pair.first.End(sent[0], AttemptEnd::kAnswered, 200, 80);
  cr_assert_eq(Only<SendAttempt>(pair.Carry(ended, 82)).request.value, 4);
}

/// Guards against a rejected request that is held, and against a caller that is told another time
/// than the coordinator's.
Test(slot_requests, rejection_refuses_at_once_with_the_return_time_of_the_coordinator) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  const auto refused =
      Only<Refuse>(Answer(fixture, ask.number, SlotVerdict::kRejected, milliseconds(370), 12));
  cr_assert_eq(refused.status, 503);
  cr_assert(refused.reason == RefusalReason::kOverloaded);
  cr_assert(refused.retry_after == milliseconds(370));
  cr_assert_eq(fixture.node.requests(), 0);
}

/// Guards against a slot of a former owner that stays taken, and a request that waits for it.
Test(slot_requests, owner_changed_while_a_request_waits_for_a_slot) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  Answer(fixture, ask.number, SlotVerdict::kQueued, milliseconds(300), 12);
  auto update = fixture.NextUpdate();
  update.ranges = Fixture::State().ranges;
  update.ranges[0].owner = {"k-2"};
  update.ranges[0].fence = {20};
  const auto effects = fixture.node.OnUpdate(update, At(50));
  cr_assert_eq(ReleasedTo2(effects).number, ask.number);
  const auto next = AskedOf2(effects);
  cr_assert(next.instance.value == "k-2");
  cr_assert_eq(Sends(Grant(fixture, ask.number, 52)), 0);
  cr_assert(Only<SendAttempt>(Grant(fixture, next.number, 54)).instance.value == "k-2");
}

/// Guards against a slot at an owner without keys that stays taken until its time ends.
Test(slot_requests, loss_of_the_owner_withdraws_what_waits_for_a_slot) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  auto update = Fixture::LossOfOwner();
  update.instances.clear();
  update.routes.clear();
  update.services.clear();
  const auto effects = fixture.node.OnUpdate(update, At(50));
  cr_assert_eq(ReleasedTo2(effects).number, ask.number);
  cr_assert(fixture.node.NextTick() < At(2'000));
}

/// Guards against a drained owner that gets requests on slots granted before.
Test(slot_requests, owner_drained_while_a_request_waits_gets_nothing_past_its_allowance) {
  auto state = SlotFixture::SlotState();
  state.routes[2].target_latency_ms = 1'600;
  Asking fixture(state);
  const auto ask = AskedOf2(fixture.Ask(10));
  Answer(fixture, ask.number, SlotVerdict::kQueued, milliseconds(1'400), 12);
  auto update = fixture.NextUpdate();
  update.instances = Fixture::DrainOfOwner().instances;
  fixture.node.OnUpdate(update, At(20));
  // As long as requests that were held may still go to it.
  cr_assert(BackendOptions{}.drain_allowance == milliseconds(1'000));
  const auto effects = Grant(fixture, ask.number, 1'021);
  cr_assert_eq(Sends(effects), 0);
  cr_assert(ReleasedTo2(effects).outcome == SlotOutcome::kUnused);
}

/// Guards against a slot that stays queued for a caller that has disconnected.
Test(slot_requests, caller_gone_while_its_request_waits_withdraws_the_slot_request) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  Answer(fixture, ask.number, SlotVerdict::kQueued, milliseconds(300), 12);
  const auto released = ReleasedTo2(fixture.node.OnCallerGone({1}, At(30)));
  cr_assert_eq(released.number, ask.number);
  cr_assert(released.outcome == SlotOutcome::kUnused);
  cr_assert_eq(Sends(Grant(fixture, ask.number, 31)), 0);
}

/// Guards against a slot that stays taken by a request whose caller disconnected while it ran.
Test(slot_requests, caller_gone_while_its_request_runs_returns_the_slot) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  Grant(fixture, ask.number, 12);
  const auto released = ReleasedTo2(fixture.node.OnCallerGone({1}, At(30)));
  cr_assert_eq(released.number, ask.number);
  cr_assert(released.outcome == SlotOutcome::kLost);
}

/// Guards against a slot that stays taken by a request whose time is over.
Test(slot_requests, deadline_while_waiting_and_while_running_returns_the_slot) {
  Asking fixture;
  const auto waits = AskedOf2(fixture.AskFor(milliseconds(60), 10));
  cr_assert_eq(ReleasedTo2(fixture.node.Tick(At(60))).number, waits.number);
  const auto runs = AskedOf2(fixture.AskFor(milliseconds(300), 70));
  Grant(fixture, runs.number, 72);
  const auto released = ReleasedTo2(fixture.node.Tick(At(360)));
  cr_assert_eq(released.number, runs.number);
  cr_assert(released.outcome == SlotOutcome::kLost);
  cr_assert_eq(fixture.node.requests(), 0);
}

/// Guards against a coordinator that does not hear of the server's load and service time.
Test(slot_requests, answer_releases_the_slot_with_the_load_of_the_server) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  const auto send = Only<SendAttempt>(Grant(fixture, ask.number, 12));
  const auto released = ReleasedTo2(fixture.EndWithLoad(send, {2, 1, 2}, 252));
  cr_assert(released.outcome == SlotOutcome::kServed);
  cr_assert_eq(released.served_us, 240'000);
  cr_assert(released.has_load);
  cr_assert_eq(released.running, 2);
  cr_assert_eq(released.waiting, 1);
  cr_assert_eq(released.slots, 2);
}

/// Guards against a slot that stays taken by an attempt that failed, and a retry without a slot.
Test(slot_requests, lost_attempt_returns_its_slot_and_the_retry_asks_for_another) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  const auto send = Only<SendAttempt>(Grant(fixture, ask.number, 12));
  const auto effects = fixture.End(send, AttemptEnd::kLost, 0, 40);
  cr_assert(ReleasedTo2(effects).outcome == SlotOutcome::kLost);
  cr_assert(!Has<SendAttempt>(effects));
  const auto again = AskedOf2(fixture.node.Tick(At(80)));
  cr_assert(again.number != ask.number);
  cr_assert(Has<SendAttempt>(Grant(fixture, again.number, 82)));
}

/// Guards against callers that returned and are late already, which take the places of requests
/// that can still be in time. First attempts state 5,000 ms; the owner has two slots and a full
/// queue.
Test(slot_requests, returned_caller_waits_behind_one_that_can_be_in_time) {
  SlotFixture fixture;
  fixture.List({1}, 0);
  std::vector<SendAttempt> sent;
  // Enough first attempts to know what they state.
  for (int request = 0; request < 64; ++request) {
    const auto send = Only<SendAttempt>(fixture.AskFor(milliseconds(5'000), request));
    fixture.End(send, AttemptEnd::kAnswered, 200, request);
  }
  for (int request = 0; request < 3; ++request) {
    sent.push_back(Only<SendAttempt>(fixture.AskFor(milliseconds(5'000), 100)));
  }
  cr_assert(!Has<SendAttempt>(fixture.AskFor(milliseconds(3'000), 101)));
  const auto returned = fixture.numbers;
  cr_assert(!Has<SendAttempt>(fixture.AskFor(milliseconds(5'000), 102)));
  const auto fresh = fixture.numbers;
  const auto next = Only<SendAttempt>(fixture.End(sent[0], AttemptEnd::kAnswered, 200, 110));
  cr_assert_eq(next.request.value, fresh);
  const auto last = Only<SendAttempt>(fixture.End(sent[1], AttemptEnd::kAnswered, 200, 120));
  cr_assert_eq(last.request.value, returned);
}

/// Guards against a hot key whose excess waits for slots instead of being refused.
Test(slot_requests, excess_of_a_hot_key_is_refused_and_withdrawn_as_without_coordination) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  traffic::TrafficHints hints;
  hints.hot_keys = {{{"keyed"}, 7, 0}};
  const auto effects = fixture.node.OnHints(hints, At(20));
  cr_assert(Only<Refuse>(effects).reason == RefusalReason::kHotKey);
  cr_assert_eq(ReleasedTo2(effects).number, ask.number);
  const auto later = fixture.Ask(30);
  cr_assert(Only<Refuse>(later).reason == RefusalReason::kHotKey);
  cr_assert(!Has<SendSlots>(later));
}

/// Guards against slots asked for at an owner that backs off, where each grant is returned unused
/// and a rejection names another return time than the owner's.
Test(slot_requests, owner_that_backs_off_is_waited_for_without_a_slot) {
  Asking fixture;
  const auto ask = AskedOf2(fixture.Ask(10));
  const auto send = Only<SendAttempt>(Grant(fixture, ask.number, 12));
  const auto waits = AskedOf2(fixture.Ask(14));
  AttemptReport report;
  report.request = send.request;
  report.attempt = send.attempt;
  report.end = AttemptEnd::kAnswered;
  report.status = 200;
  report.pressure.rest = milliseconds(300);
  const auto ended = SentTo(PeerOf(2).address, fixture.node.OnAttemptEnd(report, At(50)));
  cr_assert_eq(ended->releases.size(), 2);
  cr_assert_eq(ended->releases[1].number, waits.number);
  cr_assert(ended->requests.empty());
  cr_assert(!Has<SendSlots>(fixture.Ask(60)));
  // It is asked again once the back-off has ended.
  const Instant end = fixture.node.NextTick();
  cr_assert(end >= At(350) && end < At(400));
  const auto asked = SentTo(PeerOf(2).address, fixture.node.Tick(end));
  cr_assert_eq(asked->requests.size(), 2);
}

/// Guards against grants that a coordinator drops by the load of another server, which lives at the
/// address now.
Test(slot_requests, load_in_an_answer_of_another_instance_is_not_told_to_the_coordinator) {
  Asking fixture;
  const auto send = Only<SendAttempt>(Grant(fixture, AskedOf2(fixture.Ask(10)).number, 12));
  AttemptReport report;
  report.request = send.request;
  report.attempt = send.attempt;
  report.end = AttemptEnd::kNotExecuted;
  report.status = 421;
  report.not_owner = true;
  report.load = ReportedLoad{0, 0, 4};
  const auto released = ReleasedTo2(fixture.node.OnAttemptEnd(report, At(20)));
  cr_assert(released.outcome == SlotOutcome::kNotRun);
  cr_assert(!released.has_load);
}

/// Guards against an unsafe request that runs twice: its service lost its keys while it waited for
/// a slot, so that it was sent to the pool, and then the grant arrived.
Test(slot_requests, grant_for_a_service_that_has_no_keys_any_more_does_not_send_again) {
  auto state = SlotFixture::SlotState();
  state.routes[2].kind = traffic::RouteKind::kUnsafe;
  Asking fixture(state);
  const auto ask = AskedOf2(fixture.Ask(10));
  auto update = fixture.NextUpdate();
  update.services = {state.services[1]};
  update.services[0].keyed = false;
  const auto effects = fixture.node.OnUpdate(update, At(20));
  cr_assert_eq(Sends(effects), 1);
  cr_assert_eq(Sends(Grant(fixture, ask.number, 30)), 0);
  cr_assert_eq(ReleasedTo2(effects).number, ask.number);
}

/// Guards against coordination that is on without its setting.
Test(slot_requests, gateway_without_a_coordination_address_sends_as_before) {
  auto options = SlotFixture::SlotOptions(1);
  options.coordination_address.clear();
  SlotFixture fixture(options);
  cr_assert(fixture.node.TakePoll(At(1)).peer_address.empty());
  fixture.List({2}, 2);
  for (int request = 0; request < 64; ++request) {
    const auto effects = fixture.AskFor(milliseconds(request < 60 ? 5'000 : 3'000), 10 + request);
    cr_assert(!Has<SendSlots>(effects));
    const auto send = Only<SendAttempt>(effects);
    cr_assert(!Has<SendSlots>(fixture.End(send, AttemptEnd::kAnswered, 200, 10 + request)));
  }
  cr_assert(fixture.node.NextTick() == Instant::max());
}

/// Guards against coordination of a service whose requests cannot afford an unanswered coordinator.
Test(slot_requests, target_latency_below_eight_answer_limits_is_sent_as_before) {
  auto state = SlotFixture::SlotState();
  state.routes[2].target_latency_ms = 799;
  Asking fixture(state);
  const auto effects = fixture.Ask(10);
  cr_assert(Has<SendAttempt>(effects));
  cr_assert(!Has<SendSlots>(effects));
}

/// Guards against a service that is not coordinated whose requests count as late by the age of
/// their callers, so that it is served in another order than before.
Test(slot_requests, ages_of_callers_change_nothing_below_the_target_latency) {
  auto state = SlotFixture::SlotState();
  state.routes[2].target_latency_ms = 799;
  Asking fixture(state);
  for (int request = 0; request < 64; ++request) {
    fixture.AskFor(milliseconds(5'000), 1);
    fixture.node.OnCallerGone({fixture.numbers}, At(1));
  }
  const auto send = Only<SendAttempt>(fixture.AskFor(milliseconds(610), 10));
  const auto ended = fixture.End(send, AttemptEnd::kAnswered, 200, 20);
  cr_assert_eq(ended.ended.size(), 1);
  cr_assert_eq(ended.ended[0].age.count(), 0);
}

/// Guards against coordination of keys that are moved by orders, and of services without keys.
Test(slot_requests, services_without_leases_by_heartbeat_are_sent_as_before) {
  auto state = SlotFixture::SlotState();
  state.services[1].lease_form = traffic::LeaseForm::kOrders;
  state.routes[0].target_latency_ms = 1'000;
  Asking fixture(state);
  cr_assert(Has<SendAttempt>(fixture.Ask(10)));
  const auto pooled = fixture.Request("/safe/x", 20);
  cr_assert(Has<SendAttempt>(pooled));
  cr_assert(!Has<SendSlots>(pooled));
}

/// Guards against a gateway that waits for a coordinator before it knows any.
Test(slot_requests, gateway_that_knows_no_peers_sends_as_before) {
  SlotFixture fixture;
  const auto effects = fixture.Ask(10);
  cr_assert(Has<SendAttempt>(effects));
  cr_assert(!Has<SendSlots>(effects));
}
