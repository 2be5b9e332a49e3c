// Whether servers that leave are left alone.
#include <algorithm>
#include <map>

#include "testbed/history/history.h"

namespace graniteseam::testbed {

namespace {

/// The leaving records of one server, by time.
using Timeline = std::map<std::int64_t, bool>;

/// Whether new work at `at` comes later than a leaving server may still get it.
bool TooLate(const Timeline& timeline, std::int64_t at) {
  const auto later = timeline.upper_bound(at);
  if (later == timeline.begin()) return false;
  const auto& [since, leaving] = *std::prev(later);
  return leaving && at > since + kLeavingGraceUs;
}

}  // namespace

std::vector<Violation> CheckLeaving(const History& history) {
  std::map<std::string, Timeline> timelines;
  for (const auto& record : history.leavings) {
    timelines[record.server][record.at_us] = record.leaving;
  }
  std::vector<Violation> violations;
  for (const auto& run : history.runs) {
    const auto timeline = timelines.find(run.server);
    if (timeline == timelines.end() || !TooLate(timeline->second, run.begun_us)) continue;
    violations.push_back({ViolationKind::kWorkAfterLeaving,
                          "Leaving server " + run.server + " got new work at " +
                              std::to_string(run.begun_us) + " us (attempt " + run.attempt + ")."});
  }
  return violations;
}

}  // namespace graniteseam::testbed
