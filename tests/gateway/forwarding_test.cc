// A gateway that is partitioned from the servers forwards requests to gateways that are not.
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/peers_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

HopReport Declined() {
  HopReport hop;
  hop.declined = true;
  return hop;
}

}  // namespace

/// Guards against a gateway that tries servers for each request anew while it reaches none.
Test(forwarding, requests_of_a_partitioned_gateway_are_served_by_its_peers) {
  PeersFixture fixture;
  fixture.Partition();
  for (const char* const path : {"/safe/x", "/unsafe/x", "/keyed/x"}) {
    const auto effects = fixture.Request(path, 700, 7);
    cr_assert(!Has<SendAttempt>(effects));
    const auto forward = Only<ForwardRequest>(effects);
    cr_assert(forward.address == "g-2:80" || forward.address == "g-3:80");
    cr_assert_eq(forward.hop.attempts, 2);
    cr_assert_eq(forward.hop.configuration.value, 5);
    cr_assert(forward.time_left <= std::chrono::milliseconds(1'000));
    const auto relayed = fixture.EndForward(forward, AttemptEnd::kAnswered, 200, {}, 800);
    cr_assert(Has<RelayAnswer>(relayed));
  }
}

/// Guards against servers that are full or crashed and count as a partition.
Test(forwarding, servers_that_fail_are_no_partition_while_others_are_reached) {
  PeersFixture fixture;
  fixture.EndTrials(fixture.FailConnections(100), true, 200);
  cr_assert(!fixture.node.is_partitioned());
  cr_assert(Has<SendAttempt>(fixture.Request("/safe/x", 300)));
}

/// Guards against a partition that is noticed only when requests expire, since kept connections
/// hang.
Test(forwarding, silence_of_several_servers_raises_a_suspicion) {
  PeersFixture fixture;
  std::set<traffic::InstanceId> asked;
  for (int i = 0; i < 8; ++i) {
    asked.insert(Only<SendAttempt>(fixture.Request("/safe/x", 100)).instance);
  }
  cr_assert_eq(asked.size(), 2);
  cr_assert(TrialsOf(fixture.node.Tick(At(300))).empty());
  cr_assert_leq(fixture.node.NextTick().time_since_epoch().count(),
                At(550).time_since_epoch().count());
  const auto trials = TrialsOf(fixture.node.Tick(At(550)));
  cr_assert_eq(trials.size(), 4);
  const auto effects = fixture.EndTrials(trials, false, 850);
  cr_assert(fixture.node.is_partitioned());
  const auto forwarded = std::count_if(
      effects.actions.begin(), effects.actions.end(),
      [](const auto& effect) { return std::holds_alternative<ForwardRequest>(effect); });
  cr_assert_eq(forwarded, 8);
}

/// Guards against a request that may not be repeated and is forwarded after it was sent.
Test(forwarding, unsafe_request_that_hangs_at_a_server_is_left_there) {
  PeersFixture fixture;
  for (int i = 0; i < 8; ++i) Only<SendAttempt>(fixture.Request("/unsafe/x", 100));
  const auto effects = fixture.EndTrials(TrialsOf(fixture.node.Tick(At(550))), false, 850);
  cr_assert(fixture.node.is_partitioned());
  cr_assert(!Has<ForwardRequest>(effects) && !Has<AbandonAttempt>(effects));
}

/// Guards against attempts at a peer beyond those that the route allows.
Test(forwarding, attempts_that_a_request_used_are_not_allowed_to_its_peer) {
  PeersFixture fixture;
  for (int i = 0; i < 8; ++i) Only<SendAttempt>(fixture.Request("/safe/x", 100));
  const auto effects = fixture.EndTrials(TrialsOf(fixture.node.Tick(At(550))), false, 850);
  for (const GatewayEffect& effect : effects.actions) {
    const auto* forward = std::get_if<ForwardRequest>(&effect);
    cr_assert(forward == nullptr || forward->hop.attempts == 1);
  }
}

/// Guards against gateways that forward a request in circles, or hold it although they know that
/// they can't serve it.
Test(forwarding, partitioned_peer_declines_at_once) {
  PeersFixture fixture;
  fixture.Partition();
  const auto refusal = Only<Refuse>(fixture.HopRequest({{5}, 2}, 700));
  cr_assert_eq(refusal.status, 503);
  cr_assert(refusal.reason == RefusalReason::kPartitioned && refusal.declines_hop);
}

/// Guards against a request that goes back to an older configuration at another gateway.
Test(forwarding, peer_with_an_older_configuration_declines) {
  PeersFixture fixture;
  const auto refusal = Only<Refuse>(fixture.HopRequest({{6}, 2}, 100));
  cr_assert(refusal.reason == RefusalReason::kOutdated && refusal.declines_hop);
  cr_assert(Has<SendAttempt>(fixture.HopRequest({{5}, 2}, 100)));
}

Test(forwarding, peer_keeps_to_the_attempts_that_it_is_allowed) {
  PeersFixture fixture;
  const auto send = Only<SendAttempt>(fixture.HopRequest({{5}, 1}, 100));
  const auto refusal = Only<Refuse>(fixture.End(send, AttemptEnd::kNotExecuted, 503, 150));
  cr_assert(refusal.reason == RefusalReason::kAttemptsUsed && !refusal.declines_hop);
}

/// Guards against a promise of "not run" for a request that a peer may have run.
Test(forwarding, lost_hop_is_an_unknown_outcome) {
  PeersFixture fixture;
  fixture.Partition();
  for (const char* const path : {"/unsafe/x", "/safe/x"}) {
    const auto forward = Only<ForwardRequest>(fixture.Request(path, 700));
    const auto effects = fixture.EndForward(forward, AttemptEnd::kLost, 0, {}, 750);
    cr_assert(!Has<ForwardRequest>(effects) && !Has<SendAttempt>(effects));
    const auto refusal = Only<Refuse>(effects);
    cr_assert(refusal.reason == RefusalReason::kOutcomeUnknown && refusal.status == 502);
  }
}

Test(forwarding, request_goes_to_the_next_peer_when_one_declines_or_is_not_reached) {
  PeersFixture fixture;
  fixture.Partition();
  const auto first = Only<ForwardRequest>(fixture.Request("/unsafe/x", 700));
  const auto second =
      Only<ForwardRequest>(fixture.EndForward(first, AttemptEnd::kNotSent, 0, {}, 710));
  cr_assert(second.address != first.address);
  const auto effects = fixture.EndForward(second, AttemptEnd::kAnswered, 503, Declined(), 720);
  const auto refusal = Only<Refuse>(effects);
  cr_assert_eq(refusal.status, 503);
  cr_assert(refusal.reason == RefusalReason::kPartitioned && refusal.retry_after.has_value());
}

/// Guards against a peer's own refusal in place of which the gateway makes up another one.
Test(forwarding, refusal_of_a_peer_is_passed_on) {
  PeersFixture fixture;
  fixture.Partition();
  const auto forward = Only<ForwardRequest>(fixture.Request("/unsafe/x", 700));
  cr_assert(Has<RelayAnswer>(fixture.EndForward(forward, AttemptEnd::kAnswered, 503, {}, 710)));
}

/// Guards against a peer's promise of "not run" for a request that ran before it was forwarded.
Test(forwarding, refusal_of_a_peer_is_no_promise_for_a_request_that_may_have_run) {
  PeersFixture fixture;
  for (int i = 0; i < 8; ++i) Only<SendAttempt>(fixture.Request("/safe/x", 100));
  const auto effects = fixture.EndTrials(TrialsOf(fixture.node.Tick(At(550))), false, 850);
  std::vector<ForwardRequest> forwards;
  for (const GatewayEffect& effect : effects.actions) {
    if (const auto* forward = std::get_if<ForwardRequest>(&effect)) forwards.push_back(*forward);
  }
  cr_assert(!forwards.empty());
  const auto ended = fixture.EndForward(forwards[0], AttemptEnd::kAnswered, 503, {}, 900);
  cr_assert(!Has<RelayAnswer>(ended));
  const auto refusal = Only<Refuse>(ended);
  cr_assert(refusal.reason == RefusalReason::kOutcomeUnknown && refusal.status == 502);
}

Test(forwarding, requests_go_to_servers_again_once_they_are_reached) {
  PeersFixture fixture;
  fixture.Partition();
  const auto trials = TrialsOf(fixture.node.Tick(At(700)));
  cr_assert_eq(trials.size(), 4);
  cr_assert(Has<ForwardRequest>(fixture.Request("/safe/x", 701)));
  fixture.EndTrials(trials, true, 702);
  cr_assert(!fixture.node.is_partitioned());
  cr_assert(Has<SendAttempt>(fixture.Request("/safe/x", 703)));
}

/// Guards against an announced shutdown that a gateway passed on and does not keep, since a peer
/// had it from the server.
Test(forwarding, announced_shutdown_holds_over_the_hop) {
  PeersFixture fixture;
  fixture.Partition();
  const auto forward = Only<ForwardRequest>(fixture.Request("/safe/x", 700));
  AttemptReport report;
  report.request = forward.request;
  report.attempt = forward.attempt;
  report.end = AttemptEnd::kAnswered;
  report.status = 200;
  report.hop.server = traffic::InstanceId{"p-1"};
  report.pressure.leaving = true;
  fixture.node.OnAttemptEnd(report, At(800));
  fixture.EndTrials(TrialsOf(fixture.node.Tick(At(900))), true, 910);
  for (int i = 0; i < 50; ++i) {
    const auto send = Only<SendAttempt>(fixture.Request("/safe/x", 3'000 + i));
    cr_assert(send.instance.value == "p-2");
    fixture.End(send, AttemptEnd::kAnswered, 200, 3'000 + i);
  }
}

/// Guards against a gateway that serves by an older configuration than a peer did for it.
Test(forwarding, configuration_of_a_peer_is_not_gone_back_from) {
  PeersFixture fixture;
  fixture.Partition();
  const auto forward = Only<ForwardRequest>(fixture.Request("/safe/x", 700));
  HopReport hop;
  hop.configuration = {7};
  fixture.EndForward(forward, AttemptEnd::kAnswered, 200, hop, 750);
  fixture.EndTrials(TrialsOf(fixture.node.Tick(At(800))), true, 810);
  const auto next = Only<ForwardRequest>(fixture.Request("/safe/x", 900));
  cr_assert_eq(next.hop.configuration.value, 7);
}

/// Guards against a gateway that reaches the servers and has most of its work done by others.
Test(forwarding, few_requests_are_forwarded_without_a_partition) {
  PeersFixture fixture;
  fixture.Partition();
  const auto forward = Only<ForwardRequest>(fixture.Request("/safe/x", 700));
  HopReport hop;
  hop.configuration = {7};
  fixture.EndForward(forward, AttemptEnd::kAnswered, 200, hop, 750);
  fixture.EndTrials(TrialsOf(fixture.node.Tick(At(800))), true, 810);
  constexpr int kRequests = 100;
  std::size_t forwarded = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto effects = fixture.Request("/safe/x", 820);
    cr_assert(!Has<SendAttempt>(effects), "the configuration here is older than the peer's");
    cr_assert(!Has<Refuse>(effects), "the newer one may arrive");
    if (Has<ForwardRequest>(effects)) ++forwarded;
  }
  cr_assert_gt(forwarded, 0);
  cr_assert_leq(forwarded, 20 + kRequests / 5);
  auto update = Fixture::NextState();
  update.configuration = {7};
  cr_assert(Has<SendAttempt>(fixture.node.OnUpdate(update, At(850))));
}

/// Guards against a request that waits for a newer configuration in vain.
Test(forwarding, request_that_is_not_forwarded_is_refused_when_no_configuration_arrives) {
  PeersFixture fixture;
  fixture.Partition();
  const auto forward = Only<ForwardRequest>(fixture.Request("/safe/x", 700));
  HopReport hop;
  hop.configuration = {7};
  fixture.EndForward(forward, AttemptEnd::kAnswered, 200, hop, 750);
  fixture.EndTrials(TrialsOf(fixture.node.Tick(At(800))), true, 810);
  constexpr int kRequestsMaximum = 100;
  int requests = 1;
  while (Has<ForwardRequest>(fixture.Request("/safe/x", 820))) {
    cr_assert_lt(++requests, kRequestsMaximum);
  }
  const auto refusal = Only<Refuse>(fixture.node.Tick(At(900)));
  cr_assert_eq(refusal.status, 503);
  cr_assert(refusal.reason == RefusalReason::kOutdated);
}

/// Guards against a peer that goes on with a request whose caller has gone or is told that its time
/// is over.
Test(forwarding, hop_ends_with_its_caller_and_its_deadline) {
  PeersFixture fixture;
  fixture.Partition();
  const auto gone = Only<ForwardRequest>(fixture.Request("/safe/x", 700));
  cr_assert(Has<AbandonAttempt>(fixture.node.OnCallerGone(gone.request, At(750))));
  fixture.node.Tick(At(1'150));
  Only<ForwardRequest>(fixture.Request("/safe/x", 1'200));
  const auto late = fixture.node.Tick(At(2'250));
  cr_assert(Has<AbandonAttempt>(late));
  cr_assert_eq(Only<Refuse>(late).status, 504);
}

/// Guards against control that takes keys and requests from sound servers, since gateways that are
/// partitioned from them report them as unreached.
Test(forwarding, partitioned_gateway_reports_no_server_as_unreached) {
  PeersFixture fixture;
  const auto trials = fixture.FailConnections(100);
  cr_assert(fixture.node.TakePoll(At(200)).speeds.empty());
  fixture.EndTrials(trials, false, 400);
  cr_assert(fixture.node.TakePoll(At(500)).speeds.empty());
  fixture.EndTrials(TrialsOf(fixture.node.Tick(At(700))), true, 710);
  cr_assert(fixture.node.TakePoll(At(800)).speeds.empty());
}

Test(forwarding, unreached_servers_are_reported_when_there_is_no_partition) {
  PeersFixture fixture;
  fixture.EndTrials(fixture.FailConnections(100), true, 200);
  cr_assert(!fixture.node.TakePoll(At(300)).speeds.empty());
}

/// Guards against a gateway short of processor time that takes servers which accepted for
/// unreached, and forwards its requests.
Test(forwarding, late_gateway_takes_its_time_outs_for_no_partition) {
  PeersFixture fixture;
  const auto trials = fixture.FailConnections(100);
  fixture.BeLate(200, 350);
  const auto effects = fixture.EndTrials(trials, false, 400, FailureCause::kTimeout);
  cr_assert(!fixture.node.is_partitioned());
  cr_assert(!Has<ForwardRequest>(effects));
  cr_assert(Has<SendAttempt>(fixture.Request("/safe/x", 410)));
}

/// Guards against load that makes gateways late, which forward requests and so make more load.
Test(forwarding, gateway_that_is_late_all_the_time_forwards_nothing) {
  for (const int delay_ms : {200, 350, 700}) {
    PeersFixture fixture;
    std::vector<SendAttempt> sent;
    std::vector<TryConnection> tried;
    std::size_t forwarded = 0;
    const auto take = [&](const GatewayEffects& effects) {
      for (const GatewayEffect& effect : effects.actions) {
        if (const auto* send = std::get_if<SendAttempt>(&effect)) sent.push_back(*send);
        if (std::holds_alternative<ForwardRequest>(effect)) ++forwarded;
      }
      const auto trials = TrialsOf(effects);
      tried.insert(tried.end(), trials.begin(), trials.end());
    };
    // Of what is due when the loop runs, the time limits come first, but for one attempt in four.
    for (int ms = 100; ms < 10'000; ms += delay_ms) {
      fixture.BeLate(delay_ms - 25, ms);
      take(fixture.EndTrials(std::exchange(tried, {}), false, ms, FailureCause::kTimeout));
      std::size_t number = 0;
      for (const SendAttempt& send : std::exchange(sent, {})) {
        take(++number % 4 == 0
                 ? fixture.End(send, AttemptEnd::kAnswered, 200, ms)
                 : fixture.Fail(send, AttemptEnd::kNotSent, FailureCause::kTimeout, ms));
      }
      take(fixture.node.Tick(At(ms)));
      for (int i = 0; i < 6; ++i) take(fixture.Request("/safe/x", ms));
      cr_assert(!fixture.node.is_partitioned());
    }
    cr_assert_eq(forwarded, 0);
    cr_assert_eq(fixture.UnreachedInPolls(20'000), 0);
  }
}

/// Guards against a late gateway that finds no partition although its connections are refused.
Test(forwarding, late_gateway_whose_connections_are_refused_finds_the_partition) {
  PeersFixture fixture;
  const auto trials = fixture.FailConnections(100);
  fixture.BeLate(200, 350);
  fixture.EndTrials(trials, false, 400, FailureCause::kConnection);
  cr_assert(fixture.node.is_partitioned());
  cr_assert(Has<ForwardRequest>(fixture.Request("/safe/x", 410)));
}

/// Guards against a silent partition that a gateway which was late never finds.
Test(forwarding, gateway_that_is_in_time_again_finds_the_partition) {
  PeersFixture fixture;
  const auto trials = fixture.FailConnections(100);
  fixture.BeLate(200, 350);
  fixture.EndTrials(trials, false, 400, FailureCause::kTimeout);
  cr_assert(!fixture.node.is_partitioned());
  fixture.BeLate(5, 650);
  const auto again = TrialsOf(fixture.node.Tick(At(650)));
  cr_assert_eq(again.size(), 4);
  fixture.EndTrials(again, false, 950, FailureCause::kTimeout);
  cr_assert(fixture.node.is_partitioned());
}

/// Guards against servers that are ejected, paused and told to control as unreached, since the
/// gateway itself was too late for them.
Test(forwarding, late_gateway_holds_its_time_outs_against_no_server) {
  PeersFixture fixture;
  std::int64_t ms = 1'000;
  for (const FailureCause cause : {FailureCause::kTimeout, FailureCause::kDelay}) {
    auto send = Only<SendAttempt>(fixture.Request("/keyed/x", ms, 7));
    for (int failure = 0; failure < 2; ++failure) {
      ms += 300;
      fixture.BeLate(200, ms);
      cr_assert(TrialsOf(fixture.Fail(send, AttemptEnd::kNotSent, cause, ms)).empty());
      ms += 30;
      send = Only<SendAttempt>(fixture.node.Tick(At(ms)));
      cr_assert(send.instance.value == "k-1", "the owner is not paused");
    }
    fixture.End(send, AttemptEnd::kAnswered, 200, ms);
  }
  cr_assert_eq(fixture.UnreachedInPolls(9'000), 0);
}

Test(forwarding, time_outs_of_a_gateway_in_time_are_held_against_servers) {
  PeersFixture fixture;
  const auto send = Only<SendAttempt>(fixture.Request("/keyed/x", 1'000, 7));
  fixture.BeLate(20, 1'300);
  fixture.Fail(send, AttemptEnd::kNotSent, FailureCause::kTimeout, 1'300);
  cr_assert_eq(fixture.UnreachedInPolls(9'000), 1);
}

/// Guards against an overloaded gateway that waits for one peer after the other.
Test(forwarding, hop_that_failed_by_the_own_delay_is_not_followed_by_another) {
  for (const FailureCause cause : {FailureCause::kTimeout, FailureCause::kDelay}) {
    PeersFixture fixture;
    fixture.Partition();
    const auto forward = Only<ForwardRequest>(fixture.Request("/unsafe/x", 700));
    fixture.BeLate(200, 1'000);
    AttemptReport report;
    report.request = forward.request;
    report.attempt = forward.attempt;
    report.end = AttemptEnd::kNotSent;
    report.cause = cause;
    const auto effects = fixture.node.OnAttemptEnd(report, At(1'000));
    cr_assert(!Has<ForwardRequest>(effects));
    cr_assert(Only<Refuse>(effects).reason == RefusalReason::kPartitioned);
  }
}

/// Guards against hops that fail at peers without processor time and count as one more partition.
Test(forwarding, failed_hops_raise_no_suspicion) {
  PeersFixture fixture;
  fixture.Partition();
  std::vector<ForwardRequest> forwards;
  for (int i = 0; i < 8; ++i) {
    forwards.push_back(Only<ForwardRequest>(fixture.Request("/safe/x", 640)));
  }
  fixture.EndTrials(TrialsOf(fixture.node.Tick(At(650))), true, 660);
  cr_assert(!fixture.node.is_partitioned());
  for (const ForwardRequest& forward : forwards) {
    const auto effects = fixture.EndForward(forward, AttemptEnd::kNotSent, 0, {}, 940);
    cr_assert(TrialsOf(effects).empty());
  }
  cr_assert(TrialsOf(fixture.node.Tick(At(2'000))).empty());
  cr_assert(!fixture.node.is_partitioned());
}

/// Without peers there is nobody to forward to, and a server may still be reached by chance.
Test(forwarding, gateway_without_peers_goes_on_trying_servers) {
  PeersFixture fixture(std::vector<traffic::GatewayPeer>{});
  cr_assert(fixture.FailConnections(100).empty());
  cr_assert(!fixture.node.is_partitioned());
  cr_assert(!fixture.node.TakePoll(At(200)).speeds.empty());
  cr_assert(Has<SendAttempt>(fixture.Request("/safe/x", 700)));
}
