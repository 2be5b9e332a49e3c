#include "simulation/simulator/router_process.h"

#include <algorithm>
#include <utility>

namespace graniteseam::simulation {

namespace {

constexpr Duration kSilenceLimit{250'000};
constexpr Duration kTrackerInterval{50'000};

}  // namespace

RouterProcess::RouterProcess(World& world, RouterPorts& ports, std::uint32_t number,
                             std::uint32_t zone, std::vector<std::string> control_addresses)
    : Process(world, {NodeKind::kRouter, number}, zone),
      ports_(ports),
      control_addresses_(std::move(control_addresses)) {}

void RouterProcess::OnStart() {
  routing::RouterNodeOptions options;
  options.router = RouterId{ToString(name())};
  options.zone = ZoneName{"zone-" + std::to_string(world_.ZoneOf(name()))};
  node_ = std::make_unique<routing::RouterNode>(options, world_.random.Next(), Now());
  tracker_ = std::make_unique<protocol::LeaderTracker>(control_addresses_, kSilenceLimit);
  tracker_due_ = Now();
  waiting_.clear();
  attempts_.clear();
  contents_.clear();
}

void RouterProcess::OnKill() {
  node_.reset();
  tracker_.reset();
  waiting_.clear();
  attempts_.clear();
  contents_.clear();
}

Instant RouterProcess::NextTick() const {
  return std::min(std::max(node_->NextTick(), Instant{}), tracker_due_);
}

void RouterProcess::OnTick() {
  if (tracker_due_ <= Now()) {
    tracker_due_ = Now() + kTrackerInterval;
    Transmit(tracker_->Tick(Now()));
  }
  if (node_->NextTick() <= Now()) TakeEffects(node_->Tick(Now()));
}

void RouterProcess::OnControlConnected(const std::string& address) {
  Transmit(tracker_->OnConnected(address, Now()));
  TakeEffects(node_->OnControlConnected(Now()));
}

void RouterProcess::OnControlDisconnected(const std::string& address) {
  Transmit(tracker_->OnDisconnected(address, Now()));
}

void RouterProcess::OnControlMessage(const std::string& address,
                                     const control::ControlToRouter& message) {
  if (const auto* not_leader = std::get_if<control::NotLeaderAnswer>(&message)) {
    Transmit(tracker_->OnNotLeader(address, *not_leader, Now()));
    return;
  }
  tracker_->OnAnswered(address, message, Now());
  TakeEffects(node_->OnControlMessage(message, Now()));
}

void RouterProcess::PrepareStop() { TakeEffects(node_->PrepareStop(Now())); }

void RouterProcess::Transmit(const std::vector<protocol::LeaderSend>& sends) {
  for (const auto& send : sends) ports_.SendToControl(*this, send.address, send.message);
}

void RouterProcess::Take(const Submission& submission, const CallerReply& reply) {
  waiting_[submission.number] = {submission, reply};
  routing::CallerRequest request;
  request.number = submission.number;
  request.service = ServiceName{submission.service};
  request.group = GroupName{"group-a"};
  if (!submission.key.empty()) request.key = submission.key;
  request.deadline = submission.deadline;
  if (!submission.operation.empty()) request.operation = OperationId{submission.operation};
  request.request_digest = submission.operation;
  TakeEffects(node_->OnRequest(request, Now()));
}

void RouterProcess::TakeEffects(const routing::RouterEffects& effects) {
  for (const auto& message : effects.control_messages) Transmit(tracker_->OnSend(message, Now()));
  for (const auto& send : effects.sends) Send(send);
  for (const auto attempt : effects.cancels) attempts_.erase(attempt);
  for (const auto& answer : effects.answers) Answer(answer);
}

void RouterProcess::Send(const routing::AttemptSend& send) {
  const auto waiting = waiting_.find(send.request);
  if (waiting == waiting_.end()) {
    world_.oracle.Violate(world_.now(), ToString(name()) + " sends a request that has ended");
    return;
  }
  const Submission& submission = waiting->second.submission;
  world_.oracle.OnWorkSent(send.server.value, world_.now());
  world_.oracle.OnTraffic(ToString(name()) + " start " + std::to_string(starts()), bundle_version(),
                          world_.now());
  attempts_[send.attempt] = {send.request, send.keep_answer};
  ServerRequest request;
  request.submission = submission.number;
  request.operation = submission.operation;
  request.service = submission.service;
  request.shard = send.shard;
  request.epoch = send.epoch.value;
  request.time_left = send.give_up_at - Now();
  const std::uint64_t attempt = send.attempt;
  const auto answer = [this, attempt](const ServerAnswer& given) { OnAnswer(attempt, given); };
  world_.queue.At(std::max(world_.now() + 1, clock().When(send.give_up_at)),
                  [this, answer, start = starts()] {
                    if (starts() != start) return;
                    Deliver([answer] { answer({routing::AttemptEnd::kBroken, {}}); });
                  });
  ports_.SendToServer(*this, send.address, request, answer);
}

void RouterProcess::OnAnswer(std::uint64_t attempt, const ServerAnswer& answer) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return;  // Cancelled, or ended: its connection is closed.
  const Attempted attempted = found->second;
  attempts_.erase(found);
  routing::AttemptResult result;
  result.request = attempted.request;
  result.attempt = attempt;
  result.end = answer.end;
  if (answer.end == routing::AttemptEnd::kAnswered) {
    result.status = 200;
    contents_[attempt] = answer.content;
    if (attempted.keep_answer) result.answer = {200, "text/plain", answer.content};
  }
  TakeEffects(node_->OnAttemptEnd(result, Now()));
  contents_.erase(attempt);
}

void RouterProcess::Answer(const routing::RequestAnswer& answer) {
  const auto found = waiting_.find(answer.request);
  if (found == waiting_.end()) return;
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  CallerAnswer told;
  switch (answer.outcome) {
    case routing::RequestOutcome::kAnswered:
      told = {Told::kAnswer, contents_[answer.attempt]};
      break;
    case routing::RequestOutcome::kKept:
      told = {Told::kKept, answer.kept->body};
      break;
    case routing::RequestOutcome::kNotRun:
      told.told = Told::kNotRun;
      break;
    case routing::RequestOutcome::kOutcomeUnknown:
      told.told = Told::kUnknown;
      break;
  }
  waiting.reply(told);
}

}  // namespace graniteseam::simulation
