#include "tests/control/owner_load_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "src/control/owner_capacity.h"

namespace graniteseam::test {
namespace {

constexpr Instant kStart = InstantFromMicros(1'000'000'000);
ServiceName const kService{"s"};
constexpr std::size_t kOwners = 196;
constexpr int kSlots = 3;
constexpr std::size_t kQueue = 12;
constexpr double kRequestsPerSecond = 1'305;
constexpr double kZipfExponent = 0.37;
constexpr Duration kTarget{800'000};

constexpr double kMeanWorkMicros = 220'000;
constexpr double kWorkSpread = 0.8;
constexpr double kLongWorkProbability = 0.01;
constexpr double kLongWorkFactor = 5;
constexpr std::int64_t kNoiseGroups = 5;
constexpr Duration kNoisePeriod{400'000};
constexpr double kNoiseFactor = 3;
constexpr double kUsualPercent = 100;

constexpr Duration kHeartbeatInterval{870'000};
constexpr Duration kReleaseTime{250'000};
constexpr Duration kReportInterval{50'000};

}  // namespace

auto OwnerLoadResult::in_time_share() const -> double {
  return std::accumulate(in_time.begin(), in_time.end(), 0.0) /
         std::accumulate(requests.begin(), requests.end(), 0.0);
}

OwnerLoadModel::OwnerLoadModel(OwnerLoadOptions const& options)
    : options_(options), random_(options.seed), now_(kStart) {
  add_owners();
  add_keys();
  schedule({kStart, 0, EventKind::kArrival, 0, {}, {}});
  schedule({kStart, 0, EventKind::kReport, 0, {}, {}});
}

auto OwnerLoadModel::add_owners() -> void {
  table_.AddService(kService, log_index_);
  auto phase = std::uniform_int_distribution<std::int64_t>(0, kHeartbeatInterval.count() - 1);
  for (auto number = std::size_t{0}; number < kOwners; ++number) {
    auto& owner = owners_.emplace_back();
    owner.speed = number % kOwnerSpeeds.size();
    owner.noise_group = static_cast<std::int64_t>(random_() % kNoiseGroups);
    owner.report.instance = {"i-" + std::to_string(number)};
    numbers_[owner.report.instance] = number;
    next_heartbeats_.push_back(kStart + Duration(phase(random_)));
    schedule({next_heartbeats_.back(), 0, EventKind::kHeartbeat, number, {}, {}});
  }
  auto loads = control::RangeBalancer::LoadByOwner{};
  auto const all = ranges().begin()->second;
  for (auto const& assignment : balancer_.Divide(all, loads, candidates())) {
    table_.Assign(assignment, ++log_index_);
    auto const fence = traffic::Fence{log_index_};
    table_.Confirm({kService, assignment.span, fence}, ++log_index_);
    // The remaining keys keep the first fence, which the next assignment expects.
  }
}

auto OwnerLoadModel::add_keys() -> void {
  auto weights = std::vector<double>{};
  for (auto rank = std::uint32_t{1}; rank <= traffic::kLastKey + 1; ++rank) {
    weights.push_back(std::pow(rank, -kZipfExponent));
  }
  std::shuffle(weights.begin(), weights.end(), random_);
  std::partial_sum(weights.begin(), weights.end(), std::back_inserter(weights_before_));
}

auto OwnerLoadModel::run(Duration begin, Duration end) -> OwnerLoadResult {
  measured_from_ = kStart + begin;
  while (events_.top().at < kStart + end) {
    auto const event = events_.top();
    events_.pop();
    now_ = event.at;
    switch (event.kind) {
      case EventKind::kArrival:
        on_arrival();
        break;
      case EventKind::kServed:
        on_served(event);
        break;
      case EventKind::kHeartbeat:
        on_heartbeat(event.owner);
        break;
      case EventKind::kReport:
        on_report();
        break;
    }
  }
  return result_;
}

auto OwnerLoadModel::schedule(Event event) -> void {
  event.number = ++last_number_;
  events_.push(event);
}

auto OwnerLoadModel::on_arrival() -> void {
  auto gap = std::exponential_distribution<double>(kRequestsPerSecond * options_.load);
  schedule({now_ + Duration(std::llround(gap(random_) * std::micro::den)),
            0,
            EventKind::kArrival,
            0,
            {},
            {}});
  auto drawn = std::uniform_real_distribution<double>(0, weights_before_.back())(random_);
  auto const at = std::upper_bound(weights_before_.begin(), weights_before_.end(), drawn);
  auto const key = static_cast<std::uint32_t>(at - weights_before_.begin());
  ++arrived_[key];
  dispatch({key, now_, now_});
}

auto OwnerLoadModel::dispatch(Request const& request) -> void {
  for (auto& release : releases_) {
    if (release.move.span.Contains(request.key)) return release.waiting.push_back(request);
  }
  auto const number = numbers_.at(table_.Find(kService, request.key)->owner);
  auto& owner = owners_[number];
  if (owner.running < kSlots) return start(number, request);
  if (owner.queue.size() >= kQueue) return finish(number, request, false);
  owner.queue.push_back(request);
}

auto OwnerLoadModel::start(std::size_t number, Request const& request) -> void {
  auto& owner = owners_[number];
  ++owner.running;
  constexpr auto kMeanFactor = 1 + kLongWorkProbability * (kLongWorkFactor - 1);
  auto work =
      std::lognormal_distribution<double>(-kWorkSpread * kWorkSpread / 2, kWorkSpread)(random_) *
      kMeanWorkMicros / kMeanFactor;
  if (std::bernoulli_distribution(kLongWorkProbability)(random_)) work *= kLongWorkFactor;
  if (is_noisy(owner)) work *= kNoiseFactor;
  auto const taken = Duration(std::llround(work / kOwnerSpeeds[owner.speed]));
  schedule({now_ + taken, 0, EventKind::kServed, number, request.arrived, request.sent});
}

auto OwnerLoadModel::on_served(Event const& event) -> void {
  auto& owner = owners_[event.owner];
  --owner.running;
  auto& report = owner.report;
  ++report.whole;
  ++report.answers;
  report.busy_us += static_cast<std::uint64_t>((now_ - event.sent).count());
  if (options_.rule != CapacityRule::kLatency) {
    auto const noise = is_noisy(owner) ? kNoiseFactor : 1.0;
    report.work_percent_sum += kUsualPercent * noise / kOwnerSpeeds[owner.speed];
    ++report.work_percent_answers;
  }
  finish(event.owner, {0, event.arrived, event.sent}, now_ - event.arrived <= kTarget);
  if (owner.queue.empty()) return;
  auto const next = owner.queue.front();
  owner.queue.pop_front();
  start(event.owner, next);
}

auto OwnerLoadModel::finish(std::size_t owner, Request const& request, bool in_time) -> void {
  if (request.arrived < measured_from_) return;
  auto const speed = owners_[owner].speed;
  result_.requests[speed] += 1;
  if (in_time) result_.in_time[speed] += 1;
}

auto OwnerLoadModel::is_noisy(Owner const& owner) const -> bool {
  return (owner.noise_group + (now_ - kStart) / kNoisePeriod) % kNoiseGroups == 0;
}

auto OwnerLoadModel::on_heartbeat(std::size_t number) -> void {
  next_heartbeats_[number] = now_ + kHeartbeatInterval;
  schedule({next_heartbeats_[number], 0, EventKind::kHeartbeat, number, {}, {}});
  auto const& id = owners_[number].report.instance;
  std::erase_if(planned_, [&](auto const& move) {
    if (table_.Find(kService, move.span.first)->owner != id) return false;
    auto const fence = traffic::Fence{log_index_ + 1};
    if (!table_.BeginRelease(move, ++log_index_)) return true;
    releases_.push_back({move, fence, now_ + kReleaseTime, {}});
    if (now_ >= measured_from_) result_.moves += 1;
    return true;
  });
  auto waiting = std::vector<Request>{};
  std::erase_if(releases_, [&](auto const& release) {
    if (release.move.successor != id || now_ < release.released) return false;
    table_.Assign({kService, release.move.span, release.fence, id, ""}, ++log_index_);
    auto const fence = traffic::Fence{log_index_};
    table_.Confirm({kService, release.move.span, fence}, ++log_index_);
    waiting.insert(waiting.end(), release.waiting.begin(), release.waiting.end());
    return true;
  });
  for (auto request : waiting) {
    request.sent = now_;
    dispatch(request);
  }
}

auto OwnerLoadModel::on_report() -> void {
  schedule({now_ + kReportInterval, 0, EventKind::kReport, 0, {}, {}});
  auto loads = traffic::ServiceLoads{kService, {}};
  for (auto const& [key, requests] : std::exchange(arrived_, {})) {
    loads.keys.push_back({key, requests});
  }
  balancer_.TakeLoads({loads}, now_);
  for (auto& owner : owners_) {
    if (owner.report.whole == 0) continue;
    speeds_.Take(owner.report, now_);
    owner.report = {owner.report.instance};
  }
  rebalance();
}

auto OwnerLoadModel::rebalance() -> void {
  auto const moves = balancer_.Rebalance(kService, ranges(), candidates(), planned_, now_);
  planned_.insert(planned_.end(), moves.begin(), moves.end());
}

auto OwnerLoadModel::candidates() const -> std::vector<control::RangeCandidate> {
  auto candidates = std::vector<control::RangeCandidate>{};
  for (auto number = std::size_t{0}; number < owners_.size(); ++number) {
    candidates.push_back({owners_[number].report.instance,
                          {},
                          kSlots,
                          next_heartbeats_[number],
                          kHeartbeatInterval});
  }
  auto const by_target = options_.rule == CapacityRule::kTarget;
  control::scale_slots(candidates, speeds_, by_target ? std::optional(kTarget) : std::nullopt);
  return candidates;
}

auto OwnerLoadModel::ranges() const -> traffic::KeyRangeTable::Ranges const& {
  return table_.services().at(kService);
}

}  // namespace graniteseam::test
