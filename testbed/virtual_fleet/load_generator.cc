#include "testbed/virtual_fleet/load_generator.h"

#include <cmath>
#include <utility>

namespace graniteseam::testbed {

double CallerSummary::AnsweredFraction() const {
  return offered == 0 ? 0.0 : static_cast<double>(answered) / static_cast<double>(offered);
}

LoadGenerator::LoadGenerator(EventQueue& events, std::vector<VirtualRouter*> routers,
                             Duration deadline, std::uint64_t seed)
    : events_(events), routers_(std::move(routers)), deadline_(deadline), random_(seed) {}

void LoadGenerator::SetRate(const GroupName& group, double requests_per_second) {
  Stream& stream = streams_[group];
  stream.rate = requests_per_second;
  ++stream.generation;
  ScheduleNext(group, stream.generation);
}

void LoadGenerator::ScheduleNext(const GroupName& group, std::uint64_t generation) {
  const Stream& stream = streams_.at(group);
  if (stream.rate <= 0.0 || stream.generation != generation) return;
  constexpr double kMicrosPerSecond = 1e6;
  const Duration mean(std::llround(kMicrosPerSecond / stream.rate));
  events_.After(random_.Exponential(mean), [this, group, generation] {
    if (streams_.at(group).generation != generation) return;
    Send(group);
    ScheduleNext(group, generation);
  });
}

void LoadGenerator::Send(const GroupName& group) {
  Stream& stream = streams_.at(group);
  const std::size_t index = stream.records.size();
  stream.records.push_back({events_.now(), Duration{}, CallerOutcome::kUnknown});
  const VirtualRequest request{group, events_.now(), events_.now() + deadline_};
  VirtualRouter* router = routers_[next_router_++ % routers_.size()];
  router->Submit(request, [this, &stream, index](CallerOutcome outcome) {
    CallerRecord& record = stream.records[index];
    record.latency = events_.now() - record.sent;
    record.outcome = outcome;
  });
}

void LoadGenerator::AddTo(CallerSummary& summary, const Stream& stream, Instant from,
                          Instant until) {
  for (const CallerRecord& record : stream.records) {
    if (record.sent < from || record.sent >= until) continue;
    ++summary.offered;
    if (record.outcome != CallerOutcome::kAnswered) continue;
    ++summary.answered;
    const std::chrono::duration<double, std::milli> latency = record.latency;
    summary.answered_ms.push_back(latency.count());
  }
}

CallerSummary LoadGenerator::Summarise(const GroupName& group, Instant from, Instant until) const {
  CallerSummary summary;
  const auto found = streams_.find(group);
  if (found != streams_.end()) AddTo(summary, found->second, from, until);
  return summary;
}

CallerSummary LoadGenerator::SummariseAll(Instant from, Instant until) const {
  CallerSummary summary;
  for (const auto& [group, stream] : streams_) AddTo(summary, stream, from, until);
  return summary;
}

}  // namespace graniteseam::testbed
