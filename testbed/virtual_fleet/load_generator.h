/// @file
/// Open-loop callers in virtual time and what they were told.
#pragma once

#include <map>
#include <vector>

#include "graniteseam/common/ids.h"
#include "testbed/virtual_fleet/event_queue.h"
#include "testbed/virtual_fleet/random_source.h"
#include "testbed/virtual_fleet/virtual_router.h"

namespace graniteseam::testbed {

/// One request as its caller saw it.
struct CallerRecord {
  Instant sent{};
  Duration latency{};
  CallerOutcome outcome = CallerOutcome::kUnknown;
};

/// The records of one group in one span of time.
struct CallerSummary {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::vector<double> answered_ms;  ///< Latencies of the answered ones.

  double AnsweredFraction() const;
};

/// Sends each group's requests as a Poisson process, to each router in turn. Not thread safe.
class LoadGenerator {
 public:
  LoadGenerator(EventQueue& events, std::vector<VirtualRouter*> routers, Duration deadline,
                std::uint64_t seed);

  /// Sets the rate of a group's requests from now on; 0 stops it.
  void SetRate(const GroupName& group, double requests_per_second);

  /// Requests sent in [from, until). Those still under way count as not answered.
  CallerSummary Summarise(const GroupName& group, Instant from, Instant until) const;
  /// The same over all groups.
  CallerSummary SummariseAll(Instant from, Instant until) const;

 private:
  struct Stream {
    double rate = 0;
    std::uint64_t generation = 0;  ///< Changes with the rate, so that old timers end.
    std::vector<CallerRecord> records;
  };

  void ScheduleNext(const GroupName& group, std::uint64_t generation);
  void Send(const GroupName& group);
  static void AddTo(CallerSummary& summary, const Stream& stream, Instant from, Instant until);

  EventQueue& events_;
  std::vector<VirtualRouter*> routers_;
  Duration deadline_;
  RandomSource random_;
  std::size_t next_router_ = 0;
  std::map<GroupName, Stream> streams_;
};

}  // namespace graniteseam::testbed
