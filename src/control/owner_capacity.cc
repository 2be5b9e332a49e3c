#include "src/control/owner_capacity.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "graniteseam/traffic/peer.h"

namespace graniteseam::control {
namespace {

/// Fraction of the requests that may wait longer than the target allows.
constexpr double kLateFraction = 0.1;
/// Number of slots up to which the waiting time is computed; its cost grows with the slots. The
/// capacity of larger servers is taken as proportional to their slots.
constexpr double kSlotsMaximum = 64;
/// Halvings of the interval in which the capacity is searched: accurate to 1/65,536 of the
/// throughput.
constexpr int kSteps = 16;

auto seconds_of(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

/// The probability that a request waits, by Erlang C.
/// @param offered load in units of one slot; less than `slots`.
auto waiting_probability(int slots, double offered) -> double {
  // Erlang B by its recursion over the number of slots, which neither overflows nor cancels.
  auto blocked = 1.0;
  for (auto slot = 1; slot <= slots; ++slot) {
    blocked = offered * blocked / (slot + offered * blocked);
  }
  auto const utilization = offered / slots;
  return blocked / (1 - utilization + utilization * blocked);
}

}  // namespace

auto capacity_for_target(double slots, Duration service_time, Duration target) -> double {
  auto const service = std::max(seconds_of(service_time), seconds_of(Duration{1}));
  auto const throughput = slots / service;
  auto const wait = std::max(0.0, seconds_of(target) - service);
  auto const servers = static_cast<int>(std::lround(std::clamp(slots, 1.0, kSlotsMaximum)));
  // Searched in parts of the throughput.
  auto low = 0.0;
  auto high = 1.0;
  for (auto step = 0; step < kSteps; ++step) {
    auto const part = (low + high) / 2;
    auto const spare = (1 - part) * servers / service;
    auto const late = waiting_probability(servers, part * servers) * std::exp(-spare * wait);
    (late <= kLateFraction ? low : high) = part;
  }
  return throughput * low;
}

auto balancing_target(traffic::Configuration const& configuration, ServiceName const& service)
    -> std::optional<Duration> {
  auto const leased = std::any_of(configuration.services.begin(), configuration.services.end(),
                                  [&](auto const& known) {
                                    return known.name == service && known.keyed &&
                                           known.lease_form == traffic::LeaseForm::kHeartbeat;
                                  });
  if (!leased) return std::nullopt;
  auto shortest = std::optional<Duration>{};
  for (auto const& route : configuration.routes) {
    Duration const target = std::chrono::milliseconds(route.target_latency_ms);
    if (target < traffic::kCoordinatedTargetMinimum || (shortest && *shortest <= target)) continue;
    auto const leads_there = std::any_of(route.split.begin(), route.split.end(),
                                         [&](auto const& part) { return part.service == service; });
    if (leads_there) shortest = target;
  }
  return shortest;
}

auto scale_slots(std::vector<RangeCandidate>& candidates, InstanceSpeeds const& speeds,
                 std::optional<Duration> target) -> void {
  auto const times = target ? speeds.ServiceTimes(candidates) : std::vector<Duration>{};
  if (times.empty()) return speeds.ScaleSlots(candidates);
  auto slots = 0.0;
  auto capacity = 0.0;
  auto capacities = std::vector<double>{};
  for (auto index = std::size_t{0}; index < candidates.size(); ++index) {
    capacities.push_back(capacity_for_target(candidates[index].slots, times[index], *target));
    slots += candidates[index].slots;
    capacity += capacities.back();
  }
  // RangeBalancer's thresholds are relative to the load of a slot, so the sum stays.
  for (auto index = std::size_t{0}; index < candidates.size(); ++index) {
    candidates[index].slots = capacities[index] * slots / capacity;
  }
}

}  // namespace graniteseam::control
