// Each live request has a timer after each event, so that it is answered without any further event.
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tests/gateway/peers_fixture.h"

using namespace graniteseam;
using namespace graniteseam::gateway;
using namespace graniteseam::gateway::test;

namespace {

constexpr std::int64_t kRouteTimeoutMs = 800;
constexpr int kRuns = 3'000;
constexpr int kStepsPerRun = 12;

traffic::TrafficUpdate WithTarget(std::int64_t target_ms) {
  traffic::TrafficUpdate update = Fixture::NextState();
  for (traffic::Route& route : update.routes) {
    route.target_latency_ms = target_ms;
    route.timeout_ms = kRouteTimeoutMs;
  }
  return update;
}

/// Makes a gateway that reaches its servers again know that a peer has a newer configuration, and
/// uses up the part of its requests that it may forward.
void FallBehindPeers(PeersFixture& fixture) {
  fixture.Partition();
  const auto forward = Only<ForwardRequest>(fixture.Request("/safe/x", 600));
  HopReport hop;
  hop.configuration = {6};
  fixture.EndForward(forward, AttemptEnd::kAnswered, 200, hop, 601);
  fixture.EndTrials(TrialsOf(fixture.node.Tick(At(700))), true, 700);
  cr_assert(!fixture.node.is_partitioned());
  constexpr int kRequestsMaximum = 100;
  int requests = 0;
  while (Has<ForwardRequest>(fixture.Request("/safe/x", 700))) {
    cr_assert(++requests < kRequestsMaximum);
  }
}

/// Requests and their attempts, as the effects tell.
class OpenRequests {
 public:
  void Add(RequestNumber number) { attempts_[number] = std::nullopt; }

  void Take(const GatewayEffects& effects) {
    for (const GatewayEffect& effect : effects.actions) {
      if (const auto* const send = std::get_if<SendAttempt>(&effect)) Note(send->request, *send);
      if (const auto* const relay = std::get_if<RelayAnswer>(&effect)) End(relay->request);
      if (const auto* const refusal = std::get_if<Refuse>(&effect)) End(refusal->request);
    }
  }

  std::vector<SendAttempt> InFlight() const {
    std::vector<SendAttempt> sends;
    for (const auto& [number, send] : attempts_) {
      if (send) sends.push_back(*send);
    }
    return sends;
  }
  void AttemptEnded(const SendAttempt& send) { Set(send.request, std::nullopt); }
  std::size_t size() const { return attempts_.size(); }

 private:
  void Note(RequestNumber number, const SendAttempt& send) { Set(number, send); }
  void Set(RequestNumber number, std::optional<SendAttempt> send) {
    const auto found = attempts_.find(number);
    if (found != attempts_.end()) found->second = std::move(send);
  }
  void End(RequestNumber number) { attempts_.erase(number); }

  std::map<RequestNumber, std::optional<SendAttempt>> attempts_;
};

/// A gateway to which a seed's events happen.
class RandomEvents {
 public:
  explicit RandomEvents(unsigned seed) : random_(seed) {
    fixture_.node.OnUpdate(WithTarget(Below(501)), At(0));
    if (Below(2) == 0) {
      // Its server turns it away once the gateway is behind.
      open_.Add({fixture_.numbers + 1});
      open_.Take(fixture_.Request("/keyed/x", 10, 9));
      FallBehindPeers(fixture_);
    }
    now_ms_ = 701;
    fixture_.Confirm(now_ms_);
  }

  void Step() {
    Pass(Below(4) == 0 ? Below(400) : Below(20));
    switch (Below(6)) {
      case 0:
      case 1:
        return Arrive();
      case 2:
      case 3:
        return EndAttempt();
      case 4:
        return Take(fixture_.node.OnUpdate(Change(), At(now_ms_)));
      default:
        return Take(fixture_.node.OnHints({}, At(now_ms_)));
    }
  }

  /// Lets all timers run, with no other event.
  void Finish() { Pass(5'000); }
  std::size_t open() const { return open_.size(); }

 private:
  std::int64_t Below(std::int64_t bound) {
    return std::uniform_int_distribution<std::int64_t>(0, bound - 1)(random_);
  }

  void Take(const GatewayEffects& effects) {
    open_.Take(effects);
    for (const auto& note : effects.notes) {
      cr_assert(note.what != "timer_missing", "%s", note.inputs.c_str());
    }
    cr_assert(fixture_.node.EachRequestHasTimer(), "a request has no timer at %lld ms",
              static_cast<long long>(now_ms_));
  }

  void Pass(std::int64_t span_ms) {
    const std::int64_t end_ms = now_ms_ + span_ms;
    while (fixture_.node.NextTick() <= At(end_ms)) {
      Take(fixture_.node.Tick(std::max(fixture_.node.NextTick(), At(now_ms_))));
    }
    now_ms_ = end_ms;
  }

  void Arrive() {
    static constexpr const char* kPaths[] = {"/keyed/x", "/keyed/x", "/safe/x", "/unsafe/x"};
    ArrivedRequest request;
    request.number = {++fixture_.numbers};
    request.host = "a.example";
    request.path = kPaths[Below(4)];
    request.key = 9;
    request.time_left = std::chrono::milliseconds(Below(5) == 0 ? Below(50) : 2'000);
    open_.Add(request.number);
    Take(fixture_.node.OnRequest(request, At(now_ms_)));
  }

  void EndAttempt() {
    const auto in_flight = open_.InFlight();
    if (in_flight.empty()) return;
    const SendAttempt send =
        in_flight[static_cast<std::size_t>(Below(static_cast<std::int64_t>(in_flight.size())))];
    open_.AttemptEnded(send);
    switch (Below(4)) {
      case 0:
        return Take(fixture_.End(send, AttemptEnd::kAnswered, 200, now_ms_));
      case 1:
        return Take(fixture_.End(send, AttemptEnd::kNotSent, 0, now_ms_));
      case 2:
        return Take(fixture_.End(send, AttemptEnd::kNotExecuted, 503, now_ms_));
      default:
        return Take(fixture_.EndAsNotOwner(send, now_ms_));
    }
  }

  /// The keys' owner changes, is lost or drains.
  traffic::TrafficUpdate Change() {
    traffic::TrafficUpdate update = Fixture::NextState();
    update.routes.clear();
    update.services.clear();
    update.base = fixture_.node.version();
    update.version = update.base + 1;
    update.ranges[0].fence = {update.version};
    update.ranges[0].owner = {Below(2) == 0 ? "k-1" : "k-2"};
    if (Below(3) == 0) update.ranges[0].phase = traffic::RangePhase::kReleasing;
    return update;
  }

  std::mt19937 random_;
  PeersFixture fixture_;
  OpenRequests open_;
  std::int64_t now_ms_ = 0;
};

}  // namespace

/// Guards against CONFIG: a request that its key's owner turned away gets no answer at all. Its
/// hold ended before its next try was due, and it waited for a newer configuration without a timer.
Test(request_timers, request_is_refused_when_its_hold_ends_before_its_next_try) {
  for (const std::int64_t target_ms : {0, 50, 100, 149, 150, 500}) {
    PeersFixture fixture;
    fixture.node.OnUpdate(WithTarget(target_ms), At(0));
    const auto send = Only<SendAttempt>(fixture.Request("/keyed/x", 10, 9));
    FallBehindPeers(fixture);
    bool refused = false;
    const auto take = [&](const GatewayEffects& effects) {
      for (const GatewayEffect& effect : effects.actions) {
        const auto* const refusal = std::get_if<Refuse>(&effect);
        refused = refused || (refusal != nullptr && refusal->request == send.request);
      }
      cr_assert(fixture.node.EachRequestHasTimer(), "target %lld ms",
                static_cast<long long>(target_ms));
    };
    take(fixture.EndAsNotOwner(send, 705));
    // No event but its own timers.
    while (!refused && fixture.node.NextTick() <= At(5'000)) {
      take(fixture.node.Tick(std::max(fixture.node.NextTick(), At(705))));
    }
    cr_assert(refused, "no answer within 5 s with a target of %lld ms",
              static_cast<long long>(target_ms));
  }
}

/// Guards against the same by any other course of events.
Test(request_timers, each_request_has_one_after_each_event_and_is_answered_without_another,
     .timeout = 120) {
  for (int seed = 1; seed <= kRuns; ++seed) {
    RandomEvents events(static_cast<unsigned>(seed));
    for (int step = 0; step < kStepsPerRun; ++step) events.Step();
    events.Finish();
    cr_assert(events.open() == 0, "seed %d: %zu requests have no answer", seed, events.open());
  }
}
