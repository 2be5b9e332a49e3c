#include "testbed/virtual_fleet/shipped_routers.h"

#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "graniteseam/routing/router_node.h"
#include "testbed/virtual_fleet/virtual_control.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kControlDelay{500};  // One way.
constexpr int kStatusGood = 200;
constexpr int kStatusFailed = 500;
constexpr int kStatusTooMany = 429;
constexpr int kStatusDeadline = 504;

routing::AttemptResult ResultOf(const routing::AttemptSend& send, ServerReply reply) {
  routing::AttemptResult result;
  result.request = send.request;
  result.attempt = send.attempt;
  switch (reply) {
    case ServerReply::kAnswered:
      result.end = routing::AttemptEnd::kAnswered;
      result.status = kStatusGood;
      break;
    case ServerReply::kFailed:
      result.end = routing::AttemptEnd::kAnswered;
      result.status = kStatusFailed;
      break;
    case ServerReply::kShed:
      result.end = routing::AttemptEnd::kShed;
      result.status = kStatusTooMany;
      break;
    case ServerReply::kDeadlinePassed:
      result.end = routing::AttemptEnd::kDeadlinePassed;
      result.status = kStatusDeadline;
      break;
    case ServerReply::kTimeout:
      result.end = routing::AttemptEnd::kBroken;
      break;
  }
  return result;
}

/// Drives one RouterNode: its timers, its connection to control, its attempts.
class ShippedRouter : public VirtualRouter {
 public:
  ShippedRouter(EventQueue& events, VirtualPool& pool, std::shared_ptr<VirtualControl> control,
                const std::string& name, std::uint64_t seed)
      : events_(events),
        pool_(pool),
        control_(std::move(control)),
        node_(Options(name), seed, events.now()) {
    Carry(node_.OnControlConnected(events_.now()));
  }

  void Submit(const VirtualRequest& request, DoneHandler done) override {
    const routing::RequestNumber number = ++last_request_;
    live_[number] = {std::move(done), request.deadline};
    routing::CallerRequest asked;
    asked.number = number;
    asked.service = pool_.settings().service;
    asked.group = request.group;
    asked.deadline = request.deadline - events_.now();
    Carry(node_.OnRequest(asked, events_.now()));
  }

 private:
  struct LiveRequest {
    DoneHandler done;
    Instant deadline;
  };

  static routing::RouterNodeOptions Options(const std::string& name) {
    routing::RouterNodeOptions options;
    options.router = RouterId{name};
    options.zone = ZoneName{"zone"};
    return options;
  }

  void Carry(const routing::RouterEffects& effects) {
    for (const auto& message : effects.control_messages) ToControl(message);
    for (const auto& attempt : effects.cancels) attempts_.erase(attempt);
    for (const auto& send : effects.sends) Send(send);
    for (const auto& answer : effects.answers) Finish(answer);
    ScheduleTick();
  }

  void ToControl(const control::RouterToControl& message) {
    const auto* renewal = std::get_if<control::RouterRenewal>(&message);
    if (renewal == nullptr) return;  // Repeatable services have nothing for the journal.
    events_.After(kControlDelay, [this, renewal = *renewal] {
      events_.After(kControlDelay, [this, answer = control_->Answer(renewal)] {
        Carry(node_.OnControlMessage(answer, events_.now()));
      });
    });
  }

  void Send(const routing::AttemptSend& send) {
    attempts_[send.attempt] = ServerReply::kTimeout;
    const Instant deadline = live_.at(send.request).deadline;
    pool_.Attempt(pool_.IndexOf(send.server), deadline, send.give_up_at,
                  [this, send](ServerReply reply) { OnReply(send, reply); });
  }

  void OnReply(const routing::AttemptSend& send, ServerReply reply) {
    const auto attempt = attempts_.find(send.attempt);
    if (attempt == attempts_.end()) return;  // Cancelled: its connection was closed.
    attempt->second = reply;
    Carry(node_.OnAttemptEnd(ResultOf(send, reply), events_.now()));
    attempts_.erase(send.attempt);
  }

  void Finish(const routing::RequestAnswer& answer) {
    auto request = live_.extract(answer.request);
    if (request) request.mapped().done(OutcomeOf(answer));
  }

  CallerOutcome OutcomeOf(const routing::RequestAnswer& answer) const {
    switch (answer.outcome) {
      case routing::RequestOutcome::kNotRun:
        return CallerOutcome::kNotRun;
      case routing::RequestOutcome::kOutcomeUnknown:
        return CallerOutcome::kUnknown;
      case routing::RequestOutcome::kAnswered:
      case routing::RequestOutcome::kKept:
        break;
    }
    const auto attempt = attempts_.find(answer.attempt);
    const bool failed = attempt != attempts_.end() && attempt->second == ServerReply::kFailed;
    return failed ? CallerOutcome::kFailed : CallerOutcome::kAnswered;
  }

  void ScheduleTick() {
    const Instant due = node_.NextTick();
    if (tick_at_ > events_.now() && tick_at_ <= due) return;
    tick_at_ = std::max(due, events_.now() + Duration{1});
    events_.At(tick_at_, [this, at = tick_at_] {
      if (at == tick_at_) Carry(node_.Tick(events_.now()));
    });
  }

  EventQueue& events_;
  VirtualPool& pool_;
  std::shared_ptr<VirtualControl> control_;
  routing::RouterNode node_;
  routing::RequestNumber last_request_ = 0;
  std::unordered_map<routing::RequestNumber, LiveRequest> live_;
  /// Attempts in flight and, while one's end is carried out, its reply.
  std::unordered_map<routing::AttemptNumber, ServerReply> attempts_;
  Instant tick_at_{};
};

}  // namespace

std::vector<std::unique_ptr<VirtualRouter>> MakeShippedRouters(EventQueue& events,
                                                               VirtualPool& pool,
                                                               const PoolFleetSettings& settings) {
  auto control = std::make_shared<VirtualControl>(events, pool, settings.groups);
  std::vector<std::unique_ptr<VirtualRouter>> routers;
  for (std::uint32_t index = 0; index < settings.routers; ++index) {
    routers.push_back(std::make_unique<ShippedRouter>(
        events, pool, control, "router-" + std::to_string(index), settings.seed + 1'000 + index));
  }
  return routers;
}

}  // namespace graniteseam::testbed
