#include "src/gateway/caller_age.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace graniteseam::gateway {
namespace {

constexpr std::size_t kSamplesMaximum = 256;
/// Fewer samples do not show the range of first attempts.
constexpr std::size_t kSamplesMinimum = 40;
constexpr std::size_t kSamplesPerEvaluation = 16;
/// Routes beyond this number are not tracked: a configuration may have thousands, most without
/// requests.
constexpr std::size_t kRoutesMaximum = 256;
/// The part of the samples above the top of the range: a few callers state unusually long times.
constexpr std::size_t kOutlierPart = 50;
/// Buckets into which the time up to the top of the range is divided.
constexpr std::size_t kBuckets = 20;
/// A bucket belongs to the range of first attempts if it has at least this part of the mean of the
/// buckets above it. Callers that come back state times that spread over many buckets.
constexpr double kDensePart = 0.5;
/// Standard deviations by which it must also be below that mean, so that chance does not end the
/// range: in half of 1,000 trials with 256 evenly drawn times, a bucket had less than half of the
/// mean.
constexpr double kDeviations = 3;

}  // namespace

auto CallerAge::age_of(traffic::RouteName const& name, Duration stated) -> Duration {
  if (m_routes.size() >= kRoutesMaximum && !m_routes.contains(name)) return {};
  auto& route = m_routes[name];
  route.stated.push_back(stated);
  if (route.stated.size() > kSamplesMaximum) route.stated.pop_front();
  if (++route.since_evaluation >= kSamplesPerEvaluation) evaluate(route);
  if (stated >= route.lowest) return {};
  return route.middle - stated;
}

auto CallerAge::evaluate(Route& route) -> void {
  route.since_evaluation = 0;
  if (route.stated.size() < kSamplesMinimum) return;
  std::vector<Duration> sorted(route.stated.begin(), route.stated.end());
  std::sort(sorted.begin(), sorted.end());
  auto const top = sorted[sorted.size() - 1 - sorted.size() / kOutlierPart];
  std::array<double, kBuckets> counts{};
  for (auto const stated : sorted) {
    if (stated > top || top <= Duration{}) continue;
    auto const bucket = stated.count() * static_cast<std::int64_t>(kBuckets) / (top.count() + 1);
    counts.at(static_cast<std::size_t>(std::max<std::int64_t>(0, bucket))) += 1;
  }
  auto lowest = kBuckets - 1;
  auto sum = counts[lowest];
  while (lowest > 0) {
    auto const mean = sum / static_cast<double>(kBuckets - lowest);
    if (counts[lowest - 1] < std::min(kDensePart * mean, mean - kDeviations * std::sqrt(mean))) {
      break;
    }
    --lowest;
    sum += counts[lowest];
  }
  route.lowest = top * static_cast<std::int64_t>(lowest) / static_cast<std::int64_t>(kBuckets);
  route.middle = (route.lowest + top) / 2;
}

}  // namespace graniteseam::gateway
