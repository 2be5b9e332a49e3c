/// @file
/// The leader's tasks for traffic: liveness of instances, key ranges, and updates to routers.
#pragma once

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/control/configuration_rollout.h"
#include "src/control/displacement.h"
#include "src/control/hint_publisher.h"
#include "src/control/instance_limits.h"
#include "src/control/instance_liveness.h"
#include "src/control/quota_ledger.h"
#include "src/control/range_controller.h"
#include "src/control/replicated_state.h"
#include "src/control/suspect_detector.h"
#include "src/control/traffic_sessions.h"

namespace graniteseam::control {

/// Combines the traffic components of one leadership and exists for its duration. Not thread safe;
/// `now` never decreases.
class TrafficLeader {
 public:
  TrafficLeader(const TrafficOptions& options, const ReplicatedState& state, Term term,
                OrderNumber orders_used, std::uint64_t pushes_used, Instant now)
      : state_(state),
        warm_up_limit_(kWarmUpPart * options.warm_up_requests_per_second),
        liveness_(options.instance_timeout, now),
        ranges_(options.ranges, state.traffic(), liveness_, limits_, orders_used, now),
        sessions_(state.traffic(), term, now, options.reports_push_completion, pushes_used),
        hints_(state.traffic()),
        suspect_detector_(state.traffic(), liveness_, now),
        rollout_(now),
        quotas_(options.quotas, term.value, now) {}

  InstanceLiveness& liveness() { return liveness_; }
  RangeController& ranges() { return ranges_; }
  const RangeController& ranges() const { return ranges_; }
  TrafficSessions& sessions() { return sessions_; }
  /// Returns and clears the notes on configurations and quotas since the last call.
  std::vector<RolloutNote> TakeNotes() {
    std::vector<RolloutNote> notes = rollout_.TakeNotes();
    std::vector<RolloutNote> of_quotas = quotas_.TakeNotes();
    std::move(of_quotas.begin(), of_quotas.end(), std::back_inserter(notes));
    return notes;
  }
  /// Cost of answering routers so far: router records evaluated, and messages built.
  std::uint64_t evaluations() const { return sessions_.evaluations() + rollout_.evaluations(); }
  SuspectDetector& suspect_detector() { return suspect_detector_; }
  ConfigurationRollout& rollout() { return rollout_; }

  /// Processes a router's poll and returns the messages to send, the answer among them.
  /// @param feed address from which the router is to receive the state.
  std::vector<RouterSend> TakePoll(ConnectionId connection, const traffic::TrafficPoll& poll,
                                   Instant now, const std::string& feed = "") {
    for (const traffic::InstanceLimit& limit : poll.limits) limits_.Take(limit, now);
    for (const traffic::InstanceRest& rest : poll.rests) limits_.Take(rest, now);
    leaving_.insert(poll.leaving.begin(), poll.leaving.end());
    ranges_.TakeLoads(poll, now);
    hints_.TakePoll(poll, now);
    suspect_detector_.TakePoll(poll, now);
    rollout_.RecordPoll(poll.router, poll.version, now);
    SyncQuotaTenants(now);
    return sessions_.Poll(connection, poll, now, feed,
                          quotas_.TakePoll(poll.router, poll.quota, now));
  }

  /// Grants single tokens of quotas and of instances' rate limits.
  traffic::TokenAnswer TakeTokens(const traffic::TokenRequest& request, Instant now) {
    SyncQuotaTenants(now);
    traffic::TokenAnswer answer = quotas_.TakeTokens(request, now);
    for (const traffic::LimitTokenRequest& limited : request.limited) {
      answer.limited.push_back(TakeLimitTokens(limited, now));
    }
    return answer;
  }

  /// Returns messages to routers that are not answers to polls.
  std::vector<RouterSend> Push(Instant now) {
    rollout_.Evaluate(now);
    std::vector<RouterSend> sends = sessions_.Push(now);
    if (sessions_.HasHintsPending()) {
      traffic::TrafficHints all = hints_.All(now);
      all.limits = limits_.All(now);
      sessions_.SendInitialHints(all, sends);
    }
    if (!hints_.IsDue(now)) return sends;
    warm_up_limits_.DropUnused(now);
    const auto hints = hints_.Evaluate(ranges_.HotKeys(), now, limits_.TakeChanges(now));
    if (!hints) return sends;
    for (const traffic::HotKey& hot : hints->hot_keys) ranges_.RecordHotKeySent(hot);
    sessions_.BroadcastHints(*hints, sends);
    return sends;
  }

  /// Returns commands to propose; none until the previous ones are applied.
  std::vector<CommandBody> Decide(Instant now) {
    if (state_.applied() < proposed_) return {};
    std::vector<CommandBody> commands = ranges_.Decide(now);
    if (now >= displacement_check_due_) ReverseDisplacements(commands, now);
    suspect_detector_.Decide(commands, now);
    DrainLeaving(commands);
    return commands;
  }
  /// Records the log index of the last command that Decide() returned.
  void Proposed(LogIndex last) { proposed_ = last; }

  /// The next time at which Push(), Decide() or orders have work. Decisions are excluded while
  /// commands wait to be applied: the wait ends with an event, and a timer would only spin.
  Instant NextDue() const {
    const bool waits = state_.applied() < proposed_;
    const Instant decisions = std::min(ranges_.NextDue(), suspect_detector_.NextDue());
    const Instant message_due = std::min(sessions_.NextDue(), rollout_.NextDue());
    return std::min(message_due, waits ? ranges_.NextOrderDue() : decisions);
  }

 private:
  /// Grants tokens of an instance's rate limit, at most those of its warm-up.
  traffic::LimitTokenGrant TakeLimitTokens(traffic::LimitTokenRequest request, Instant now) {
    const traffic::InstanceId& id = request.limit.instance;
    const traffic::Instance* const instance = state_.traffic().instances().Find(id);
    // A router that knows of no limit asks because it holds the instance for warming up; a report
    // of the end that is known here may be older than the begin.
    const bool held_for_warming_up = request.limit.requests_per_second == 0;
    const bool warms_up = held_for_warming_up || (instance != nullptr && instance->IsWarmingUp());
    if (warm_up_limit_ == 0 || !warms_up) return limits_.TakeTokens(request, now);
    const auto warm_up =
        warm_up_limits_.TakeTokens({{id, warm_up_limit_, 0}, request.requests}, now);
    request.requests = warm_up.requests;
    traffic::LimitTokenGrant grant = limits_.TakeTokens(request, now);
    grant.retry_after_ms = std::max(grant.retry_after_ms, warm_up.retry_after_ms);
    return grant;
  }

  void SyncQuotaTenants(Instant now) {
    const traffic::ConfigurationStore& store = state_.traffic().configuration();
    quotas_.SyncTenants(store.tenancy(), store.changed_at(), now);
  }

  /// The part of the bound of warming-up instances that is granted to owners.
  static constexpr double kWarmUpPart = 0.5;
  /// Interval of the check for displaced instances that appear to be running.
  static constexpr Duration kDisplacementCheckInterval{1'000'000};

  /// Returns addresses to the instances that appear to be running there.
  void ReverseDisplacements(std::vector<CommandBody>& commands, Instant now) {
    displacement_check_due_ = now + kDisplacementCheckInterval;
    for (const ReversibleDisplacement& one :
         FindReversibleDisplacements(state_.traffic().instances(), liveness_, now)) {
      commands.emplace_back(ReverseDisplacementCommand{one.displaced, one.successor});
    }
  }

  /// Drains the instances that announced their shutdown to routers, and whose heartbeats do not say
  /// so: their keys go to other owners.
  void DrainLeaving(std::vector<CommandBody>& commands) {
    ReportInstancesCommand command;
    for (const traffic::InstanceId& id : std::exchange(leaving_, {})) {
      const traffic::Instance* const instance = state_.traffic().instances().Find(id);
      if (instance == nullptr || !instance->AcceptsNewWork()) continue;
      traffic::InstanceReport& report = command.reports.emplace_back(instance->report);
      report.draining = true;
      ++report.sequence;  // A higher sequence, so that the report is accepted.
    }
    if (!command.reports.empty()) commands.emplace_back(std::move(command));
  }

  const ReplicatedState& state_;
  const double warm_up_limit_;  ///< Requests per second of one owner; 0 for no limit.
  InstanceLiveness liveness_;
  InstanceLimits limits_;
  InstanceLimits warm_up_limits_;  ///< Tokens for owners that warm up.
  RangeController ranges_;
  TrafficSessions sessions_;
  HintPublisher hints_;
  SuspectDetector suspect_detector_;
  ConfigurationRollout rollout_;
  QuotaLedger quotas_;
  LogIndex proposed_;
  std::set<traffic::InstanceId> leaving_;  ///< As routers reported since the last decision.
  Instant displacement_check_due_{};
};

}  // namespace graniteseam::control
