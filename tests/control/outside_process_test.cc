/// @file
/// What a control process that is in no membership answers to instances, operators and routers.
#include <criterion/criterion.h>

#include "graniteseam/control/control_node.h"

using namespace graniteseam;
using namespace graniteseam::control;

namespace {

Instant At(std::int64_t milliseconds) { return InstantFromMicros(milliseconds * 1000); }

consensus::Member MemberAt(std::uint64_t id) {
  return {ControlId{id}, DiskIncarnation{id}, "10.0.0." + std::to_string(id) + ":1", {}};
}

/// Process 9, which announces itself to two members.
ControlNode OutsideProcess() {
  ControlOptions options;
  options.membership.enabled = true;
  consensus::RecoveredState recovered;
  recovered.self = MemberAt(9);
  recovered.seeds = {MemberAt(1), MemberAt(2)};
  return {std::move(options), std::move(recovered), 1, At(100'000)};
}

OperatorRequest Heartbeat() {
  ReportInstance heartbeat;
  heartbeat.report.id = {"i-1"};
  heartbeat.report.service = {"s"};
  heartbeat.report.address = "10.0.1.1:80";
  heartbeat.report.sequence = 1;
  return heartbeat;
}

/// Calls that only the leader answers.
std::vector<OperatorRequest> Calls() {
  return {ReadConfiguration{}, DeregisterInstance{{"i-1"}}, ChangeConfiguration{},
          DrainZone{{"zone-1"}, true}};
}

/// The error that a call is answered with at once.
Error RefusalOf(ControlNode& node, const OperatorRequest& call, Instant now) {
  const ControlEffects effects = node.OnOperatorRequest(7, call, now, 0);
  cr_assert_eq(effects.operator_replies.size(), 1U, "call %zu is not answered at once",
               call.index());
  const auto* const error = std::get_if<Error>(&effects.operator_replies[0].answer);
  cr_assert(error != nullptr, "call %zu is answered from an empty state", call.index());
  return *error;
}

}  // namespace

// Workers took the empty configuration, or the acknowledgement, of a process that knew nothing.
Test(outside_process, every_call_is_refused_at_once_while_no_leader_is_known) {
  ControlNode node = OutsideProcess();
  for (std::int64_t now = 100'000; now < 110'000; now += 250) {
    node.Tick(At(now), 0);
    for (const OperatorRequest& call : Calls()) {
      const Error error = RefusalOf(node, call, At(now));
      cr_assert(error.kind == ErrorKind::kNotLeader);
      cr_assert(error.message.find("no leader is known") != std::string::npos);
    }
  }
}

// Heartbeats wait for a leader, so that instances do not ask all processes in a loop.
Test(outside_process, a_heartbeat_is_refused_within_its_bound_and_never_acknowledged) {
  ControlNode node = OutsideProcess();
  std::vector<OperatorReply> replies =
      node.OnOperatorRequest(7, Heartbeat(), At(100'000), 0).operator_replies;
  for (std::int64_t now = 100'000; now <= 100'800; now += 10) {
    for (OperatorReply& reply : node.Tick(At(now), 0).operator_replies) replies.push_back(reply);
  }
  cr_assert_eq(replies.size(), 1U);
  const auto* const error = std::get_if<Error>(&replies[0].answer);
  cr_assert(error != nullptr && error->kind == ErrorKind::kNotLeader);
}

Test(outside_process, a_new_learner_refers_callers_to_the_leader) {
  ControlNode node = OutsideProcess();
  consensus::AppendRequest append;
  append.term = Term{3};
  append.previous_index = LogIndex{50};
  append.previous_term = Term{2};
  node.OnPeerMessage({MemberAt(2), MemberAt(9), append}, At(100'001));
  for (const OperatorRequest& call : Calls()) {
    const Error error = RefusalOf(node, call, At(100'002));
    cr_assert(error.kind == ErrorKind::kNotLeader);
    cr_assert(error.message.find("10.0.0.2:1") != std::string::npos);
  }
  // What changes something is acknowledged after its commit alone.
  cr_assert(node.OnOperatorRequest(8, Heartbeat(), At(100'002), 0).operator_replies.empty());
}

Test(outside_process, a_router_is_told_of_no_state_and_sent_none) {
  ControlNode node = OutsideProcess();
  traffic::TrafficPoll poll;
  poll.router = {"r-1"};
  poll.sequence = 5;
  const ControlEffects effects = node.OnRouterMessage(1, poll, At(100'001), 0);
  cr_assert_eq(effects.router_sends.size(), 1U);
  const auto& answer = std::get<NotLeaderAnswer>(*effects.router_sends[0].message);
  cr_assert(answer.leader_address.empty() && answer.version == 0);
  for (const std::uint64_t version : {0, 40}) {
    const traffic::FeedRequest request{{"r-1"}, 6, version, false};
    cr_assert(node.OnRouterMessage(1, request, At(100'002), 0).router_sends.empty());
  }
}
