#include <cstdio>

#include "simulation/simulator/users.h"

namespace graniteseam::simulation {

namespace {

constexpr Duration kIntervalMinimum{2'000};
constexpr Duration kIntervalMaximum{22'000};
constexpr Duration kDeadlineMinimum{100'000};
constexpr Duration kDeadlineMaximum{1'500'000};
constexpr Duration kPatience{300'000};
constexpr Duration kResendMinimum{20'000};
constexpr Duration kResendMaximum{1'500'000};
constexpr std::uint32_t kTries = 5;
constexpr double kResendsEarly = 0.05;
constexpr double kOtherZone = 0.2;
constexpr std::uint32_t kKeys = 40;
constexpr std::int64_t kWallStartMs = 1'780'000'000'000;

}  // namespace

void Callers::Start() { SendNext(); }

void Callers::SendNext() {
  const auto intent = std::make_shared<Intent>();
  static const char* const kServices[] = {kTranscripts, kShutOffs, kBilling};
  intent->service = kServices[world_.random.Below(3)];
  intent->zone = static_cast<std::uint32_t>(world_.random.Below(kZones));
  if (intent->service != kBilling) {
    intent->key = "key-" + std::to_string(world_.random.Below(kKeys));
  }
  if (intent->service != kTranscripts) intent->operation = NewOperation();
  Submit(intent);
  world_.queue.After(world_.random.Between(kIntervalMinimum, kIntervalMaximum),
                     [this] { SendNext(); });
}

std::string Callers::NewOperation() {
  const std::int64_t wall_ms = kWallStartMs + world_.now() / 1000;
  const auto time = static_cast<unsigned long long>(wall_ms);
  const std::uint64_t low = world_.random.Next();
  const std::uint64_t high = world_.random.Next();
  char text[64];
  std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-8%03llx-%012llx", time >> 16U,
                time & 0xffffU, static_cast<unsigned long long>(low & 0xfffU),
                static_cast<unsigned long long>((low >> 12U) & 0xfffU),
                static_cast<unsigned long long>(high & 0xffffffffffffULL));
  return text;
}

void Callers::Submit(const std::shared_ptr<Intent>& intent) {
  ++intent->tries;
  std::uint32_t zone = intent->zone;
  if (intent->tries > 1 || world_.random.Chance(kOtherZone)) {
    zone = static_cast<std::uint32_t>(world_.random.Below(kZones));
  }
  RouterProcess& router = *fleet_.routers[zone];
  Submission submission;
  submission.number = ++last_submission_;
  submission.service = intent->service;
  submission.key = intent->key;
  submission.operation = intent->operation;
  submission.deadline = world_.random.Between(kDeadlineMinimum, kDeadlineMaximum);
  world_.oracle.OnSubmission(submission.number, submission.operation);
  world_.Count("requests sent");
  const NodeName caller{NodeKind::kCaller, intent->zone};
  world_.SetZone(caller, intent->zone);
  const auto answered = std::make_shared<bool>(false);
  const auto reply = [this, intent, answered, caller, router_name = router.name(),
                      number = submission.number](const CallerAnswer& answer) {
    // The router's word is checked as it is given; the network may still lose it.
    world_.oracle.OnTold(number, answer.told, answer.content, world_.now());
    world_.SendOnce(router_name, caller, [this, intent, answered, answer] {
      if (*answered) return;
      *answered = true;
      OnAnswer(intent, answer);
    });
  };
  world_.SendOnce(caller, router.name(), [&router, submission, reply] {
    router.Deliver([&router, submission, reply] { router.Take(submission, reply); });
  });
  world_.queue.After(submission.deadline + kPatience, [this, intent, answered] {
    if (*answered) return;
    *answered = true;
    world_.Count("requests without an answer");
    ResendLater(intent);
  });
  if (!intent->operation.empty() && world_.random.Chance(kResendsEarly)) ResendLater(intent);
}

void Callers::OnAnswer(const std::shared_ptr<Intent>& intent, const CallerAnswer& answer) {
  static const char* const kTold[] = {"told answer", "told kept answer", "told not_run",
                                      "told outcome_unknown"};
  world_.Count(kTold[static_cast<std::size_t>(answer.told)]);
  if (answer.told == Told::kAnswer || answer.told == Told::kKept) {
    ++answered_;
    ++answered_by_[intent->service];
    intent->done = true;
    return;
  }
  ResendLater(intent);
}

void Callers::ResendLater(const std::shared_ptr<Intent>& intent) {
  world_.queue.After(world_.random.Between(kResendMinimum, kResendMaximum), [this, intent] {
    if (intent->done || intent->tries >= kTries) return;
    world_.Count("requests resent");
    Submit(intent);
  });
}

}  // namespace graniteseam::simulation
