/// @file
/// Tracks the latency of instances, and detects failing ones, from the reports of routers.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <vector>

#include "graniteseam/traffic/update.h"
#include "src/control/range_balancer.h"

namespace graniteseam::control {

/// Mean latency and failure rate of each instance. Not thread safe.
class InstanceSpeeds {
 public:
  /// Records the measurements of one router.
  void Take(const traffic::InstanceSpeed& speed, Instant now) {
    TakeFailures(speed, now);
    TakeWorkPercent(speed);
    if (speed.answers == 0) return;
    // Weights the sample by its number of answers.
    const double answers = speed.answers;
    const double weight = std::min(0.5, kAnswerWeight * answers);
    const double sample = static_cast<double>(speed.busy_us) / answers;
    const auto [known, fresh] = mean_us_.try_emplace(speed.instance, sample);
    if (!fresh) known->second += weight * (sample - known->second);
  }

  /// Mean time of a request at an instance in microseconds; nullopt when unknown.
  std::optional<double> MeanMicros(const traffic::InstanceId& id) const {
    const auto found = mean_us_.find(id);
    return found == mean_us_.end() ? std::nullopt : std::optional(found->second);
  }

  /// Whether an instance recently failed most requests, so that it should own no keys.
  bool IsFailing(const traffic::InstanceId& id, Instant now) const {
    const auto found = outcomes_.find(id);
    return found != outcomes_.end() && now < found->second.avoid_until;
  }

  /// Scales the candidates' slots by their speed relative to the mean latency of those with a known
  /// one.
  void ScaleSlots(std::vector<RangeCandidate>& candidates) const {
    const auto mean_us = Mean(candidates, [&](const auto& id) { return MeanMicros(id); });
    for (RangeCandidate& candidate : candidates) {
      const auto micros = MeanMicros(candidate.id);
      if (!micros) continue;
      candidate.slots *= std::clamp(*mean_us / *micros, kSlotFactorMinimum, kSlotFactorMaximum);
    }
  }

  /// Expected service times of the candidates: that of their service, divided by their relative
  /// speeds. Empty unless candidates have reported both latencies and work times: latencies alone
  /// hold the wait in an owner's queue, and mistake an owner with much load for a slow one.
  ///
  /// The service's time is the first quartile of the candidates' latencies, each at mean speed:
  /// latencies include the wait in the owner's queue, which is shortest at the owners with the
  /// least load. With the mean instead, 68 % in place of 74 % of the requests were in time in the
  /// load test of owner_capacity_test.cc at 1.25 times the load.
  std::vector<Duration> ServiceTimes(const std::vector<RangeCandidate>& candidates) const {
    const bool reported = std::any_of(
        candidates.begin(), candidates.end(),
        [&](const RangeCandidate& candidate) { return work_percent_.contains(candidate.id); });
    if (!reported) return {};
    const auto speeds = RelativeSpeeds(candidates);
    std::vector<double> at_mean_speed;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      const auto mean_us = MeanMicros(candidates[index].id);
      if (mean_us) at_mean_speed.push_back(*mean_us * speeds[index].value_or(1.0));
    }
    if (at_mean_speed.empty()) return {};
    const auto quartile =
        at_mean_speed.begin() + static_cast<std::ptrdiff_t>((at_mean_speed.size() - 1) / 4);
    std::nth_element(at_mean_speed.begin(), quartile, at_mean_speed.end());
    std::vector<Duration> times;
    times.reserve(speeds.size());
    for (const auto& speed : speeds)
      times.emplace_back(std::llround(*quartile / speed.value_or(1.0)));
    return times;
  }

 private:
  static constexpr double kAnswerWeight = 0.04;
  /// Number of answers over which reported work times are averaged: with three slots and work of
  /// 220 ms, those of about 15 s.
  static constexpr double kWorkAnswers = 100;
  static constexpr double kSlotFactorMinimum = 0.2;
  static constexpr double kSlotFactorMaximum = 3.0;

  /// A healthy instance fails one request in a thousand, so this many failures among few answers
  /// are significant.
  static constexpr double kFailuresMinimum = 4;
  static constexpr double kFailingFraction = 0.5;
  /// Decay time of the outcomes, and the time for which a failing instance is avoided. By then it
  /// has restarted, or its fault is detected again at the cost of some requests.
  static constexpr Duration kOutcomeTimeConstant{2'000'000};
  static constexpr Duration kAvoidance{10'000'000};

  struct Outcomes {
    double answers = 0;
    double failures = 0;
    Instant at{};
    Instant avoid_until{};
  };

  /// Mean of the reported work times, in percent of the usual.
  struct WorkPercent {
    double mean = 0;
    double answers = 0;  ///< Number of answers in it, at most kWorkAnswers.
  };

  void TakeWorkPercent(const traffic::InstanceSpeed& speed) {
    const double sum = speed.work_percent_sum;
    if (speed.work_percent_answers == 0 || !std::isfinite(sum) || sum <= 0) return;
    const double answers = speed.work_percent_answers;
    const double sample = sum / answers;
    WorkPercent& known = work_percent_[speed.instance];
    known.answers = std::min(known.answers + answers, kWorkAnswers);
    known.mean += std::min(1.0, answers / known.answers) * (sample - known.mean);
  }

  std::optional<double> MeanWorkPercent(const traffic::InstanceId& id) const {
    const auto found = work_percent_.find(id);
    return found == work_percent_.end() ? std::nullopt : std::optional(found->second.mean);
  }

  /// The mean of a figure over the candidates for which it is known; nullopt without any.
  template <typename Figure>
  static std::optional<double> Mean(const std::vector<RangeCandidate>& candidates, Figure&& of) {
    double sum = 0;
    double known = 0;
    for (const RangeCandidate& candidate : candidates) {
      const std::optional<double> figure = of(candidate.id);
      if (!figure) continue;
      sum += *figure;
      known += 1;
    }
    return known == 0 ? std::nullopt : std::optional(sum / known);
  }

  /// Speeds of the candidates relative to the mean time of those with a known one, within bounds:
  /// by reported work time where there is one, otherwise by latency; nullopt where unknown.
  std::vector<std::optional<double>> RelativeSpeeds(
      const std::vector<RangeCandidate>& candidates) const {
    const auto percent_of = [&](const auto& id) { return MeanWorkPercent(id); };
    const auto micros_of = [&](const auto& id) { return MeanMicros(id); };
    const auto mean_percent = Mean(candidates, percent_of);
    const auto mean_us = Mean(candidates, micros_of);
    std::vector<std::optional<double>> speeds;
    for (const RangeCandidate& candidate : candidates) {
      const auto percent = percent_of(candidate.id);
      const auto time = percent ? percent : micros_of(candidate.id);
      const auto mean = percent ? mean_percent : mean_us;
      auto& speed = speeds.emplace_back();
      if (time) speed = std::clamp(*mean / *time, kSlotFactorMinimum, kSlotFactorMaximum);
    }
    return speeds;
  }

  void TakeFailures(const traffic::InstanceSpeed& speed, Instant now) {
    if (speed.failures == 0 && !outcomes_.contains(speed.instance)) return;
    Outcomes& known = outcomes_[speed.instance];
    const double age = std::chrono::duration<double>(now - known.at) / kOutcomeTimeConstant;
    const double decay = std::exp(-age);
    known.answers = known.answers * decay + speed.whole;
    known.failures = known.failures * decay + speed.failures;
    known.at = now;
    const bool fails =
        known.failures >= kFailuresMinimum && known.failures >= kFailingFraction * known.answers;
    if (fails) known.avoid_until = now + kAvoidance;
  }

  std::map<traffic::InstanceId, double> mean_us_;
  std::map<traffic::InstanceId, WorkPercent> work_percent_;  ///< Only where it is reported.
  std::map<traffic::InstanceId, Outcomes> outcomes_;         ///< Only for instances with failures.
};

}  // namespace graniteseam::control
