#include "src/control/range_balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace graniteseam::control {
namespace {

constexpr Duration kWindow{500'000};
/// Weight of the newest window.
constexpr double kNewest = 0.3;
/// Requests a second that all keys of a service together count for by their mere number.
constexpr double kSizeWeight = 10.0;
/// A move needs an owner that carries so many times the mean of all.
constexpr double kOverloaded = 1.2;
/// And a gain of at least this part of the mean.
constexpr double kWorthwhile = 0.1;
constexpr Duration kMoveInterval{500'000};
/// Moves that are begun together.
constexpr std::size_t kMovesMaximum = 4;

double TotalSlots(const std::vector<RangeCandidate>& candidates) {
  return std::accumulate(
      candidates.begin(), candidates.end(), 0.0,
      [](double sum, const RangeCandidate& candidate) { return sum + candidate.slots; });
}

}  // namespace

void RangeBalancer::TakeLoads(const std::vector<traffic::SpanLoad>& loads, Instant now) {
  for (const traffic::SpanLoad& reported : loads) {
    if (reported.span.last > traffic::kLastKey) continue;
    ServiceLoad& load = loads_[reported.service];
    CloseWindow(load, now);
    load.arrived[reported.span.first / kKeysPerBucket] += reported.requests;
  }
}

void RangeBalancer::CloseWindow(ServiceLoad& load, Instant now) {
  if (load.window_start == Instant{}) load.window_start = now;
  const Duration length = now - load.window_start;
  if (length < kWindow) return;
  const double seconds = std::chrono::duration<double>(length).count();
  const double newest = load.measured ? kNewest : 1.0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    load.rate[bucket] += newest * (load.arrived[bucket] / seconds - load.rate[bucket]);
    load.arrived[bucket] = 0;
  }
  load.window_start = now;
  load.measured = true;
}

double RangeBalancer::LoadOf(const ServiceName& service, const traffic::KeySpan& span) const {
  double sum = kSizeWeight * span.size() / (traffic::kLastKey + 1.0);
  const auto found = loads_.find(service);
  if (found == loads_.end()) return sum;
  for (std::uint32_t bucket = span.first / kKeysPerBucket; bucket <= span.last / kKeysPerBucket;
       ++bucket) {
    const std::uint32_t first = std::max(span.first, bucket * kKeysPerBucket);
    const std::uint32_t last = std::min(span.last, (bucket + 1) * kKeysPerBucket - 1);
    const double part = static_cast<double>(last - first + 1) / kKeysPerBucket;
    sum += found->second.rate[bucket] * part;
  }
  return sum;
}

std::map<traffic::InstanceId, double> RangeBalancer::OwnerLoads(
    const ServiceName& service, const traffic::KeyRangeTable::Ranges& ranges) const {
  std::map<traffic::InstanceId, double> loads;
  for (const auto& [first, range] : ranges) {
    const bool leaves = range.phase == traffic::RangePhase::kReleasing && !range.successor.Empty();
    loads[leaves ? range.successor : range.owner] += LoadOf(service, range.span);
  }
  return loads;
}

std::vector<traffic::RangeAssignment> RangeBalancer::Divide(
    const traffic::KeyRange& range, const traffic::KeyRangeTable::Ranges& ranges,
    const std::vector<RangeCandidate>& candidates) const {
  std::vector<traffic::RangeAssignment> assignments;
  const double total = LoadOf(range.service, range.span);
  auto carried = OwnerLoads(range.service, ranges);
  carried[range.owner] -= total;
  double already = 0;
  for (const RangeCandidate& candidate : candidates) {
    const auto found = carried.find(candidate.id);
    if (found != carried.end()) already += found->second;
  }
  const double mean = (total + already) / TotalSlots(candidates);
  double position = range.span.first;
  const double keys_per_load = range.span.size() / total;
  double left = total;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const RangeCandidate& candidate = candidates[index];
    const auto found = carried.find(candidate.id);
    const double room = mean * candidate.slots - (found == carried.end() ? 0.0 : found->second);
    const double share = std::clamp(room, 0.0, left);
    left -= share;
    const double end =
        left < total * 1e-9 ? range.span.last + 1.0 : position + share * keys_per_load;
    const auto first = static_cast<std::uint32_t>(std::llround(position));
    const auto past = static_cast<std::uint32_t>(std::llround(end));
    position = end;
    if (past <= first) continue;
    assignments.push_back({range.service, {first, past - 1}, range.fence, candidate.id, ""});
  }
  return assignments;
}

std::vector<RangeCandidate> RangeBalancer::Lightest(const traffic::KeyRangeTable::Ranges& ranges,
                                                    std::vector<RangeCandidate> candidates,
                                                    std::size_t count) const {
  if (ranges.empty()) return candidates;
  const auto loads = OwnerLoads(ranges.begin()->second.service, ranges);
  const auto load_of = [&](const RangeCandidate& candidate) {
    const auto found = loads.find(candidate.id);
    return (found == loads.end() ? 0.0 : found->second) / candidate.slots;
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const auto& a, const auto& b) { return load_of(a) < load_of(b); });
  if (candidates.size() > count) candidates.resize(count);
  return candidates;
}

std::optional<traffic::KeySpan> RangeBalancer::PieceOf(const traffic::KeyRange& range,
                                                       double wanted) const {
  // From the end with the hotter keys: the narrower piece carries the same.
  const auto grow = [&](bool from_start) -> std::optional<traffic::KeySpan> {
    double carried = 0;
    std::uint32_t keys = 0;
    while (keys + kKeysPerBucket < range.span.size()) {
      const std::uint32_t edge =
          from_start ? range.span.first + keys : range.span.last - keys - kKeysPerBucket + 1;
      const traffic::KeySpan bucket{edge, edge + kKeysPerBucket - 1};
      const double load = LoadOf(range.service, bucket);
      if (carried + load / 2 > wanted) break;
      carried += load;
      keys += kKeysPerBucket;
    }
    if (keys == 0 || carried < wanted / 3) return std::nullopt;
    if (from_start) return traffic::KeySpan{range.span.first, range.span.first + keys - 1};
    return traffic::KeySpan{range.span.last - keys + 1, range.span.last};
  };
  const auto start = grow(true);
  const auto end = grow(false);
  if (!start || !end) return start ? start : end;
  return start->size() <= end->size() ? start : end;
}

std::vector<traffic::RangeRelease> RangeBalancer::Rebalance(
    const ServiceName& service, const traffic::KeyRangeTable::Ranges& ranges,
    const std::vector<RangeCandidate>& candidates, Instant now) {
  std::vector<traffic::RangeRelease> moves;
  ServiceLoad& measured = loads_[service];
  CloseWindow(measured, now);
  if (!measured.measured || candidates.size() < 2) return moves;
  if (now - last_move_[service] < kMoveInterval) return moves;
  traffic::KeyRangeTable::Ranges planned = ranges;
  while (moves.size() < kMovesMaximum) {
    const auto move = NextMove(service, planned, candidates);
    if (!move) break;
    moves.push_back(*move);
  }
  if (!moves.empty()) last_move_[service] = now;
  return moves;
}

/// The move from the busiest candidate to the one with most room; `ranges` then stand as after it.
std::optional<traffic::RangeRelease> RangeBalancer::NextMove(
    const ServiceName& service, traffic::KeyRangeTable::Ranges& ranges,
    const std::vector<RangeCandidate>& candidates) const {
  const auto loads = OwnerLoads(service, ranges);
  double total = 0;
  for (const auto& [owner, load] : loads) total += load;
  const double mean = total / TotalSlots(candidates);
  const auto load_of = [&](const RangeCandidate& candidate) {
    const auto found = loads.find(candidate.id);
    return (found == loads.end() ? 0.0 : found->second) / candidate.slots;
  };
  const auto [lightest, heaviest] =
      std::minmax_element(candidates.begin(), candidates.end(),
                          [&](const auto& a, const auto& b) { return load_of(a) < load_of(b); });
  const double over = (load_of(*heaviest) - mean) * heaviest->slots;
  const double room = (mean - load_of(*lightest)) * lightest->slots;
  const double wanted = std::min(over, room);
  if (load_of(*heaviest) < mean * kOverloaded || wanted < mean * kWorthwhile) return std::nullopt;
  std::optional<traffic::RangeRelease> best;
  for (const auto& [first, range] : ranges) {
    if (range.owner != heaviest->id || range.phase != traffic::RangePhase::kServing) continue;
    const auto piece = PieceOf(range, wanted);
    if (!piece || (best && best->span.size() <= piece->size())) continue;
    best = traffic::RangeRelease{service, *piece, range.fence, lightest->id};
  }
  if (!best) return std::nullopt;
  auto cut = std::prev(ranges.upper_bound(best->span.first));
  traffic::KeyRange rest = cut->second;
  ranges.erase(cut);
  traffic::KeyRange moved = rest;
  moved.span = best->span;
  moved.phase = traffic::RangePhase::kReleasing;
  moved.successor = lightest->id;
  // A piece is taken from one of the ends.
  if (best->span.first == rest.span.first) {
    rest.span.first = best->span.last + 1;
  } else {
    rest.span.last = best->span.first - 1;
  }
  ranges.emplace(moved.span.first, moved);
  ranges.emplace(rest.span.first, rest);
  return best;
}

}  // namespace graniteseam::control
