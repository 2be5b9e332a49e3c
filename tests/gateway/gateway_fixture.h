/// @file
/// What tests of the gateway set up: instances, routes, a gateway with a state of traffic, and its
/// effects.
#pragma once

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <variant>

#include "src/gateway/gateway_node.h"

namespace graniteseam::gateway::test {

inline constexpr Instant kStart = InstantFromMicros(1'000'000'000);

inline Instant At(std::int64_t ms) { return kStart + std::chrono::milliseconds(ms); }

/// A serving instance with two slots.
inline traffic::Instance MakeInstance(const std::string& id, const std::string& service) {
  traffic::Instance instance;
  instance.report.id = {id};
  instance.report.service = {service};
  instance.report.address = "10.0.0.1:80";
  instance.report.slots = 2;
  return instance;
}

inline traffic::Route MakeRoute(const std::string& name, traffic::RouteKind kind,
                                const std::string& service) {
  traffic::Route route;
  route.name = {name};
  route.host = "a.example";
  route.path_prefix = "/" + name + "/";
  route.kind = kind;
  route.timeout_ms = 1'000;
  route.target_latency_ms = 200;
  route.attempts_maximum = 2;
  route.split = {{{service}, 100}};
  return route;
}

/// A gateway with a safe and an unsafe route to "pool" and one to "keyed".
struct Fixture {
  GatewayNode node;
  std::uint64_t numbers = 0;

  static GatewayOptions Options() {
    GatewayOptions options;
    options.id = {"g-1"};
    options.backends.zone = {"z"};
    options.budget.extra = 1'000;
    options.gateways_assumed = 1;
    return options;
  }

  static traffic::TrafficUpdate State() {
    traffic::TrafficUpdate update;
    update.version = 10;
    update.configuration = {5};
    update.routes = {MakeRoute("safe", traffic::RouteKind::kSafe, "pool"),
                     MakeRoute("unsafe", traffic::RouteKind::kUnsafe, "pool"),
                     MakeRoute("keyed", traffic::RouteKind::kSafe, "keyed")};
    traffic::Service pool;
    pool.name = {"pool"};
    traffic::Service keyed;
    keyed.name = {"keyed"};
    keyed.keyed = true;
    update.services = {pool, keyed};
    update.instances = {MakeInstance("p-1", "pool"), MakeInstance("p-2", "pool"),
                        MakeInstance("k-1", "keyed"), MakeInstance("k-2", "keyed")};
    traffic::KeyRange range;
    range.service = {"keyed"};
    range.span = {0, traffic::kLastKey};
    range.phase = traffic::RangePhase::kServing;
    range.owner = {"k-1"};
    range.fence = {3};
    update.ranges = {range};
    update.routers = 1;
    return update;
  }

  /// The update that follows State(), with the same content.
  static traffic::TrafficUpdate NextState() {
    traffic::TrafficUpdate update = State();
    update.base = 10;
    update.version = 11;
    return update;
  }

  /// One after State() in which "k-1", which owns all keys, drains.
  static traffic::TrafficUpdate DrainOfOwner() {
    traffic::TrafficUpdate update = NextState();
    update.ranges.clear();
    update.instances = {MakeInstance("k-1", "keyed")};
    update.instances[0].state = traffic::InstanceState::kDraining;
    return update;
  }

  /// One after State() in which the keys have no owner.
  static traffic::TrafficUpdate LossOfOwner() {
    traffic::TrafficUpdate update = NextState();
    update.ranges[0].phase = traffic::RangePhase::kReleasing;
    update.ranges[0].fence = {11};
    return update;
  }

  explicit Fixture(bool configured = true, const GatewayOptions& options = Options())
      : node(options, 1) {
    if (!configured) return;
    node.OnUpdate(State(), kStart);
    Confirm(0);
  }

  /// The leader answers a poll: it has the same configuration.
  void Confirm(std::int64_t ms) {
    traffic::TrafficUpdate answer;
    answer.sequence = node.TakePoll(At(ms)).sequence;
    answer.base = answer.version = node.version();
    answer.configuration = node.configuration();
    node.OnUpdate(answer, At(ms));
  }

  GatewayEffects Request(const std::string& path, std::int64_t ms,
                         std::optional<std::uint32_t> key = {}) {
    ArrivedRequest request;
    request.number = {++numbers};
    request.host = "A.example:8080";
    request.path = path;
    request.key = key;
    request.time_left = std::chrono::seconds(2);
    return node.OnRequest(request, At(ms));
  }

  GatewayEffects End(const SendAttempt& send, AttemptEnd end, int status, std::int64_t ms) {
    AttemptReport report;
    report.request = send.request;
    report.attempt = send.attempt;
    report.end = end;
    report.status = status;
    return node.OnAttemptEnd(report, At(ms));
  }

  /// The server replies that it does not own the key.
  GatewayEffects EndAsNotOwner(const SendAttempt& send, std::int64_t ms) {
    AttemptReport report;
    report.request = send.request;
    report.attempt = send.attempt;
    report.end = AttemptEnd::kNotExecuted;
    report.status = 421;
    report.not_owner = true;
    return node.OnAttemptEnd(report, At(ms));
  }
};

/// The only effect of a kind, which must be there.
template <class Effect>
Effect Only(const GatewayEffects& effects) {
  const Effect* found = nullptr;
  for (const GatewayEffect& effect : effects.actions) {
    const auto* one = std::get_if<Effect>(&effect);
    if (one == nullptr) continue;
    cr_assert(found == nullptr, "more than one effect of the kind");
    found = one;
  }
  cr_assert(found != nullptr, "no effect of the kind");
  return *found;
}

template <class Effect>
bool Has(const GatewayEffects& effects) {
  for (const GatewayEffect& effect : effects.actions) {
    if (std::holds_alternative<Effect>(effect)) return true;
  }
  return false;
}

}  // namespace graniteseam::gateway::test
