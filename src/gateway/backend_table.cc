#include "src/gateway/backend_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "graniteseam/common/duration_text.h"
#include "src/gateway/connection_share.h"

namespace graniteseam::gateway {
namespace {

/// Weight of the newest sample in the mean latency.
constexpr double kNewestLatency = 0.15;
/// Weights of the newest answer in the mean failure rate. A failure is stronger evidence than a
/// success: a healthy server fails one request in a thousand.
constexpr double kNewestFailure = 0.5;
constexpr double kNewestSuccess = 0.2;
/// A request that ends at its deadline shows the state of its queue, not of the server.
constexpr int kDeadlineStatus = 504;
/// Servers with similar expected latency are chosen at random, so that gateways with the same
/// information do not all choose the same server.
constexpr double kJitter = 0.15;
/// Draws before the least loaded of the drawn servers is taken although it may be full.
constexpr int kDraws = 3;
/// Requests per slot at the own zone's servers from which on servers of other zones are drawn too.
constexpr double kZoneFullOccupancy = 1.5;
/// Upper bound of a server's assumed speed, as a multiple of the mean: a low mean latency may rest
/// on few answers.
constexpr double kSpeedMaximum = 2.0;
/// How long this gateway counts its requests before the count decides how servers are chosen.
constexpr Duration kRequestCountAgeMinimum{3'000'000};
/// Weight of the newest load report in the occupancy of a zone's servers, and the time constant
/// with which the occupancy decays.
constexpr double kNewestOccupancy = 0.2;
constexpr Duration kOccupancyMemory{3'000'000};
/// The work time that servers report when work takes as long as usual.
constexpr double kUsualPercent = 100;
/// Weight of the newest request in the usual latency of a service.
constexpr double kNewestUsual = 0.02;
/// Age of control's last confirmation from which on the state counts as outdated: three polls and
/// an answer.
constexpr Duration kStateMaxAge{1'600'000};
/// While the state is outdated, how long a server's answer to a probe allows requests to it.
constexpr Duration kProbeMaxAge{1'000'000};
/// An older load report does not describe the current load.
constexpr Duration kLoadReportMaxAge{100'000};
/// The part of a pool server's limit that all gateways together send on their own tokens.
constexpr double kOwnPartOfLimit = 0.5;
/// Lower bound of the weight of failing servers in a draw, so that their recovery is detected.
constexpr double kHealthyPartMinimum = 0.05;

double Micros(Duration duration) { return static_cast<double>(duration.count()); }

double SlotsOf(const Backend& backend) {
  return static_cast<double>(std::max<std::int64_t>(1, backend.instance.report.slots));
}

}  // namespace

BackendTable::BackendTable(BackendOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      warm_ups_(options_.warm_up_requests_per_second),
      pressure_(seed) {}

void BackendTable::Apply(const traffic::TrafficUpdate& update, Instant now) {
  std::map<traffic::InstanceId, Backend> before;
  if (first_applied_at_ == Instant{}) first_applied_at_ = now;
  if (update.base == 0) {
    before = std::move(backends_);
    backends_.clear();
    services_.clear();
  }
  for (const traffic::Instance& instance : update.instances) {
    const traffic::InstanceId& id = instance.report.id;
    const auto old = before.find(id);
    if (instance.IsGone()) {
      Remove(id, now);
      continue;
    }
    const bool listed = backends_.contains(id);
    const bool fresh = old == before.end() && !listed;
    Backend& backend = backends_[id];
    List(backend, listed, instance);
    if (old != before.end()) backend = old->second;
    const bool drains_now =
        !fresh && backend.instance.AcceptsNewWork() && !instance.AcceptsNewWork();
    if (drains_now) backend.drained_since = confirmed_at_;
    UpdateWarmUp(backend, instance, fresh, now);
    backend.instance = instance;
    if (!fresh) continue;
    backend.latency_us = Micros(options_.first_latency);
    pressure_.note_listed(id);
  }
  for (const auto& [id, backend] : before) {
    if (!backends_.contains(id)) pressure_.note_unlisted(id, now);
  }
}

void BackendTable::List(const Backend& backend, bool listed, const traffic::Instance& next) {
  const ServiceName& service = next.report.service;
  if (listed && backend.instance.report.service == service) return;
  if (listed) Unlist(backend);
  std::vector<traffic::InstanceId>& ids = services_[service];
  ids.insert(std::lower_bound(ids.begin(), ids.end(), next.report.id), next.report.id);
}

void BackendTable::Unlist(const Backend& backend) {
  const traffic::InstanceId& id = backend.instance.report.id;
  const auto listed = services_.find(backend.instance.report.service);
  if (listed == services_.end()) return;
  std::erase(listed->second, id);
  if (listed->second.empty()) services_.erase(listed);
}

void BackendTable::Remove(const traffic::InstanceId& id, Instant now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  Unlist(found->second);
  backends_.erase(found);
  pressure_.note_unlisted(id, now);
}

void BackendTable::UpdateWarmUp(Backend& backend, const traffic::Instance& next, bool fresh,
                                Instant now) {
  const bool drained = backend.instance.state == traffic::InstanceState::kZoneDrained;
  const bool taken_back = !fresh && drained && next.AcceptsNewWork();
  if (taken_back) backend.warm_at = std::max(backend.warm_at, now + options_.taken_back_warm_up);
  const std::int64_t left_ms = next.report.warmup_left_ms;
  if (!fresh && left_ms == backend.instance.report.warmup_left_ms) return;
  backend.warm_at = std::max(backend.warm_at, now + std::chrono::milliseconds(left_ms));
}

bool BackendTable::WarmUpAdmits(const Backend& backend, Instant now) const {
  return !IsWarmingUp(backend, now) || warm_ups_.admits(backend.instance.report.id, now);
}

void BackendTable::ShareConnections(const std::map<ServiceName, traffic::Service>& services,
                                    std::uint32_t gateways) {
  connection_shares_.clear();
  keyed_.clear();
  probeable_.clear();
  for (const auto& [name, service] : services) {
    if (service.keyed) keyed_.insert(name);
    if (!service.health_path.empty()) probeable_.insert(name);
    connection_shares_[name] = connection_share({service.connections_maximum, gateways});
  }
}

std::uint32_t BackendTable::ConnectionShare(const ServiceName& service) const {
  const auto found = connection_shares_.find(service);
  return found == connection_shares_.end() ? connection_share({}) : found->second;
}

bool BackendTable::HasConnectionLeft(const Backend& backend) const {
  return backend.in_flight < ConnectionShare(backend.instance.report.service);
}

bool BackendTable::NeedsToken(const Backend& backend, Instant now) const {
  if (pressure_.is_limited(backend.instance.report.id)) return true;
  return warm_ups_.is_bounded() && IsWarmingUp(backend, now) &&
         keyed_.contains(backend.instance.report.service);
}

bool BackendTable::StateMayBeOutdated(Instant now) const {
  return warm_ups_.is_bounded() && now - std::max(confirmed_at_, first_applied_at_) > kStateMaxAge;
}

bool BackendTable::NeedsProbe(const Backend& backend, Instant now) const {
  return StateMayBeOutdated(now) && now - backend.probed_at > kProbeMaxAge &&
         probeable_.contains(backend.instance.report.service);
}

std::optional<RefusalReason> BackendTable::SendBlockReason(const Backend& backend,
                                                           Instant now) const {
  return NeedsProbe(backend, now) ? RefusalReason::kNoServer : PressureBlockReason(backend, now);
}

std::optional<RefusalReason> BackendTable::PressureBlockReason(const Backend& backend,
                                                               Instant now) const {
  const traffic::InstanceId& id = backend.instance.report.id;
  if (!pressure_.contains(id) && !IsWarmingUp(backend, now)) return std::nullopt;
  // The requests of a key's owner can go to no other server.
  const bool keyed = keyed_.contains(backend.instance.report.service);
  if (!keyed && !WarmUpAdmits(backend, now)) return RefusalReason::kLimited;
  if (now < pressure_.back_off_until(id)) return RefusalReason::kResting;
  if (keyed ? LeavingPastAllowance(id, now) : pressure_.leaving_since(id).has_value()) {
    return RefusalReason::kNoServer;
  }
  if (!NeedsToken(backend, now) || pressure_.has_token(id)) return std::nullopt;
  const bool own_token = !keyed && pressure_.has_own_token(id, kOwnPartOfLimit, now);
  return own_token ? std::nullopt : std::optional(RefusalReason::kLimited);
}

bool BackendTable::LeavingPastAllowance(const traffic::InstanceId& id, Instant now) const {
  const auto since = pressure_.leaving_since(id);
  return since && now - *since >= options_.drain_allowance;
}

const Backend* BackendTable::Find(const traffic::InstanceId& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

bool BackendTable::DrainAllowanceElapsed(const Backend& backend, Instant now) const {
  if (LeavingPastAllowance(backend.instance.report.id, now)) return true;
  const bool zone = backend.instance.state == traffic::InstanceState::kZoneDrained;
  const Duration allowance = zone ? options_.zone_drain_allowance : options_.drain_allowance;
  return !backend.instance.AcceptsNewWork() && now - backend.drained_since >= allowance;
}

double BackendTable::LoadOf(const Backend& backend, Instant now) const {
  // Other gateways' requests end at the rate of this one's: their reported number decays with the
  // latency of a request.
  const double age = Micros(now - backend.load_reported_at);
  const double fading = std::exp(-age / std::max(1.0, 2 * backend.latency_us));
  return backend.in_flight + backend.others_in_flight * fading;
}

double BackendTable::OccupancyOf(const ServiceZone& place, Instant now) const {
  const auto found = occupancies_.find(place);
  if (found == occupancies_.end()) return 0;
  return found->second.mean * std::exp(-Micros(now - found->second.at) / Micros(kOccupancyMemory));
}

bool BackendTable::HasRoom(const Backend& backend, Duration target, Instant now) const {
  if (HasFreeSlot(backend, now)) return true;
  if (!HasConnectionLeft(backend)) return false;
  if (LoadOf(backend, now) >= SlotsOf(backend) * (1.0 + options_.waiting_maximum)) return false;
  return target == Duration{} || ExpectedMicros(backend, Duration{}, now) <= Micros(target);
}

bool BackendTable::HasFreeSlot(const Backend& backend, Instant now) const {
  return HasConnectionLeft(backend) && LoadOf(backend, now) < SlotsOf(backend);
}

double BackendTable::ExpectedMicros(const Backend& backend, Duration target, Instant now) const {
  double latency = backend.latency_us;
  if (IsWarmingUp(backend, now)) latency *= options_.cold_factor;
  const double turns = std::max(1.0, (LoadOf(backend, now) + 1) / SlotsOf(backend));
  return latency * turns + PenaltyMicros(backend, target, now);
}

double BackendTable::PenaltyMicros(const Backend& backend, Duration target, Instant now) const {
  const bool far = backend.instance.report.zone != options_.zone;
  const double cross_zone = far ? options_.cross_zone_part : 0.0;
  const double failing = options_.failure_targets * FailingPart(backend, now);
  return Micros(target) * (cross_zone + failing);
}

double BackendTable::FailingPart(const Backend& backend, Instant now) const {
  if (backend.failing == 0) return 0;
  return backend.failing *
         std::exp(-Micros(now - backend.failing_at) / Micros(options_.failure_memory));
}

void BackendTable::NoteOutcome(Backend& backend, bool failed, Instant now) const {
  const double before = FailingPart(backend, now);
  const double weight = failed ? kNewestFailure : kNewestSuccess;
  backend.failing = before + weight * ((failed ? 1.0 : 0.0) - before);
  backend.failing_at = now;
}

BackendTable::Choice BackendTable::ChoiceOf(const ServiceName& service,
                                            const std::vector<traffic::InstanceId>& tried,
                                            bool before_probes, Instant now) const {
  Choice choice;
  const auto ids = services_.find(service);
  if (ids == services_.end()) return choice;
  const Backend* best_ejected = nullptr;
  const std::uint32_t share = ConnectionShare(service);
  // A server at which this gateway has used its share of connections.
  const Backend* full = nullptr;
  for (const traffic::InstanceId& id : ids->second) {
    const Backend& backend = backends_.at(id);
    const bool was_tried = std::find(tried.begin(), tried.end(), id) != tried.end();
    if (!backend.instance.AcceptsNewWork() || was_tried) continue;
    if (before_probes ? PressureBlockReason(backend, now) : SendBlockReason(backend, now)) continue;
    if (now < backend.ejected_until) {
      const bool sooner =
          best_ejected == nullptr || backend.ejected_until < best_ejected->ejected_until;
      if (sooner) best_ejected = &backend;
      continue;
    }
    if (backend.in_flight >= share) {
      if (full == nullptr) full = &backend;
      continue;
    }
    const bool is_rare =
        pressure_.is_limited(id) || (warm_ups_.is_bounded() && IsWarmingUp(backend, now));
    if (is_rare) choice.scarce = &backend;
    choice.usable.push_back(&backend);
  }
  choice.last_resort = full == nullptr ? best_ejected : full;
  return choice;
}

const Backend* BackendTable::Choose(const ServiceName& service,
                                    const std::vector<traffic::InstanceId>& tried, Duration target,
                                    Instant now) {
  const Choice choice = ChoiceOf(service, tried, /*before_probes=*/false, now);
  // Such a server accepts few requests; they would be lost if it had to be drawn at random.
  if (choice.scarce != nullptr) return choice.scarce;
  if (choice.usable.empty()) return choice.last_resort;
  return HasEnoughSamples(service, services_.at(service).size(), now)
             ? ShortestWait(choice.usable, target, now)
             : DrawWithRoom(choice.usable, now);
}

BackendTable::Backends BackendTable::DrawForProbes(const ServiceName& service,
                                                   const std::vector<traffic::InstanceId>& tried,
                                                   std::size_t count, Instant now) {
  const Choice choice = ChoiceOf(service, tried, /*before_probes=*/true, now);
  const bool outdated = StateMayBeOutdated(now);
  if (choice.scarce != nullptr && !outdated) return {};
  Backends near;
  Backends far;
  for (const Backend* const backend : choice.usable) {
    (backend->instance.report.zone == options_.zone ? near : far).push_back(backend);
  }
  Backends drawn;
  while (drawn.size() < count && !(near.empty() && far.empty())) {
    const bool last = drawn.size() + 1 == count;
    Backends& from = near.empty() || (last && !far.empty()) ? far : near;
    drawn.push_back(DrawBySpeed(from, now));
    std::erase(from, drawn.back());
  }
  return drawn.size() < 2 && !outdated ? Backends{} : drawn;
}

BackendTable::Backends BackendTable::DrawForTrial(std::size_t count) {
  Backends listed;
  for (const auto& [id, backend] : backends_) {
    if (backend.instance.AcceptsNewWork()) listed.push_back(&backend);
  }
  Backends drawn;
  std::sample(listed.begin(), listed.end(), std::back_inserter(drawn), count, random_);
  return drawn;
}

void BackendTable::ForgetUnreached() {
  for (auto& [id, backend] : backends_) {
    backend.speed.unreached = 0;
    backend.failures = 0;
    backend.ejection = {};
    backend.ejected_until = {};
    backend.paused_until = {};
  }
}

const Backend* BackendTable::FastestProbed(const std::vector<traffic::InstanceId>& asked,
                                           Duration target, Instant now) const {
  const Backend* best = nullptr;
  double least = 0;
  for (const traffic::InstanceId& id : asked) {
    const Backend* const backend = Find(id);
    if (backend == nullptr || now - backend->load_reported_at > kLoadReportMaxAge) continue;
    if (!backend->instance.AcceptsNewWork() || !HasConnectionLeft(*backend)) continue;
    if (SendBlockReason(*backend, now)) continue;
    if (LoadOf(*backend, now) >= SlotsOf(*backend) * (1.0 + options_.waiting_maximum)) continue;
    const double time = CompletionMicros(*backend, target, now);
    if (best != nullptr && time >= least) continue;
    best = backend;
    least = time;
  }
  return best;
}

double BackendTable::CompletionMicros(const Backend& backend, Duration target, Instant now) const {
  const auto usual = usual_us_.find(backend.instance.report.service);
  const double usual_us = usual == usual_us_.end() ? Micros(options_.first_latency) : usual->second;
  const double work = backend.work_percent.value_or(kUsualPercent) / kUsualPercent;
  const double turns = std::max(1.0, (LoadOf(backend, now) + 1) / SlotsOf(backend));
  return usual_us * work * turns + PenaltyMicros(backend, target, now);
}

void BackendTable::NoteUsualTime(const Backend& backend, Duration taken, Instant now) {
  if (!backend.work_percent || now - backend.load_reported_at > taken + kLoadReportMaxAge) return;
  const double sample = Micros(taken) * kUsualPercent / *backend.work_percent;
  const auto [known, fresh] = usual_us_.try_emplace(backend.instance.report.service, sample);
  if (!fresh) known->second += kNewestUsual * (sample - known->second);
}

void BackendTable::OnProbed(const ProbeReport& report, Instant now) {
  const auto found = backends_.find(report.instance);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  if (report.other_instance) return Fail(backend, now);
  if (report.answered) backend.probed_at = now;
  if (report.load) ApplyLoad(backend, *report.load, now);
  if (report.warm_up_left) backend.warm_at = std::max(backend.warm_at, now + *report.warm_up_left);
}

bool BackendTable::HasEnoughSamples(const ServiceName& service, std::size_t servers,
                                    Instant now) const {
  const auto found = request_counts_.find(service);
  if (found == request_counts_.end() || now - found->second.since < kRequestCountAgeMinimum)
    return true;
  const RequestCount& request_count = found->second;
  const double memory = Micros(options_.request_count_decay);
  const double recent = request_count.decayed * std::exp(-Micros(now - request_count.at) / memory);
  // Corrects for the period before the count began.
  const double counted = 1 - std::exp(-Micros(now - request_count.since) / memory);
  return recent >= options_.requests_per_server_minimum * counted * static_cast<double>(servers);
}

const Backend* BackendTable::ShortestWait(const Backends& usable, Duration target, Instant now) {
  std::uniform_real_distribution<double> jitter(1.0, 1.0 + kJitter);
  const Backend* best = nullptr;
  double least = 0;
  for (const Backend* const backend : usable) {
    const double expected = ExpectedMicros(*backend, target, now) * jitter(random_);
    if (best != nullptr && expected >= least) continue;
    best = backend;
    least = expected;
  }
  return best;
}

const Backend* BackendTable::DrawWithRoom(const Backends& usable, Instant now) {
  Backends near;
  std::copy_if(usable.begin(), usable.end(), std::back_inserter(near), [&](const Backend* backend) {
    return backend->instance.report.zone == options_.zone;
  });
  const ServiceZone place{usable.front()->instance.report.service, options_.zone};
  const bool full = near.empty() || OccupancyOf(place, now) >= kZoneFullOccupancy;
  const Backend* best = nullptr;
  for (int draw = 0; draw < kDraws; ++draw) {
    const Backend* const drawn = DrawBySpeed(full ? usable : near, now);
    if (LoadOf(*drawn, now) < SlotsOf(*drawn)) return drawn;
    const bool better = best == nullptr || LoadOf(*drawn, now) < LoadOf(*best, now);
    if (better) best = drawn;
  }
  return best;
}

std::optional<double> BackendTable::LatencyToDrawBy(const Backend& backend) {
  if (backend.hinted_latency_us > 0) return backend.hinted_latency_us;
  return backend.latency_known ? std::optional(backend.latency_us) : std::nullopt;
}

const Backend* BackendTable::DrawBySpeed(const Backends& backends, Instant now) {
  double known = 0;
  double latencies = 0;
  for (const Backend* const backend : backends) {
    const auto latency = LatencyToDrawBy(*backend);
    if (!latency) continue;
    known += 1;
    latencies += *latency;
  }
  // A server without latency samples is assumed to have the mean latency of the others.
  const double mean = known > 0 ? std::max(1.0, latencies / known) : 1.0;
  std::vector<double> sums;
  double sum = 0;
  for (const Backend* const backend : backends) {
    const double cold = IsWarmingUp(*backend, now) ? options_.cold_factor : 1.0;
    const double sound = std::max(kHealthyPartMinimum, 1 - FailingPart(*backend, now));
    const double latency = std::max(mean / kSpeedMaximum, LatencyToDrawBy(*backend).value_or(mean));
    sum += SlotsOf(*backend) * sound / (cold * latency);
    sums.push_back(sum);
  }
  const double drawn = std::uniform_real_distribution<double>(0, sum)(random_);
  const auto at = std::upper_bound(sums.begin(), sums.end(), drawn) - sums.begin();
  return backends[std::min(static_cast<std::size_t>(at), backends.size() - 1)];
}

void BackendTable::OnSent(const traffic::InstanceId& id, Instant now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  ++found->second.in_flight;
  pressure_.note_sent(id, now);
  if (IsWarmingUp(found->second, now)) warm_ups_.note_sent(id, now);
  RequestCount& request_count =
      request_counts_.try_emplace(found->second.instance.report.service, RequestCount{0, now, now})
          .first->second;
  request_count.decayed *=
      std::exp(-Micros(now - request_count.at) / Micros(options_.request_count_decay));
  ++request_count.decayed;
  request_count.at = now;
}

void BackendTable::ApplyHints(const std::vector<traffic::InstanceHint>& hints, Instant now) {
  for (const traffic::InstanceHint& hint : hints) {
    const auto found = backends_.find(hint.instance);
    if (found == backends_.end()) continue;
    Backend& backend = found->second;
    // Used for draws only: if ShortestWait() used the same hints, all gateways would choose the
    // same server.
    if (hint.latency_us > 0) backend.hinted_latency_us = hint.latency_us;
    constexpr double kPercent = 100;
    backend.failing = std::max(FailingPart(backend, now), hint.failing_percent / kPercent);
    backend.failing_at = now;
  }
}

void BackendTable::OnAbandoned(const traffic::InstanceId& id) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.in_flight > 0) --found->second.in_flight;
}

void BackendTable::OnEnded(const traffic::InstanceId& id, const AttemptReport& report,
                           Duration taken, Instant now) {
  OnAbandoned(id);
  const auto found = backends_.find(id);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  const bool was_waiting = LoadOf(backend, now) + 1 > SlotsOf(backend);
  if (report.end == AttemptEnd::kAnswered) NoteUsualTime(backend, taken, now);
  if (report.load) ApplyLoad(backend, *report.load, now);
  if (Unreached(backend, report)) {
    ++backend.speed.unreached;
    Fail(backend, now);
    return;
  }
  if (report.end != AttemptEnd::kAnswered) return;
  const bool failed = report.status >= kFirstFailureStatus && report.status != kDeadlineStatus;
  ++backend.speed.whole;
  if (failed) ++backend.speed.failures;
  if (report.load && report.load->work_percent) {
    backend.speed.work_percent_sum += *report.load->work_percent;
    ++backend.speed.work_percent_answers;
  }
  NoteOutcome(backend, failed, now);
  backend.failures = 0;
  backend.ejection = {};
  backend.ejected_until = {};
  backend.paused_until = {};
  // A failing server may fail at once; its latency must not count as fast.
  if (failed) return;
  if (!was_waiting) {
    ++backend.speed.answers;
    backend.speed.busy_us += static_cast<std::uint64_t>(taken.count());
  }
  // The latency of a request that waited includes its queueing time.
  const double sample = Micros(taken) / (was_waiting ? 1.5 : 1.0);
  const double weight = backend.latency_known ? kNewestLatency : 0.5;
  backend.latency_us += weight * (sample - backend.latency_us);
  backend.latency_known = true;
}

bool BackendTable::Unreached(const Backend& backend, const AttemptReport& report) const {
  if (report.end == AttemptEnd::kNotSent || report.end == AttemptEnd::kLost) return true;
  // For a pool server it means that another process has taken its address.
  return report.not_owner && !keyed_.contains(backend.instance.report.service);
}

std::vector<traffic::InstanceSpeed> BackendTable::TakeSpeeds(bool all) {
  std::vector<traffic::InstanceSpeed> speeds;
  for (auto& [id, backend] : backends_) {
    traffic::InstanceSpeed& speed = backend.speed;
    const bool failed = speed.failures > 0 || speed.unreached > 0;
    if (!failed && (!all || speed.whole == 0)) continue;
    speed.instance = id;
    speeds.push_back(std::exchange(speed, {}));
  }
  return speeds;
}

void BackendTable::ApplyLoad(Backend& backend, const ReportedLoad& load, Instant now) {
  const ServiceZone place{backend.instance.report.service, backend.instance.report.zone};
  Occupancy& occupancy = occupancies_[place];
  const double reported = (load.running + load.waiting) / std::max(1.0, load.slots);
  occupancy.mean += kNewestOccupancy * (reported - occupancy.mean);
  occupancy.at = now;
  backend.others_in_flight = std::max(0.0, load.running + load.waiting - backend.in_flight);
  backend.load_reported_at = now;
  backend.work_percent = load.work_percent;
  if (load.slots > 0) backend.instance.report.slots = std::llround(load.slots);
}

/// Full servers reset connections. All gateways that send to one owner must together stay within
/// its capacity without coordination: each pauses for longer the more attempts fail, with a random
/// spread.
void BackendTable::Fail(Backend& backend, Instant now) {
  ++backend.failures;
  if (backend.failures < options_.failures_to_eject) return;
  constexpr int kDoublingsMaximum = 10;
  const int doublings = std::min(backend.failures - options_.failures_to_eject, kDoublingsMaximum);
  const double pause = options_.pause_part * backend.latency_us * std::exp2(doublings);
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  const double bounded = std::min(pause, Micros(options_.pause_maximum)) * spread(random_);
  backend.paused_until = now + Duration(std::llround(bounded));
  backend.ejection = backend.ejection == Duration{}
                         ? options_.ejection
                         : std::min(2 * backend.ejection, options_.ejection_maximum);
  backend.ejected_until = now + backend.ejection;
}

std::string BackendTable::DescribeWarmUp(const Backend& backend, Instant now) const {
  return InMs(backend.warm_at - now) + " left, " + warm_ups_.describe_place(now);
}

std::string BackendTable::Describe(const Backend& backend, Instant now) const {
  char text[160];
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - backend.load_reported_at);
  std::snprintf(text, sizeof(text), "load %.1f of %.0f, reported %lld ms ago, latency %.0f ms%s",
                LoadOf(backend, now), SlotsOf(backend),
                backend.load_reported_at == Instant{} ? -1LL : static_cast<long long>(age.count()),
                backend.latency_us / 1000, IsWarmingUp(backend, now) ? ", warms up" : "");
  std::string described = text;
  if (!backend.work_percent) return described;
  std::snprintf(text, sizeof(text), ", work %.0f%%", *backend.work_percent);
  return described + text;
}

}  // namespace graniteseam::gateway
