// Who owned which shard when, from the servers' lease and run records.
#include <algorithm>
#include <map>
#include <tuple>

#include "testbed/history/history.h"

namespace graniteseam::testbed {

namespace {

/// One start of one server.
using Life = std::pair<std::string, std::uint64_t>;

/// A stretch of time in which one start of a server owned a shard, or ran a request for it.
/// Half open: [from, to).
struct Interval {
  std::int64_t from = 0;
  std::int64_t to = 0;
  std::uint64_t epoch = 0;
  Life owner;
};

using IntervalsByShard = std::map<ShardId, std::vector<Interval>>;

/// Follows one server through its lease records.
class LeaseFollower {
 public:
  explicit LeaseFollower(IntervalsByShard& intervals) : intervals_(intervals) {}

  void Take(const LeaseRecord& record) {
    const Life life{record.server, record.incarnation};
    // A new start holds nothing of the old one, whatever lease the old one had.
    if (life != life_) CloseAll(record.taken_us);
    life_ = life;
    if (record.taken_us >= valid_until_) Reopen(record.taken_us);
    if (record.held) ReplaceHeld(*record.held, record.taken_us);
    valid_until_ = record.valid_until_us;
  }

  void Finish() { CloseAll(valid_until_); }

 private:
  struct Open {
    std::uint64_t epoch = 0;
    std::int64_t from = 0;
  };

  void Close(const ShardId& shard, const Open& open, std::int64_t at) {
    const std::int64_t to = std::min(at, valid_until_);
    if (open.from < to) intervals_[shard].push_back({open.from, to, open.epoch, life_});
  }

  void CloseAll(std::int64_t at) {
    for (const auto& [shard, open] : open_) Close(shard, open, at);
    open_.clear();
  }

  /// The lease was over in between: what is still held is owned anew from `at`.
  void Reopen(std::int64_t at) {
    for (auto& [shard, open] : open_) {
      Close(shard, open, at);
      open.from = at;
    }
  }

  void ReplaceHeld(const std::vector<lease::ShardGrant>& held, std::int64_t at) {
    std::map<ShardId, Open> next;
    for (const auto& grant : held) {
      const auto old = open_.find(grant.shard);
      const bool kept = old != open_.end() && old->second.epoch == grant.epoch.value;
      next[grant.shard] = kept ? old->second : Open{grant.epoch.value, at};
      if (kept) open_.erase(old);
    }
    CloseAll(at);
    open_ = std::move(next);
  }

  IntervalsByShard& intervals_;
  Life life_;
  std::int64_t valid_until_ = 0;
  std::map<ShardId, Open> open_;
};

IntervalsByShard CollectIntervals(const History& history) {
  IntervalsByShard intervals;
  std::map<std::string, LeaseFollower> followers;
  for (const auto& record : history.leases) {
    followers.try_emplace(record.server, intervals).first->second.Take(record);
  }
  for (auto& [server, follower] : followers) follower.Finish();
  for (const auto& run : history.runs) {
    if (run.epoch == 0) continue;
    // A run may end after its shard was revoked: until then the server still owns it.
    intervals[ShardId{ServiceName{run.service}, run.shard}].push_back(
        {run.begun_us, run.ended_us + 1, run.epoch, {run.server, run.incarnation}});
  }
  return intervals;
}

std::string Describe(const Interval& interval) {
  return interval.owner.first + " at epoch " + std::to_string(interval.epoch) + " from " +
         std::to_string(interval.from) + " to " + std::to_string(interval.to) + " us";
}

std::string Describe(const ShardId& shard) {
  return "Shard " + std::to_string(shard.index) + " of " + shard.service.value;
}

/// Checks one shard's intervals.
void CheckShard(const ShardId& shard, std::vector<Interval> intervals,
                std::vector<Violation>& violations) {
  std::sort(intervals.begin(), intervals.end(), [](const Interval& left, const Interval& right) {
    return std::tie(left.from, left.to) < std::tie(right.from, right.to);
  });
  const Interval* latest = nullptr;   // The one that ends last among those looked at.
  const Interval* highest = nullptr;  // The one with the highest epoch among those looked at.
  for (const auto& interval : intervals) {
    if (latest != nullptr && interval.from < latest->to && interval.owner != latest->owner) {
      violations.push_back({ViolationKind::kTwoOwners, Describe(shard) + " was owned by " +
                                                           Describe(*latest) + " and by " +
                                                           Describe(interval) + "."});
    }
    if (highest != nullptr && interval.epoch < highest->epoch) {
      violations.push_back({ViolationKind::kEpochWentBack, Describe(shard) + " was owned by " +
                                                               Describe(interval) + " after " +
                                                               Describe(*highest) + "."});
    }
    if (latest == nullptr || interval.to > latest->to) latest = &interval;
    if (highest == nullptr || interval.epoch > highest->epoch) highest = &interval;
  }
}

}  // namespace

std::vector<Violation> CheckOwners(const History& history) {
  std::vector<Violation> violations;
  for (auto& [shard, intervals] : CollectIntervals(history)) {
    CheckShard(shard, std::move(intervals), violations);
  }
  return violations;
}

}  // namespace graniteseam::testbed
