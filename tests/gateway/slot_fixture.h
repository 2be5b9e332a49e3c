/// @file
/// What tests of coordinated admission set up: gateways with a service whose keys are leased by
/// heartbeat, and the messages between them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

namespace graniteseam::gateway::test {

/// The peer list's name and address of gateway `number`.
inline traffic::GatewayPeer PeerOf(int number) {
  const std::string text = std::to_string(number);
  return {{"g-" + text}, "10.0.1." + text + ":7200", {"z"}, 1};
}

/// A gateway whose keyed service meets the criteria of coordinated admission. "k-1" owns all keys.
struct SlotFixture : Fixture {
  static GatewayOptions SlotOptions(int number) {
    GatewayOptions options = Options();
    options.id = PeerOf(number).id;
    options.coordination_address = PeerOf(number).address;
    return options;
  }

  static traffic::TrafficUpdate SlotState() {
    traffic::TrafficUpdate update = State();
    update.services[1].lease_form = traffic::LeaseForm::kHeartbeat;
    update.routes[2].target_latency_ms = 800;
    update.routes[2].timeout_ms = 2'500;
    return update;
  }

  /// An update without changes, to be given some.
  traffic::TrafficUpdate NextUpdate() const {
    traffic::TrafficUpdate update;
    update.base = node.version();
    update.version = node.version() + 1;
    update.configuration = node.configuration();
    return update;
  }

  explicit SlotFixture(int number = 1, const traffic::TrafficUpdate& state = SlotState())
      : Fixture(false, SlotOptions(number)) {
    node.OnUpdate(state, kStart);
    Confirm(0);
  }
  explicit SlotFixture(const GatewayOptions& options) : Fixture(false, options) {
    node.OnUpdate(SlotState(), kStart);
    Confirm(0);
  }

  /// The leader's answer to a poll lists exactly these gateways.
  GatewayEffects List(const std::vector<int>& gateways, std::int64_t ms) {
    traffic::TrafficUpdate answer;
    answer.sequence = node.TakePoll(At(ms)).sequence;
    answer.base = answer.version = node.version();
    answer.configuration = node.configuration();
    answer.peers.version = {1, ++list};
    for (const int number : gateways) answer.peers.changed.push_back(PeerOf(number));
    return node.OnUpdate(answer, At(ms));
  }

  GatewayEffects Ask(std::int64_t ms) { return Request("/keyed/x", ms, 7); }

  /// A request whose caller states how long it will wait.
  GatewayEffects AskFor(Duration time_left, std::int64_t ms) {
    ArrivedRequest request;
    request.number = {++numbers};
    request.host = "a.example";
    request.path = "/keyed/x";
    request.key = 7;
    request.time_left = time_left;
    return node.OnRequest(request, At(ms));
  }

  GatewayEffects EndWithLoad(const SendAttempt& send, const ReportedLoad& load, std::int64_t ms) {
    AttemptReport report;
    report.request = send.request;
    report.attempt = send.attempt;
    report.end = AttemptEnd::kAnswered;
    report.status = 200;
    report.load = load;
    return node.OnAttemptEnd(report, At(ms));
  }

  std::uint64_t list = 0;
};

/// A gateway whose list names gateway 2 only, which therefore coordinates all servers.
struct Asking : SlotFixture {
  explicit Asking(const traffic::TrafficUpdate& state = SlotState()) : SlotFixture(1, state) {
    List({2}, 0);
  }
};

/// The batch that is sent to a gateway, all batches to it taken together; nullopt when there is
/// none.
inline std::optional<coordination::SlotBatch> SentTo(const std::string& address,
                                                     const GatewayEffects& effects) {
  std::optional<coordination::SlotBatch> sent;
  for (const GatewayEffect& effect : effects.actions) {
    const auto* const slots = std::get_if<SendSlots>(&effect);
    if (slots == nullptr || slots->send.address != address) continue;
    const coordination::SlotBatch& batch = slots->send.batch;
    if (!sent) sent = coordination::SlotBatch{batch.sender, batch.incarnation, {}, {}, {}};
    sent->requests.insert(sent->requests.end(), batch.requests.begin(), batch.requests.end());
    sent->releases.insert(sent->releases.end(), batch.releases.begin(), batch.releases.end());
    sent->answers.insert(sent->answers.end(), batch.answers.begin(), batch.answers.end());
  }
  return sent;
}

/// The only slot request to gateway 2, which must be there.
inline coordination::SlotRequest AskedOf2(const GatewayEffects& effects) {
  const auto batch = SentTo(PeerOf(2).address, effects);
  cr_assert(batch && batch->requests.size() == 1, "not one slot request");
  return batch->requests.front();
}

/// The only release to gateway 2, which must be there.
inline coordination::SlotRelease ReleasedTo2(const GatewayEffects& effects) {
  const auto batch = SentTo(PeerOf(2).address, effects);
  cr_assert(batch && batch->releases.size() == 1, "not one release");
  return batch->releases.front();
}

/// Gateway 2 answers a slot request.
inline GatewayEffects Answer(SlotFixture& fixture, std::uint64_t number,
                             coordination::SlotVerdict verdict, Duration time, std::int64_t ms) {
  coordination::SlotBatch batch;
  batch.sender = PeerOf(2).id;
  batch.incarnation = 22;
  coordination::SlotAnswer answer;
  answer.number = number;
  answer.verdict = verdict;
  answer.start_in_us = answer.retry_after_us = time.count();
  batch.answers = {answer};
  return fixture.node.OnSlotBatch(PeerOf(2).address, batch, At(ms));
}

inline GatewayEffects Grant(SlotFixture& fixture, std::uint64_t number, std::int64_t ms) {
  return Answer(fixture, number, coordination::SlotVerdict::kGranted, {}, ms);
}

/// How many requests the effects send to servers.
inline std::size_t Sends(const GatewayEffects& effects) {
  std::size_t sends = 0;
  for (const GatewayEffect& effect : effects.actions) {
    if (std::holds_alternative<SendAttempt>(effect)) ++sends;
  }
  return sends;
}

}  // namespace graniteseam::gateway::test
