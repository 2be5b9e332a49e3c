#include <algorithm>

#include "testbed/virtual_fleet/virtual_router.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kAttemptTime{500'000};
constexpr Duration kPause{50'000};

}  // namespace

SimpleRouter::SimpleRouter(EventQueue& events, VirtualPool& pool, std::uint64_t seed)
    : events_(events), pool_(pool), random_(seed) {}

void SimpleRouter::Submit(const VirtualRequest& request, DoneHandler done) {
  TryAgain(request, done);
}

void SimpleRouter::TryAgain(const VirtualRequest& request, const DoneHandler& done) {
  const Instant give_up_at = std::min(request.deadline, events_.now() + kAttemptTime);
  const auto ended = [this, request, done](ServerReply reply) {
    if (reply == ServerReply::kAnswered) {
      done(CallerOutcome::kAnswered);
    } else if (events_.now() + kPause < request.deadline) {
      events_.After(kPause, [this, request, done] { TryAgain(request, done); });
    } else {
      const bool ran = reply == ServerReply::kFailed || reply == ServerReply::kTimeout;
      done(ran ? CallerOutcome::kUnknown : CallerOutcome::kNotRun);
    }
  };
  pool_.Attempt(random_.Index(pool_.size()), request.deadline, give_up_at, ended);
}

}  // namespace graniteseam::testbed
