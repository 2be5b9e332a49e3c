/// @file
/// Detects requests that terminate instances, from the lost attempts that routers report and the
/// liveness of instances.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "graniteseam/control/range_orders.h"
#include "graniteseam/traffic/update.h"
#include "src/control/commands.h"
#include "src/control/instance_liveness.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// A request that terminates every server that runs it is retried through any router and would
/// terminate one server after another. Routers report which attempts were lost at which instance;
/// this class counts the instances that terminated under each request. A request with two is
/// recorded as a suspect, so that all routers report when it is answered; one with three is refused
/// from then on.
///
/// Invariants, which protect innocent requests: an instance counts only if it is unreachable after
/// the loss and did not shut down as planned; of instances that terminate together only one counts,
/// since the request was not resent in between; losses before an answer do not count, and routers
/// had the time to report an answer before a request is refused.
///
/// Exists for one leadership: routers report their losses to a new leader again. Bounded; old
/// losses are discarded. Not thread safe; `now` must not decrease.
class SuspectDetector {
 public:
  /// @param now the start of the leadership.
  SuspectDetector(const traffic::TrafficState& state, const InstanceLiveness& liveness, Instant now)
      : state_(state), liveness_(liveness), start_(now) {}

  /// Records the lost attempts and answered requests of a router's poll.
  void TakePoll(const traffic::TrafficPoll& poll, Instant now);

  /// Appends the commands that record or clear suspects.
  void Decide(std::vector<CommandBody>& commands, Instant now);

  /// Decisions since the last call, for the event log.
  std::vector<SuspectNote> TakeNotes() { return std::exchange(notes_, {}); }

  /// When Decide() must be called next.
  Instant NextDue() const;

 private:
  /// An attempt that was lost at an instance.
  struct Loss {
    traffic::InstanceId instance;
    Instant sent_at{};
    Instant lost_at{};
  };
  /// The losses and answers of one request.
  struct RequestHistory {
    std::vector<Loss> losses;      ///< At most one per instance, in time order.
    Instant answered_at{};         ///< The latest answer after the first loss; Instant{} for none.
    bool answered_before = false;  ///< Whether it was recently answered before the first of the
                                   ///< losses.
  };
  /// Times at which a suspect was first seen as recorded, and was last changed, as far as this
  /// leadership has observed.
  struct RecordedState {
    std::uint64_t changed_at = 0;
    Instant recorded_since{};
    Instant changed_since{};
  };
  /// Instances that terminated under one request, in time order.
  struct Terminations {
    std::vector<traffic::InstanceId> instances;
    std::size_t undecided = 0;  ///< How many of them may still be alive.
  };
  using Instances = std::set<traffic::InstanceId>;
  /// Whether an instance survived a lost attempt; kUndecided until the time limit.
  enum class Fate { kSurvived, kUndecided, kEnded };

  void TakeLoss(const traffic::LostAttempt& lost, Instant now);
  /// Makes room by removing a loss that carries no information: its instance is alive, or the
  /// attempt was sent before the previous one was lost, which is common for concurrent copies of a
  /// frequent request.
  /// @return false when there is no such loss.
  bool MakeRoom(std::vector<Loss>& losses, Instant now) const;
  void TakeAnswer(const traffic::AnsweredRequest& answered, Instant now);
  void RemoveExpired(Instant now);
  /// Whether an instance terminated with an attempt that was lost at it.
  Fate FateOf(const Loss& loss, Instant now) const;
  /// @param blamed instances that terminated under other requests which were never answered.
  Terminations TerminationsUnder(const traffic::SuspectRequest* recorded,
                                 const RequestHistory& history, const Instances& blamed,
                                 Instant now) const;
  /// Instances that terminated under suspects which were never answered.
  Instances InstancesBlamedOnUnanswered(Instant now) const;
  void DecideOn(traffic::RequestDigest digest, const RequestHistory& history,
                const Instances& blamed, Instant now);
  void UpdateSuspects(Instant now);
  void Record(traffic::RequestDigest digest, std::vector<traffic::InstanceId> ended);
  void Clear(traffic::RequestDigest digest, std::string_view why);

  const traffic::TrafficState& state_;
  const InstanceLiveness& liveness_;
  const Instant start_;
  std::map<traffic::RequestDigest, RequestHistory> histories_;
  std::map<traffic::RequestDigest, RecordedState> recorded_states_;
  std::vector<traffic::SuspectRequest> recorded_;  ///< Collected by the current Decide() call.
  std::vector<traffic::RequestDigest> cleared_;    ///< Collected by the current Decide() call.
  std::vector<SuspectNote> notes_;
  Instant decision_due_{};
};

}  // namespace graniteseam::control
