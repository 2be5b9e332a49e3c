// What callers are told about operations that may not be repeated, before and after the journal was
// asked whether an earlier sending ran.
#include <criterion/criterion.h>

#include <optional>

#include "graniteseam/routing/router_node.h"

using namespace std::chrono_literals;
using namespace graniteseam;
using namespace graniteseam::routing;

namespace {

const Instant kStart = InstantFromMicros(1'000'000);

/// A router with a lease for one service that may not be repeated, and one server.
class LeasedRouter {
 public:
  LeasedRouter() : node_(Options(), 1, kStart) {
    control::RouterRenewalAnswer answer;
    answer.sequence = Renewal(node_.Tick(kStart)).sequence;
    answer.bundle = TestBundle();
    answer.map.emplace();
    answer.map->version = 1;
    answer.map->servers.push_back(
        {ServerId{"server-1"}, ServiceName{"billing"}, "10.0.0.1:80", ZoneName{"zone-1"}});
    answer.allotments.push_back({GroupName{"carrier-a"}, ServiceName{"billing"}, 10});
    auto effects = node_.OnControlMessage(answer, kStart);
    answer.sequence = Renewal(effects).sequence;
    answer.bundle.reset();
    answer.granted = true;
    answer.lease_us = 1'000'000;
    node_.OnControlMessage(answer, kStart);
  }

  RouterNode& node() { return node_; }

  static CallerRequest Operation() {
    CallerRequest request;
    request.number = 1;
    request.service = ServiceName{"billing"};
    request.group = GroupName{"carrier-a"};
    request.deadline = 500ms;
    request.operation = OperationId{"019e7044-aca5-77e1-8508-cf44ac6374b4"};
    return request;
  }

 private:
  static RouterNodeOptions Options() {
    RouterNodeOptions options;
    options.router = RouterId{"router-1"};
    return options;
  }
  static bundle::Bundle TestBundle() {
    bundle::Bundle bundle;
    bundle.version = {1};
    bundle::Service service;
    service.name = {"billing"};
    bundle.services.push_back(service);
    bundle.groups.push_back({GroupName{"carrier-a"}, {service.name}, "", 1.0, 64});
    return bundle;
  }
  static control::RouterRenewal Renewal(const RouterEffects& effects) {
    for (const auto& message : effects.control_messages) {
      if (const auto* renewal = std::get_if<control::RouterRenewal>(&message)) return *renewal;
    }
    cr_assert_fail("no renewal was sent");
    return {};
  }

  RouterNode node_;
};

std::optional<control::JournalRequest> JournalIn(const RouterEffects& effects) {
  for (const auto& message : effects.control_messages) {
    if (const auto* journal = std::get_if<control::JournalRequest>(&message)) return *journal;
  }
  return std::nullopt;
}

}  // namespace

// Found by the simulator, seed 1: a caller resends through a router that was cut off, is told
// not_run, and the operation had run through another router.
Test(operation_outcome, a_router_without_a_lease_does_not_say_that_an_operation_did_not_run) {
  RouterNodeOptions options;
  options.router = RouterId{"alone"};
  RouterNode node(options, 1, kStart);
  const auto effects = node.OnRequest(LeasedRouter::Operation(), kStart);
  cr_assert_eq(effects.answers.size(), 1);
  cr_assert(effects.answers[0].outcome == RequestOutcome::kOutcomeUnknown);
  cr_assert_eq(effects.answers[0].status, 503);
  cr_assert(effects.answers[0].error.kind == ErrorKind::kUnavailable);
  cr_assert(effects.answers[0].retry_after.has_value());
}

Test(operation_outcome, a_silent_journal_leaves_the_outcome_unknown) {
  LeasedRouter router;
  cr_assert(JournalIn(router.node().OnRequest(LeasedRouter::Operation(), kStart)).has_value());
  const auto effects = router.node().Tick(kStart + 500ms);
  cr_assert_eq(effects.answers.size(), 1);
  cr_assert(effects.answers[0].outcome == RequestOutcome::kOutcomeUnknown);
  cr_assert_eq(effects.answers[0].status, 503);
  cr_assert(effects.sends.empty());
}

Test(operation_outcome, a_claim_proves_that_nothing_ran_before) {
  LeasedRouter router;
  const auto journal = JournalIn(router.node().OnRequest(LeasedRouter::Operation(), kStart));
  cr_assert(journal.has_value());
  control::JournalAnswer answer{journal->sequence, {}};
  answer.results.push_back({journal->claims[0].operation, journal->claims[0].claim,
                            control::ClaimVerdict::kClaimed, std::nullopt});
  const auto claimed = router.node().OnControlMessage(answer, kStart + 1ms);
  cr_assert_eq(claimed.sends.size(), 1);
  AttemptResult result;
  result.request = 1;
  result.attempt = claimed.sends[0].attempt;
  result.end = AttemptEnd::kDeadlinePassed;
  const auto ended = router.node().OnAttemptEnd(result, kStart + 500ms);
  cr_assert_eq(ended.answers.size(), 1);
  cr_assert(ended.answers[0].outcome == RequestOutcome::kNotRun);
}
