#include "graniteseam/admission/group_limiter.h"

#include <algorithm>
#include <cmath>

namespace graniteseam::admission {

namespace {

constexpr double kReleaseSmoothing = 0.1;
constexpr Duration kRetryAfterMinimum{10'000};
constexpr Duration kRetryAfterMaximum{10'000'000};
/// A request may wait for its remaining time divided by this.
constexpr int kWaitDivisor = 2;

Duration ClampRetryAfter(Duration wait) {
  return std::clamp(wait, kRetryAfterMinimum, kRetryAfterMaximum);
}

}  // namespace

bool GroupLimiter::Group::BelowLimit() const {
  return !limit || static_cast<double>(in_flight) + 1.0 <= std::max(1.0, *limit);
}

void GroupLimiter::Configure(const std::vector<GroupSettings>& groups) {
  for (auto& [name, group] : groups_) group.queue_maximum = 0;
  for (const GroupSettings& settings : groups) {
    Group& group = groups_[settings.group];
    group.weight = settings.weight;
    group.queue_maximum = settings.queue_maximum;
  }
}

void GroupLimiter::SetLimit(const GroupName& group, double concurrency) {
  groups_[group].limit = concurrency;
}

OfferResult GroupLimiter::Offer(const OfferedRequest& request, std::size_t lane_room, Instant now) {
  Group& group = groups_[request.group];
  OfferResult result;
  if (lane_room > 0 && group.BelowLimit() && !LaneHasEligibleWaiter(request.lane)) {
    ++group.in_flight;
    result.verdict = Verdict::kAdmitted;
    return result;
  }
  const Duration expected = ExpectedWait(request.group);
  result.retry_after = ClampRetryAfter(expected);
  result.give_up_at = now + (request.deadline - now) / kWaitDivisor;
  // A request that would time out in the queue is refused at once.
  if (group.queue_maximum == 0 || now + expected > result.give_up_at) return result;
  if (group.queued >= group.queue_maximum) {
    const std::optional<RequestNumber> earliest = EarliestDeadline(group);
    if (!earliest || waiting_.at(*earliest).deadline >= request.deadline) return result;
    Withdraw(*earliest);
    result.displaced = earliest;
  }
  Enqueue(group, request);
  result.verdict = Verdict::kQueued;
  return result;
}

void GroupLimiter::Release(const GroupName& name, Instant now) {
  Group& group = groups_[name];
  if (group.in_flight > 0) --group.in_flight;
  if (group.last_release != Instant{}) {
    const auto interval = static_cast<double>((now - group.last_release).count());
    group.release_interval_us += kReleaseSmoothing * (interval - group.release_interval_us);
  }
  // The interval after an idle period does not reflect the rate at which the group's requests
  // complete.
  const bool idle = group.in_flight == 0 && group.queued == 0;
  group.last_release = idle ? Instant{} : now;
}

bool GroupLimiter::Withdraw(RequestNumber number) {
  const auto found = waiting_.find(number);
  if (found == waiting_.end()) return false;
  Dequeue(groups_[found->second.group], found->second, number);
  waiting_.erase(found);
  return true;
}

std::vector<RequestNumber> GroupLimiter::Dispatch(Lane lane, std::size_t lane_room) {
  std::vector<RequestNumber> admitted;
  while (admitted.size() < lane_room) {
    Group* group = NextGroup(lane);
    if (group == nullptr) break;
    const QueueKey first = *group->queues.at(lane).begin();
    Withdraw(first.number);
    ++group->in_flight;
    admitted.push_back(first.number);
  }
  return admitted;
}

std::vector<Lane> GroupLimiter::WaitingLanes() const {
  std::set<Lane> lanes;
  for (const auto& [name, group] : groups_) {
    for (const auto& [lane, queue] : group.queues) lanes.insert(lane);
  }
  return {lanes.begin(), lanes.end()};
}

std::size_t GroupLimiter::InFlight(const GroupName& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.in_flight;
}

std::size_t GroupLimiter::Queued(const GroupName& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.queued;
}

Duration GroupLimiter::ExpectedWait(const GroupName& name) const {
  const auto found = groups_.find(name);
  if (found == groups_.end()) return Duration{0};
  const double ahead = static_cast<double>(found->second.queued);
  return Duration(std::llround(ahead * found->second.release_interval_us));
}

void GroupLimiter::Enqueue(Group& group, const OfferedRequest& request) {
  group.queues[request.lane].insert({request.deadline, request.number});
  ++group.queued;
  waiting_[request.number] = {request.group, request.lane, request.deadline};
}

void GroupLimiter::Dequeue(Group& group, const Place& place, RequestNumber number) {
  const auto queue = group.queues.find(place.lane);
  queue->second.erase({place.deadline, number});
  if (queue->second.empty()) group.queues.erase(queue);
  --group.queued;
}

std::optional<RequestNumber> GroupLimiter::EarliestDeadline(const Group& group) const {
  std::optional<QueueKey> earliest;
  for (const auto& [lane, queue] : group.queues) {
    if (!earliest || *queue.begin() < *earliest) earliest = *queue.begin();
  }
  if (!earliest) return std::nullopt;
  return earliest->number;
}

GroupLimiter::Group* GroupLimiter::NextGroup(Lane lane) {
  Group* best = nullptr;
  double best_use = 0.0;
  for (auto& [name, group] : groups_) {
    if (!group.queues.contains(lane) || !group.BelowLimit()) continue;
    const double use = static_cast<double>(group.in_flight) / group.weight;
    if (best == nullptr || use < best_use) {
      best = &group;
      best_use = use;
    }
  }
  return best;
}

bool GroupLimiter::LaneHasEligibleWaiter(Lane lane) const {
  if (waiting_.empty()) return false;
  return std::any_of(groups_.begin(), groups_.end(), [&](const auto& entry) {
    return entry.second.queues.contains(lane) && entry.second.BelowLimit();
  });
}

}  // namespace graniteseam::admission
