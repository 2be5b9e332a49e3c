#include "src/control/suspect_detector.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace graniteseam::control {
namespace {

constexpr Duration kLookInterval{250'000};
/// A heartbeat that arrives within this after a loss may have been sent before it: it is on its way
/// for milliseconds, or for a follower's batch longer.
constexpr Duration kHeartbeatOnItsWay{300'000};
/// An instance that lives is heard of within this after a loss or another heartbeat: an interval of
/// heartbeats (1.5 s on the deployments so far, drawn up to 1.7 s), the time above, and some more.
constexpr Duration kEndIsCertainAfter{2'500'000};
/// Routers hear of a suspect and tell of its answers with their next poll, 0.5 s at most.
constexpr Duration kAnswersToldWithin{1'000'000};
/// By then routers have found a new leader, and have told it twice or more of their answers.
constexpr Duration kRoutersFoundLeader{2'000'000};
/// How long a loss is remembered here and told by routers. A caller that is not served comes back
/// within seconds; one that waits longer than this must end two more servers.
constexpr Duration kLossKept{60'000'000};
/// Requests under way at instances that end together are a few a slot.
constexpr std::size_t kRequestsMaximum = 4'096;
constexpr std::size_t kLossesOfOneMaximum = 8;
/// Instances from which on a request is recorded: one may be chance, and each recording is a
/// message to all routers.
constexpr std::size_t kEndedToRecord = 2;

}  // namespace

void SuspectDetector::TakePoll(const traffic::TrafficPoll& poll, Instant now) {
  for (const traffic::LostAttempt& lost : poll.losses) TakeLoss(lost, now);
  for (const traffic::AnsweredRequest& answered : poll.answered) TakeAnswer(answered, now);
}

void SuspectDetector::TakeLoss(const traffic::LostAttempt& lost, Instant now) {
  const traffic::Instance* const instance = state_.instances().Find(lost.instance);
  // One that leaves as planned ends whatever it runs.
  const bool planned = instance == nullptr || instance->report.draining ||
                       instance->state == traffic::InstanceState::kDeregistered;
  if (planned) return;
  const Loss loss{lost.instance, now - std::chrono::milliseconds(lost.sent_ms_ago),
                  now - std::chrono::milliseconds(lost.lost_ms_ago)};
  if (now - loss.lost_at > kLossKept) return;
  if (tallies_.size() >= kRequestsMaximum && !tallies_.contains(lost.digest)) return;
  Tally& tally = tallies_[lost.digest];
  std::vector<Loss>& losses = tally.losses;
  const bool known = std::any_of(losses.begin(), losses.end(),
                                 [&](const Loss& one) { return one.instance == loss.instance; });
  const bool counts = !known && loss.lost_at > tally.answered_at;
  if (!counts || (losses.size() >= kLossesOfOneMaximum && !MakeRoom(losses, now))) return;
  const auto later = std::find_if(losses.begin(), losses.end(),
                                  [&](const Loss& one) { return one.lost_at > loss.lost_at; });
  losses.insert(later, loss);
}

bool SuspectDetector::MakeRoom(std::vector<Loss>& losses, Instant now) const {
  Instant last_end{};
  for (auto it = losses.begin(); it != losses.end(); ++it) {
    const bool follows = it->sent_at >= last_end;
    if (!follows || FateOf(*it, now) == Fate::kSurvived) {
      losses.erase(it);
      return true;
    }
    last_end = it->lost_at;
  }
  return false;
}

void SuspectDetector::TakeAnswer(const traffic::AnsweredRequest& answered, Instant now) {
  const Instant at = now - std::chrono::milliseconds(answered.answered_ms_ago);
  const auto found = tallies_.find(answered.digest);
  const bool has_losses = found != tallies_.end() && !found->second.losses.empty();
  // What was answered before it ended its first instance may have changed since.
  const Instant first = has_losses ? found->second.losses.front().lost_at : start_;
  Tally& tally = tallies_[answered.digest];
  if (at <= first) {
    tally.answered_before = true;
    return;
  }
  tally.answered_at = std::max(tally.answered_at, at);
  std::erase_if(tally.losses, [&](const Loss& loss) { return loss.lost_at <= tally.answered_at; });
}

SuspectDetector::Fate SuspectDetector::FateOf(const Loss& loss, Instant now) const {
  const Instant since = loss.lost_at + kHeartbeatOnItsWay;
  if (liveness_.HeardTwiceSince(loss.instance, since)) return Fate::kSurvived;
  // A new leader has heard of nobody before its start.
  Instant from = std::max(loss.lost_at, start_);
  if (liveness_.HeardSince(loss.instance, since)) from = *liveness_.LastHeard(loss.instance);
  return now - from >= kEndIsCertainAfter ? Fate::kEnded : Fate::kOpen;
}

SuspectDetector::Ends SuspectDetector::EndsUnder(const traffic::SuspectRequest* recorded,
                                                 const Tally& tally, const Instances& blamed,
                                                 Instant now) const {
  Ends ends;
  std::vector<traffic::InstanceId>& instances = ends.instances;
  // When those recorded by an earlier leadership ended is not known: any answer may be newer. What
  // is refused already is not answered any more.
  const bool was_answered = tally.answered_at != Instant{} ||
                            (tally.answered_before && recorded && !recorded->Quarantined());
  if (recorded != nullptr && !was_answered) instances = recorded->ended;
  // What was answered until another request came that never was: the other one is the cause.
  const auto explained = [&](const traffic::InstanceId& instance) {
    return tally.answered_before && blamed.contains(instance);
  };
  std::erase_if(instances, explained);
  Instant last_end{};
  for (const Loss& loss : tally.losses) {
    if (explained(loss.instance)) continue;
    const Fate fate = FateOf(loss, now);
    const auto counted = std::find(instances.begin(), instances.end(), loss.instance);
    if (fate == Fate::kSurvived) {
      if (counted != instances.end()) instances.erase(counted);
      continue;
    }
    const bool is_new = counted == instances.end();
    // Sent before the last one ended: both ends may have one cause, which is not this request.
    if (is_new && loss.sent_at < last_end) continue;
    last_end = loss.lost_at;
    // Those beyond the number that is wanted tell nothing more, and may be open for long.
    if (is_new && instances.size() >= traffic::kEndedToQuarantine) continue;
    if (is_new) instances.push_back(loss.instance);
    if (fate == Fate::kOpen) ++ends.open;
  }
  return ends;
}

void SuspectDetector::Decide(std::vector<CommandBody>& commands, Instant now) {
  if (now < look_due_) return;
  look_due_ = now + kLookInterval;
  ForgetOld(now);
  FollowSuspects(now);
  const Instances blamed = BlamedOnOthers(now);
  for (const auto& [digest, tally] : tallies_) DecideOn(digest, tally, blamed, now);
  if (!recorded_.empty()) {
    commands.emplace_back(RecordSuspectsCommand{std::exchange(recorded_, {})});
  }
  if (!cleared_.empty()) commands.emplace_back(ClearSuspectsCommand{std::exchange(cleared_, {})});
}

SuspectDetector::Instances SuspectDetector::BlamedOnOthers(Instant now) const {
  Instances blamed;
  for (const auto& [digest, tally] : tallies_) {
    if (tally.answered_before || tally.answered_at != Instant{}) continue;
    const Ends ends = EndsUnder(state_.suspects().Find(digest), tally, {}, now);
    if (ends.instances.size() < kEndedToRecord) continue;
    blamed.insert(ends.instances.begin(), ends.instances.end());
  }
  return blamed;
}

void SuspectDetector::DecideOn(traffic::RequestDigest digest, const Tally& tally,
                               const Instances& blamed, Instant now) {
  const traffic::SuspectRequest* const recorded = state_.suspects().Find(digest);
  Ends ends = EndsUnder(recorded, tally, blamed, now);
  const bool is_suspect = ends.instances.size() >= kEndedToRecord;
  if (!is_suspect) {
    if (recorded != nullptr) Clear(digest, "it was answered, or its servers live");
    return;
  }
  const bool answers_told = recorded != nullptr && now - start_ >= kRoutersFoundLeader &&
                            now - standing_.at(digest).recorded_since >= kAnswersToldWithin;
  const bool certain = ends.open <= 1;
  const bool quarantined = recorded != nullptr && recorded->Quarantined();
  const bool may_quarantine = quarantined || (answers_told && certain);
  const std::size_t told = may_quarantine ? traffic::kEndedToQuarantine : kEndedToRecord;
  if (ends.instances.size() > told) ends.instances.resize(told);
  if (recorded != nullptr && recorded->ended == ends.instances) return;
  Record(digest, std::move(ends.instances));
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

void SuspectDetector::FollowSuspects(Instant now) {
  std::erase_if(standing_,
                [&](const auto& entry) { return state_.suspects().Find(entry.first) == nullptr; });
  for (const auto& [digest, suspect] : state_.suspects().suspects()) {
    Standing& standing = standing_.try_emplace(digest, Standing{0, now, now}).first->second;
    if (standing.changed_at != suspect.changed_at) standing.changed_since = now;
    standing.changed_at = suspect.changed_at;
    if (now - standing.changed_since > traffic::kSuspectKept) Clear(digest, "it is long ago");
  }
}

void SuspectDetector::ForgetOld(Instant now) {
  for (auto& [digest, tally] : tallies_) {
    std::erase_if(tally.losses, [&](const Loss& loss) { return now - loss.lost_at > kLossKept; });
  }
  std::erase_if(tallies_, [&](const auto& entry) {
    const Tally& tally = entry.second;
    return tally.losses.empty() && now - tally.answered_at > kLossKept;
  });
}

Instant SuspectDetector::NextDue() const {
  const bool idle = tallies_.empty() && state_.suspects().suspects().empty();
  return idle ? Instant::max() : look_due_;
}

}  // namespace graniteseam::control
