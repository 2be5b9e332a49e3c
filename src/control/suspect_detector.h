/// @file
/// Finds the requests under which instances end, from what routers lost and who is heard of.
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

/// A request that ends each server which runs it comes back through any router, and would end one
/// server after the other. Routers tell which attempts were lost at which instance; this counts
/// the instances that ended under each request. One with two is recorded as a suspect, so that all
/// routers tell when it was answered; one with three is refused from then on.
///
/// Invariants, each sparing requests that ended nothing: an instance counts only when it is silent
/// after the loss and did not leave as planned; of instances that end together one counts, since
/// the request was not sent again in between; losses before an answer do not count, and routers had
/// the time to tell of one before a request is refused.
///
/// Lives as long as one leadership: routers tell a new leader again what they lost. Bounded; what
/// was lost long ago is forgotten. Not thread safe; `now` never goes back.
class SuspectDetector {
 public:
  /// @param now the start of the leadership.
  SuspectDetector(const traffic::TrafficState& state, const InstanceLiveness& liveness, Instant now)
      : state_(state), liveness_(liveness), start_(now) {}

  void TakePoll(const traffic::TrafficPoll& poll, Instant now);

  /// Adds what is to be recorded or cleared.
  void Decide(std::vector<CommandBody>& commands, Instant now);

  /// What was decided since the last call.
  std::vector<SuspectNote> TakeNotes() { return std::exchange(notes_, {}); }

  /// When Decide() may have something to decide by itself.
  Instant NextDue() const;

 private:
  struct Loss {
    traffic::InstanceId instance;
    Instant sent_at{};
    Instant lost_at{};
  };
  /// What is known of one request.
  struct RequestHistory {
    std::vector<Loss> losses;      ///< One an instance, in the order of their times.
    Instant answered_at{};         ///< Last, between losses; Instant{} for never.
    bool answered_before = false;  ///< Lately, before the first of the losses.
  };
  /// Since when a suspect is recorded, and recorded as it stands, as far as this leadership knows.
  struct RecordedState {
    std::uint64_t changed_at = 0;
    Instant recorded_since{};
    Instant changed_since{};
  };
  /// Instances that ended under one request, one after the other.
  struct Terminations {
    std::vector<traffic::InstanceId> instances;
    std::size_t undecided = 0;  ///< Of those, the ones whose end is not certain yet.
  };
  using Instances = std::set<traffic::InstanceId>;
  enum class Fate { kSurvived, kUndecided, kEnded };

  void TakeLoss(const traffic::LostAttempt& lost, Instant now);
  /// Forgets a loss that tells nothing: its instance lives, or the attempt was sent before the one
  /// before it was lost, as many copies of a request that comes often are.
  /// @return false when each of them follows the one before it.
  bool MakeRoom(std::vector<Loss>& losses, Instant now) const;
  void TakeAnswer(const traffic::AnsweredRequest& answered, Instant now);
  void RemoveExpired(Instant now);
  /// Whether an instance went down with an attempt that was lost at it.
  Fate FateOf(const Loss& loss, Instant now) const;
  /// @param blamed instances that ended under other requests which were never answered.
  Terminations TerminationsUnder(const traffic::SuspectRequest* recorded,
                                 const RequestHistory& history, const Instances& blamed,
                                 Instant now) const;
  /// Instances that ended under suspects which were never answered.
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
  std::vector<traffic::SuspectRequest> recorded_;  ///< By the Decide() under way.
  std::vector<traffic::RequestDigest> cleared_;    ///< The same.
  std::vector<SuspectNote> notes_;
  Instant decision_due_{};
};

}  // namespace graniteseam::control
