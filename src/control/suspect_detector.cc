#include "src/control/suspect_detector.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace graniteseam::control {
namespace {

constexpr Duration kDecisionInterval{250'000};
/// A heartbeat that arrives within this time after a loss may have been sent before it. Transit
/// takes milliseconds, or longer when a follower batches it.
constexpr Duration kHeartbeatTransitMaximum{300'000};
/// A live instance sends a heartbeat within this time after a loss or another heartbeat: one
/// heartbeat interval (1.5 s in current deployments, up to 1.7 s with jitter), the transit time
/// above, and a margin.
constexpr Duration kTerminationCertainAfter{2'500'000};
/// Routers receive a suspect and report its answers with their next poll, within 0.5 s.
constexpr Duration kAnswersReportedWithin{1'000'000};
/// Time until routers have found a new leader and reported their answers to it at least twice.
constexpr Duration kLeaderDiscoveryTime{2'000'000};
/// How long a loss is kept here and reported by routers. A caller without an answer retries within
/// seconds; a request retried after a longer pause has to terminate two more servers.
constexpr Duration kLossRetention{60'000'000};
/// Maximum number of tracked requests. Instances that terminate together have a few requests per
/// slot in progress.
constexpr std::size_t kRequestsMaximum = 4'096;
constexpr std::size_t kLossesOfOneMaximum = 8;
/// Number of terminated instances from which a request is recorded. A single one may be a
/// coincidence, and each recording is a message to all routers.
constexpr std::size_t kTerminationsToRecord = 2;

}  // namespace

void SuspectDetector::TakePoll(const traffic::TrafficPoll& poll, Instant now) {
  for (const traffic::LostAttempt& lost : poll.losses) TakeLoss(lost, now);
  for (const traffic::AnsweredRequest& answered : poll.answered) TakeAnswer(answered, now);
}

void SuspectDetector::TakeLoss(const traffic::LostAttempt& lost, Instant now) {
  const traffic::Instance* const instance = state_.instances().Find(lost.instance);
  // An instance that shuts down as planned terminates whatever it runs.
  const bool planned = instance == nullptr || instance->report.draining ||
                       instance->state == traffic::InstanceState::kDeregistered;
  if (planned) return;
  const Loss loss{lost.instance, now - std::chrono::milliseconds(lost.sent_ms_ago),
                  now - std::chrono::milliseconds(lost.lost_ms_ago)};
  if (now - loss.lost_at > kLossRetention) return;
  if (histories_.size() >= kRequestsMaximum && !histories_.contains(lost.digest)) return;
  RequestHistory& history = histories_[lost.digest];
  std::vector<Loss>& losses = history.losses;
  const bool known = std::any_of(losses.begin(), losses.end(),
                                 [&](const Loss& one) { return one.instance == loss.instance; });
  const bool counts = !known && loss.lost_at > history.answered_at;
  if (!counts || (losses.size() >= kLossesOfOneMaximum && !MakeRoom(losses, now))) return;
  const auto later = std::find_if(losses.begin(), losses.end(),
                                  [&](const Loss& one) { return one.lost_at > loss.lost_at; });
  losses.insert(later, loss);
}

bool SuspectDetector::MakeRoom(std::vector<Loss>& losses, Instant now) const {
  Instant last_termination{};
  for (auto it = losses.begin(); it != losses.end(); ++it) {
    const bool follows = it->sent_at >= last_termination;
    if (!follows || FateOf(*it, now) == Fate::kSurvived) {
      losses.erase(it);
      return true;
    }
    last_termination = it->lost_at;
  }
  return false;
}

void SuspectDetector::TakeAnswer(const traffic::AnsweredRequest& answered, Instant now) {
  const Instant at = now - std::chrono::milliseconds(answered.answered_ms_ago);
  const auto found = histories_.find(answered.digest);
  const bool has_losses = found != histories_.end() && !found->second.losses.empty();
  // An answer before the first loss does not clear the request, whose effect may have changed
  // since.
  const Instant first = has_losses ? found->second.losses.front().lost_at : start_;
  RequestHistory& history = histories_[answered.digest];
  if (at <= first) {
    history.answered_before = true;
    return;
  }
  history.answered_at = std::max(history.answered_at, at);
  std::erase_if(history.losses,
                [&](const Loss& loss) { return loss.lost_at <= history.answered_at; });
}

SuspectDetector::Fate SuspectDetector::FateOf(const Loss& loss, Instant now) const {
  const Instant since = loss.lost_at + kHeartbeatTransitMaximum;
  if (liveness_.HasTwoHeartbeatsSince(loss.instance, since)) return Fate::kSurvived;
  // A new leader has received no heartbeats before its start.
  Instant from = std::max(loss.lost_at, start_);
  if (liveness_.HasHeartbeatSince(loss.instance, since))
    from = *liveness_.LastHeartbeatAt(loss.instance);
  return now - from >= kTerminationCertainAfter ? Fate::kEnded : Fate::kUndecided;
}

SuspectDetector::Terminations SuspectDetector::TerminationsUnder(
    const traffic::SuspectRequest* recorded, const RequestHistory& history, const Instances& blamed,
    Instant now) const {
  Terminations terminations;
  std::vector<traffic::InstanceId>& instances = terminations.instances;
  // The termination times recorded by an earlier leadership are unknown, so any answer may be
  // newer. A request that is already refused gets no new answers.
  const bool was_answered = history.answered_at != Instant{} ||
                            (history.answered_before && recorded && !recorded->Quarantined());
  if (recorded != nullptr && !was_answered) instances = recorded->ended;
  // If this request was answered until another one appeared that never was, the other one is the
  // cause.
  const auto attributed_elsewhere = [&](const traffic::InstanceId& instance) {
    return history.answered_before && blamed.contains(instance);
  };
  std::erase_if(instances, attributed_elsewhere);
  Instant last_termination{};
  for (const Loss& loss : history.losses) {
    if (attributed_elsewhere(loss.instance)) continue;
    const Fate fate = FateOf(loss, now);
    const auto counted = std::find(instances.begin(), instances.end(), loss.instance);
    if (fate == Fate::kSurvived) {
      if (counted != instances.end()) instances.erase(counted);
      continue;
    }
    const bool is_new = counted == instances.end();
    // Sent before the previous instance terminated: both terminations may have one cause other than
    // this request.
    if (is_new && loss.sent_at < last_termination) continue;
    last_termination = loss.lost_at;
    // Instances beyond the required number add nothing and may stay undecided for long.
    if (is_new && instances.size() >= traffic::kQuarantineThreshold) continue;
    if (is_new) instances.push_back(loss.instance);
    if (fate == Fate::kUndecided) ++terminations.undecided;
  }
  return terminations;
}

void SuspectDetector::Decide(std::vector<CommandBody>& commands, Instant now) {
  if (now < decision_due_) return;
  decision_due_ = now + kDecisionInterval;
  RemoveExpired(now);
  UpdateSuspects(now);
  const Instances blamed = InstancesBlamedOnUnanswered(now);
  for (const auto& [digest, history] : histories_) DecideOn(digest, history, blamed, now);
  if (!recorded_.empty()) {
    commands.emplace_back(RecordSuspectsCommand{std::exchange(recorded_, {})});
  }
  if (!cleared_.empty()) commands.emplace_back(ClearSuspectsCommand{std::exchange(cleared_, {})});
}

SuspectDetector::Instances SuspectDetector::InstancesBlamedOnUnanswered(Instant now) const {
  Instances blamed;
  for (const auto& [digest, history] : histories_) {
    if (history.answered_before || history.answered_at != Instant{}) continue;
    const Terminations terminations =
        TerminationsUnder(state_.suspects().Find(digest), history, {}, now);
    if (terminations.instances.size() < kTerminationsToRecord) continue;
    blamed.insert(terminations.instances.begin(), terminations.instances.end());
  }
  return blamed;
}

void SuspectDetector::DecideOn(traffic::RequestDigest digest, const RequestHistory& history,
                               const Instances& blamed, Instant now) {
  const traffic::SuspectRequest* const recorded = state_.suspects().Find(digest);
  Terminations terminations = TerminationsUnder(recorded, history, blamed, now);
  const bool is_suspect = terminations.instances.size() >= kTerminationsToRecord;
  if (!is_suspect) {
    if (recorded != nullptr) Clear(digest, "it was answered, or its instances are alive");
    return;
  }
  const bool answers_reported =
      recorded != nullptr && now - start_ >= kLeaderDiscoveryTime &&
      now - recorded_states_.at(digest).recorded_since >= kAnswersReportedWithin;
  const bool certain = terminations.undecided <= 1;
  const bool quarantined = recorded != nullptr && recorded->Quarantined();
  const bool may_quarantine = quarantined || (answers_reported && certain);
  const std::size_t count_to_record =
      may_quarantine ? traffic::kQuarantineThreshold : kTerminationsToRecord;
  if (terminations.instances.size() > count_to_record)
    terminations.instances.resize(count_to_record);
  if (recorded != nullptr && recorded->ended == terminations.instances) return;
  Record(digest, std::move(terminations.instances));
}

void SuspectDetector::Record(traffic::RequestDigest digest,
                             std::vector<traffic::InstanceId> ended) {
  traffic::SuspectRequest suspect{digest, std::move(ended), 0};
  std::string inputs = "ended:";
  for (const traffic::InstanceId& instance : suspect.ended) inputs += " " + instance.value;
  notes_.push_back({suspect.Quarantined() ? "quarantine" : "suspect", digest, std::move(inputs)});
  recorded_.push_back(std::move(suspect));
}

void SuspectDetector::Clear(traffic::RequestDigest digest, std::string_view why) {
  notes_.push_back({"clear_suspect", digest, std::string(why)});
  cleared_.push_back(digest);
}

void SuspectDetector::UpdateSuspects(Instant now) {
  std::erase_if(recorded_states_,
                [&](const auto& entry) { return state_.suspects().Find(entry.first) == nullptr; });
  for (const auto& [digest, suspect] : state_.suspects().suspects()) {
    RecordedState& recorded_state =
        recorded_states_.try_emplace(digest, RecordedState{0, now, now}).first->second;
    if (recorded_state.changed_at != suspect.changed_at) recorded_state.changed_since = now;
    recorded_state.changed_at = suspect.changed_at;
    if (now - recorded_state.changed_since > traffic::kSuspectRetention)
      Clear(digest, "its retention period has ended");
  }
}

void SuspectDetector::RemoveExpired(Instant now) {
  for (auto& [digest, history] : histories_) {
    std::erase_if(history.losses,
                  [&](const Loss& loss) { return now - loss.lost_at > kLossRetention; });
  }
  std::erase_if(histories_, [&](const auto& entry) {
    const RequestHistory& history = entry.second;
    return history.losses.empty() && now - history.answered_at > kLossRetention;
  });
}

Instant SuspectDetector::NextDue() const {
  const bool idle = histories_.empty() && state_.suspects().suspects().empty();
  return idle ? Instant::max() : decision_due_;
}

}  // namespace graniteseam::control
