#include "testbed/virtual_fleet/virtual_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace graniteseam::testbed {

VirtualServer::VirtualServer(EventQueue& events, ServerSettings settings, std::uint64_t seed)
    : events_(events), settings_(settings), random_(seed) {}

void VirtualServer::Take(Instant deadline, ReplyHandler handler) {
  ++taken_;
  if (conduct_.sheds || waiting_.size() >= settings_.queue_maximum) {
    handler(ServerReply::kShed);
    return;
  }
  waiting_.push_back({deadline, std::move(handler)});
  StartNext();
}

double VirtualServer::ReportedLoad() const {
  if (conduct_.claimed_load) return *conduct_.claimed_load;
  const double work = busy_ + static_cast<double>(waiting_.size());
  return std::min(1.0, work / settings_.slots);
}

void VirtualServer::StartNext() {
  while (busy_ < settings_.slots && !waiting_.empty()) {
    Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    if (next.deadline <= events_.now()) {
      next.handler(ServerReply::kDeadlinePassed);
    } else {
      Start(std::move(next));
    }
  }
}

void VirtualServer::Start(Waiting work) {
  ++busy_;
  const double mean = static_cast<double>(settings_.mean_work.count()) * conduct_.slowdown;
  const Duration duration = random_.Exponential(Duration(std::llround(mean)));
  events_.After(duration, [this, handler = std::move(work.handler)] { Finish(handler); });
}

void VirtualServer::Finish(const ReplyHandler& handler) {
  --busy_;
  const bool failed = random_.Chance(conduct_.failure_fraction);
  if (!failed) ++answered_;
  handler(failed ? ServerReply::kFailed : ServerReply::kAnswered);
  StartNext();
}

}  // namespace graniteseam::testbed
