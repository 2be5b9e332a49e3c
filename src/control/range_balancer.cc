#include "src/control/range_balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace graniteseam::control {
namespace {

constexpr Duration kWindow{250'000};
/// Weights of the newest window in the slow and in the fast moving average.
constexpr float kSlowMeanWeight = 0.1F;
constexpr float kFastMeanWeight = 0.5F;
/// Rate, in requests per second, from which a key or a block of keys counts by the fast average.
constexpr float kHotRate = 6.0F;
/// Size of the blocks in which neighbouring keys are evaluated: a fifth of the narrowest share with
/// 300 owners.
constexpr std::uint32_t kBlockKeys = 64;
/// Averaging time of the fast average in seconds, and the number of standard deviations of a count
/// over that time by which a block has to exceed its slow average. With 2.5, random variation moves
/// a block once in several minutes.
constexpr double kFastSeconds = 0.75;
constexpr double kDeviations = 2.5;
/// The same number for an owner that is to release keys. It is lower, because waiting for certainty
/// while queues build up costs more than a needless move: with 2.5, the result on a day of high
/// load was 0.009 lower.
constexpr double kMoveDeviations = 1.0;
/// Averaging time of the slow average in seconds: ten windows.
constexpr double kSlowSeconds = 2.5;
/// Load, in requests per second, that is attributed to all keys of a service together for their
/// number alone.
constexpr double kSizeWeight = 10.0;
/// Minimum load of an owner, relative to the mean, for a move away from it.
constexpr double kOverloaded = 1.25;
/// Minimum gain of a move, relative to the mean load.
constexpr double kGainMinimum = 0.1;
constexpr Duration kRebalanceInterval{250'000};
/// Minimum time between moves of a hot key. A moving key has no owner for about a second, so its
/// faster owner first has to make up for that several times, even if measured speeds change
/// meanwhile.
constexpr Duration kHotKeyMoveInterval{8'000'000};
/// Factor by which another candidate has to be faster to receive a hot key.
constexpr double kHotKeySpeedRatio = 1.2;
/// Maximum concurrent moves: this minimum, or one for this number of candidates if that is more,
/// because the moves that a shift of load needs grow with the number of owners. A limit of a
/// quarter of 153 owners gave five times the moves, and more requests that found no owner.
constexpr std::size_t kMovesMinimum = 8;
constexpr std::size_t kCandidatesPerMove = 16;
/// Load relative to the mean from which an owner counts as a hot spot, and the limit of concurrent
/// moves for these. A hot spot on a few hundred neighbouring keys hits one owner. Spreading it
/// takes as many moves as there are owners to share it, and until then its requests wait in one
/// queue.
constexpr double kHotSpotOverload = 2.0;
constexpr std::size_t kCandidatesPerHotSpotMove = 3;
/// Number of ranges, in all or for each candidate if that is more, up to which moves and losses of
/// owners may cut ranges; above it, ranges move as a whole. Each range is renewed by a call of its
/// own and evaluated in every decision. Without a limit, 62 moves a second turned 385 owners'
/// ranges into more than 1,250 within 16 s, and their renewals alone used all that a leader with a
/// third of a core has.
constexpr std::size_t kRangesMinimum = 256;
constexpr std::size_t kRangesPerCandidate = 2;
/// Time from an owner's heartbeat whose answer revokes keys until their requests have ended and the
/// owner reports the release: one heartbeat interval of 100 ms, and requests that run for some
/// hundred milliseconds.
constexpr Duration kReleaseTime{250'000};
/// Part of the largest free capacity that a candidate needs to be preferred for its earlier
/// heartbeat.
constexpr double kRoomPartMinimum = 0.6;

std::size_t MovesMaximum(const std::vector<RangeCandidate>& candidates) {
  return std::max(kMovesMinimum, candidates.size() / kCandidatesPerMove);
}

std::size_t HotSpotMovesMaximum(const std::vector<RangeCandidate>& candidates) {
  return std::max(kMovesMinimum, candidates.size() / kCandidatesPerHotSpotMove);
}

/// Whether a range is moving to a chosen successor. Spans that are released because their owners
/// leave do not count: with hundreds of owners there are always some.
bool IsMoving(const traffic::KeyRange& range) {
  return range.phase == traffic::RangePhase::kReleasing && !range.successor.Empty();
}

double TotalSlots(const std::vector<RangeCandidate>& candidates) {
  return std::accumulate(
      candidates.begin(), candidates.end(), 0.0,
      [](double sum, const RangeCandidate& candidate) { return sum + candidate.slots; });
}

}  // namespace

void MarkMoved(traffic::KeyRangeTable::Ranges& ranges, const traffic::RangeRelease& move) {
  const auto holder = std::prev(ranges.upper_bound(move.span.first));
  const traffic::KeyRange whole = holder->second;
  ranges.erase(holder);
  const auto put = [&](std::uint32_t first, std::uint32_t last) {
    traffic::KeyRange& part = ranges[first] = whole;
    part.span = {first, last};
    return &part;
  };
  if (whole.span.first < move.span.first) put(whole.span.first, move.span.first - 1);
  if (move.span.last < whole.span.last) put(move.span.last + 1, whole.span.last);
  traffic::KeyRange* const moved = put(move.span.first, move.span.last);
  moved->phase = traffic::RangePhase::kReleasing;
  moved->successor = move.successor;
}

Instant RangeCandidate::NextHeartbeatFrom(Instant time) const {
  if (heartbeat_interval <= Duration{} || next_heartbeat >= time)
    return std::max(next_heartbeat, time);
  const auto intervals =
      (time - next_heartbeat + heartbeat_interval - Duration{1}) / heartbeat_interval;
  return next_heartbeat + intervals * heartbeat_interval;
}

void RangeBalancer::TakeLoads(const std::vector<traffic::ServiceLoads>& loads, Instant now) {
  for (const traffic::ServiceLoads& reported : loads) {
    ServiceLoad& load = loads_[reported.service];
    CloseWindow(load, now);
    for (const traffic::KeyLoad& one : reported.keys) {
      if (one.key <= traffic::kLastKey) load.arrived[one.key] += static_cast<float>(one.requests);
    }
  }
}

void RangeBalancer::CloseWindow(ServiceLoad& load, Instant now) {
  if (load.window_start == Instant{}) load.window_start = load.first_window = now;
  const Duration length = now - load.window_start;
  if (length < kWindow) return;
  const auto seconds = static_cast<float>(std::chrono::duration<double>(length).count());
  // The first windows have equal weights, because an average of few windows is more accurate than
  // the newest one.
  const float newest = std::max(kSlowMeanWeight, 1.0F / static_cast<float>(load.windows + 1));
  load.hot.clear();
  for (std::uint32_t key = 0; key <= traffic::kLastKey; ++key) {
    const float seen = load.arrived[key] / seconds;
    load.rate[key] += newest * (seen - load.rate[key]);
    load.fast_rate[key] += kFastMeanWeight * (seen - load.fast_rate[key]);
    load.arrived[key] = 0;
    if (load.fast_rate[key] >= kHotRate) load.hot[key] = load.fast_rate[key];
  }
  load.window_start = now;
  ++load.windows;
  ComputePrefixSums(load);
}

void RangeBalancer::ComputePrefixSums(ServiceLoad& load) {
  for (std::uint32_t block = 0; block <= traffic::kLastKey; block += kBlockKeys) {
    double slow = 0;
    double fast = 0;
    for (std::uint32_t key = block; key < block + kBlockKeys; ++key) {
      slow += load.rate[key];
      fast += load.fast_rate[key];
    }
    const double chance = kDeviations * std::sqrt(slow / kFastSeconds);
    const bool hot_spot = fast >= kHotRate && fast - slow > chance;
    const double part = hot_spot ? (fast - slow) / fast : 0.0;
    for (std::uint32_t key = block; key < block + kBlockKeys; ++key) {
      load.load_before[key + 1] =
          load.load_before[key] + load.rate[key] + part * load.fast_rate[key];
    }
  }
}

std::map<std::uint32_t, float> RangeBalancer::HotKeys(const ServiceName& service) const {
  const auto found = loads_.find(service);
  return found == loads_.end() ? std::map<std::uint32_t, float>{} : found->second.hot;
}

double RangeBalancer::LoadOf(const ServiceName& service, const traffic::KeySpan& span) const {
  const double sum = kSizeWeight * span.size() / (traffic::kLastKey + 1.0);
  const auto found = loads_.find(service);
  if (found == loads_.end()) return sum;
  const std::vector<double>& load_before = found->second.load_before;
  return sum + load_before[span.last + 1] - load_before[span.first];
}

RangeBalancer::LoadByOwner RangeBalancer::OwnerLoads(
    const ServiceName& service, const traffic::KeyRangeTable::Ranges& ranges) const {
  LoadByOwner loads;
  for (const auto& [first, range] : ranges) {
    loads[IsMoving(range) ? range.successor : range.owner] += LoadOf(service, range.span);
  }
  return loads;
}

bool RangeBalancer::MayCut(const traffic::KeyRangeTable::Ranges& ranges,
                           const std::vector<RangeCandidate>& candidates) {
  return ranges.size() < std::max(kRangesMinimum, kRangesPerCandidate * candidates.size());
}

std::vector<traffic::RangeAssignment> RangeBalancer::Divide(
    const traffic::KeyRange& range, LoadByOwner& loads,
    const std::vector<RangeCandidate>& candidates) const {
  std::vector<traffic::RangeAssignment> assignments;
  const double total = LoadOf(range.service, range.span);
  loads[range.owner] -= total;
  double already = 0;
  for (const RangeCandidate& candidate : candidates) already += loads[candidate.id];
  const double mean = (total + already) / TotalSlots(candidates);
  double position = range.span.first;
  const double keys_per_load = range.span.size() / total;
  double left = total;
  for (const RangeCandidate& candidate : candidates) {
    double& carried = loads[candidate.id];
    const double share = std::clamp(mean * candidate.slots - carried, 0.0, left);
    left -= share;
    const double end =
        left < total * 1e-9 ? range.span.last + 1.0 : position + share * keys_per_load;
    const auto first = static_cast<std::uint32_t>(std::llround(position));
    const auto past = static_cast<std::uint32_t>(std::llround(end));
    position = end;
    if (past <= first) continue;
    carried += share;
    assignments.push_back({range.service, {first, past - 1}, range.fence, candidate.id, ""});
  }
  return assignments;
}

std::vector<RangeCandidate> RangeBalancer::LeastLoaded(
    const LoadByOwner& loads, const std::vector<RangeCandidate>& candidates, std::size_t count) {
  std::vector<std::pair<double, std::size_t>> places;  // Load per slot, and index of the candidate.
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const auto found = loads.find(candidates[index].id);
    const double load = found == loads.end() ? 0.0 : found->second;
    places.emplace_back(load / candidates[index].slots, index);
  }
  const std::size_t taken = std::min(count, places.size());
  std::partial_sort(places.begin(), places.begin() + static_cast<std::ptrdiff_t>(taken),
                    places.end());
  std::vector<RangeCandidate> least_loaded;
  for (std::size_t place = 0; place < taken; ++place) {
    least_loaded.push_back(candidates[places[place].second]);
  }
  return least_loaded;
}

std::optional<traffic::KeySpan> RangeBalancer::PartOf(const traffic::KeyRange& range, double wanted,
                                                      bool may_cut) const {
  const double load = LoadOf(range.service, range.span);
  if (wanted / 3 <= load && load <= wanted) return range.span;
  return may_cut ? PieceOf(range, wanted) : std::nullopt;
}

std::optional<traffic::KeySpan> RangeBalancer::PieceOf(const traffic::KeyRange& range,
                                                       double wanted) const {
  // Cuts from the end with the hotter keys: a narrower piece carries the same load.
  const auto grow = [&](bool from_start) -> std::optional<traffic::KeySpan> {
    double carried = 0;
    std::uint32_t keys = 0;
    while (keys + 1 < range.span.size()) {
      const std::uint32_t edge = from_start ? range.span.first + keys : range.span.last - keys;
      const double load = LoadOf(range.service, {edge, edge});
      if (carried + load / 2 > wanted) break;
      carried += load;
      ++keys;
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
    const std::vector<RangeCandidate>& candidates,
    const std::vector<traffic::RangeRelease>& planned, Instant now) {
  std::vector<traffic::RangeRelease> moves;
  ServiceLoad& measured = loads_[service];
  CloseWindow(measured, now);
  if (measured.windows == 0 || candidates.size() < 2) return moves;
  if (now - measured.last_rebalance < kRebalanceInterval) return moves;
  measured.last_rebalance = now;
  traffic::KeyRangeTable::Ranges after = ranges;
  for (const traffic::RangeRelease& move : planned) MarkMoved(after, move);
  const auto under_way = static_cast<std::size_t>(std::count_if(
      after.begin(), after.end(), [](const auto& entry) { return IsMoving(entry.second); }));
  LoadByOwner loads = OwnerLoads(service, after);
  while (moves.size() + under_way < HotSpotMovesMaximum(candidates)) {
    const bool ordinary = moves.size() + under_way < MovesMaximum(candidates);
    const double overload = ordinary ? kOverloaded : kHotSpotOverload;
    const auto move = NextMove(service, after, candidates, loads, overload, now);
    if (!move) break;
    moves.push_back(*move);
  }
  return moves;
}

/// Plans a move from the candidate with the most load to one with free capacity, and updates
/// `ranges` as if it had been made. None when the highest load is below `overload` times the mean.
std::optional<traffic::RangeRelease> RangeBalancer::NextMove(
    const ServiceName& service, traffic::KeyRangeTable::Ranges& ranges,
    const std::vector<RangeCandidate>& candidates, LoadByOwner& loads, double overload,
    Instant now) {
  double total = 0;
  for (const auto& [owner, load] : loads) total += load;
  const double mean = total / TotalSlots(candidates);
  if (auto hot = MoveOfHotKey(service, ranges, candidates, mean, now)) {
    ApplyMove(*hot, ranges, loads);
    return hot;
  }
  const auto load_of = [&](const RangeCandidate& candidate) {
    const auto found = loads.find(candidate.id);
    return (found == loads.end() ? 0.0 : found->second) / candidate.slots;
  };
  const auto heaviest =
      std::max_element(candidates.begin(), candidates.end(),
                       [&](const auto& a, const auto& b) { return load_of(a) < load_of(b); });
  const auto room_of = [&](const RangeCandidate& candidate) {
    return (mean - load_of(candidate)) * candidate.slots;
  };
  const double most_room = room_of(
      *std::max_element(candidates.begin(), candidates.end(),
                        [&](const auto& a, const auto& b) { return room_of(a) < room_of(b); }));
  // Among the candidates with enough free capacity, prefers the one whose heartbeat follows the
  // release soonest.
  const Instant released = heaviest->NextHeartbeatFrom(now) + kReleaseTime;
  const RangeCandidate* next = nullptr;
  for (const RangeCandidate& candidate : candidates) {
    if (room_of(candidate) < most_room * kRoomPartMinimum) continue;
    const bool sooner = next == nullptr ||
                        candidate.NextHeartbeatFrom(released) < next->NextHeartbeatFrom(released);
    const bool same =
        !sooner && candidate.NextHeartbeatFrom(released) == next->NextHeartbeatFrom(released);
    if (sooner || (same && room_of(candidate) > room_of(*next))) next = &candidate;
  }
  const double over = (load_of(*heaviest) - mean) * heaviest->slots;
  const double wanted = std::min(over, room_of(*next));
  if (load_of(*heaviest) < mean * overload || wanted < mean * kGainMinimum) return std::nullopt;
  const double load = load_of(*heaviest) * heaviest->slots;
  if (over < kMoveDeviations * std::sqrt(load / ObservedSeconds(service, now))) return std::nullopt;
  const bool may_cut = MayCut(ranges, candidates);
  std::optional<traffic::RangeRelease> best;
  for (const auto& [first, range] : ranges) {
    if (range.owner != heaviest->id || range.phase != traffic::RangePhase::kServing) continue;
    const auto piece = PartOf(range, wanted, may_cut);
    if (!piece || (best && best->span.size() <= piece->size())) continue;
    best = traffic::RangeRelease{service, *piece, range.fence, next->id};
  }
  if (!best) return std::nullopt;
  ApplyMove(*best, ranges, loads);
  return best;
}

void RangeBalancer::ApplyMove(const traffic::RangeRelease& move,
                              traffic::KeyRangeTable::Ranges& ranges, LoadByOwner& loads) const {
  const double load = LoadOf(move.service, move.span);
  loads[std::prev(ranges.upper_bound(move.span.first))->second.owner] -= load;
  loads[move.successor] += load;
  MarkMoved(ranges, move);
}

double RangeBalancer::ObservedSeconds(const ServiceName& service, Instant now) const {
  const auto found = loads_.find(service);
  if (found == loads_.end()) return kFastSeconds;
  const double seen = std::chrono::duration<double>(now - found->second.first_window).count();
  return std::clamp(seen, kFastSeconds, kSlowSeconds);
}

std::optional<traffic::RangeRelease> RangeBalancer::MoveOfHotKey(
    const ServiceName& service, const traffic::KeyRangeTable::Ranges& ranges,
    const std::vector<RangeCandidate>& candidates, double mean, Instant now) {
  const auto measured = loads_.find(service);
  if (measured == loads_.end()) return std::nullopt;
  auto& moved = measured->second.hot_moved;
  std::erase_if(moved, [&](const auto& entry) { return now - entry.second > kHotKeyMoveInterval; });
  const auto fastest =
      std::max_element(candidates.begin(), candidates.end(),
                       [](const auto& a, const auto& b) { return a.slots < b.slots; });
  for (const auto& [key, rate] : measured->second.hot) {
    const traffic::KeyRange& range = std::prev(ranges.upper_bound(key))->second;
    const auto owner = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const auto& one) { return one.id == range.owner; });
    if (owner == candidates.end() || range.phase != traffic::RangePhase::kServing) continue;
    const bool fills_owner = rate > mean * owner->slots;
    if (!fills_owner || owner->slots * kHotKeySpeedRatio > fastest->slots) continue;
    if (!moved.emplace(key, now).second) continue;
    return traffic::RangeRelease{service, {key, key}, range.fence, fastest->id};
  }
  return std::nullopt;
}

}  // namespace graniteseam::control
