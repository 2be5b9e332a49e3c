#include "src/http/request_driver.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "src/platform/clock.h"

namespace graniteseam::http {

namespace {

control::KeptAnswer KeptFrom(const UpstreamAnswer& answer) {
  control::KeptAnswer kept;
  kept.status = answer.result.status;
  for (const auto& [name, value] : answer.headers) {
    if (name == "Content-Type") kept.content_type = value;
  }
  kept.body = answer.body;
  return kept;
}

}  // namespace

/// What a caller's thread waits for. Lives on that thread's stack; others reach it by its number,
/// under the shard's lock.
struct RequestDriver::Mailbox {
  std::mutex mutex;
  std::condition_variable wake;
  // Guarded by mutex:
  std::deque<routing::AttemptSend> sends;
  std::optional<routing::RequestAnswer> answer;
  std::map<routing::AttemptNumber, UpstreamAnswer> answers;
  std::size_t attempts_running = 0;  ///< On threads of hedging, which use the caller's request.
};

RequestDriver::RequestDriver(RequestDriverOptions options, SendToControl send_to_control,
                             AttemptObserver attempt_observer)
    : options_(std::move(options)),
      send_to_control_(std::move(send_to_control)),
      attempt_observer_(std::move(attempt_observer)),
      upstream_(options_.upstream),
      hedge_threads_(std::make_unique<ConnectionThreads>(options_.hedge_threads_maximum)),
      node_(options_.node, options_.seed, platform::BootTimeNow()) {}

RequestDriver::~RequestDriver() { Stop(); }

void RequestDriver::Start() {
  ticker_ = std::thread([this] { TickUntilStopped(); });
}

void RequestDriver::Stop() {
  {
    const std::lock_guard lock(node_mutex_);
    stopping_ = true;
  }
  tick_wake_.notify_all();
  if (ticker_.joinable()) ticker_.join();
  hedge_threads_->shutdown();
}

std::unique_lock<std::mutex> RequestDriver::LockNode() {
  // Events take a few microseconds, less than going to sleep and being woken.
  constexpr int kTries = 200;
  for (int tries = 0; tries < kTries; ++tries) {
    std::unique_lock lock(node_mutex_, std::try_to_lock);
    if (lock) return lock;
    for (int pause = 0; pause < 10; ++pause) __builtin_ia32_pause();
  }
  return std::unique_lock(node_mutex_);
}

template <class Event>
void RequestDriver::RunEvent(Event&& event) {
  routing::RouterEffects effects;
  bool wake = false;
  {
    const std::unique_lock lock = LockNode();
    // Read under the lock, so that the node's time never goes back.
    effects = event(platform::BootTimeNow());
    // Before anyone can cancel them.
    for (const routing::AttemptSend& send : effects.sends) upstream_.Announce(send.attempt);
    const Instant next = node_.NextTick();
    wake = next < tick_at_;
    if (wake) tick_at_ = next;
  }
  if (wake) tick_wake_.notify_one();
  Deliver(std::move(effects));
}

void RequestDriver::Deliver(routing::RouterEffects effects) {
  for (control::RouterToControl& message : effects.control_messages) {
    send_to_control_(std::move(message));
  }
  for (const routing::AttemptNumber attempt : effects.cancels) upstream_.Cancel(attempt);
  for (routing::AttemptSend& send : effects.sends) {
    Post(send.request, [&](Mailbox& mailbox) { mailbox.sends.push_back(std::move(send)); });
  }
  for (routing::RequestAnswer& answer : effects.answers) {
    Post(answer.request, [&](Mailbox& mailbox) { mailbox.answer = std::move(answer); });
  }
}

void RequestDriver::Post(routing::RequestNumber request,
                         const std::function<void(Mailbox&)>& change) {
  MailboxShard& shard = ShardOf(request);
  // Held throughout, so that the mailbox can not end under our hands.
  const std::lock_guard shard_lock(shard.mutex);
  const auto found = shard.mailboxes.find(request);
  if (found == shard.mailboxes.end()) return;
  Mailbox& mailbox = *found->second;
  const std::lock_guard lock(mailbox.mutex);
  change(mailbox);
  mailbox.wake.notify_one();
}

CallerReply RequestDriver::Handle(CallerMessage&& message) {
  const routing::RequestNumber number = message.request.number;
  Mailbox mailbox;
  MailboxShard& shard = ShardOf(number);
  {
    const std::lock_guard lock(shard.mutex);
    shard.mailboxes[number] = &mailbox;
  }
  RunEvent([&](Instant now) { return node_.OnRequest(message.request, now); });
  std::unique_lock lock(mailbox.mutex);
  while (!mailbox.answer) {
    mailbox.wake.wait(lock, [&] { return mailbox.answer || !mailbox.sends.empty(); });
    if (mailbox.answer) break;
    const routing::AttemptSend send = std::move(mailbox.sends.front());
    mailbox.sends.pop_front();
    if (send.hedged) {
      ++mailbox.attempts_running;
      lock.unlock();
      hedge_threads_->enqueue([this, send, &mailbox, &message] {
        MakeAttempt(send, mailbox, message.forwarded);
        const std::lock_guard done(mailbox.mutex);
        --mailbox.attempts_running;
        mailbox.wake.notify_one();
      });
    } else {
      lock.unlock();
      MakeAttempt(send, mailbox, message.forwarded);
    }
    lock.lock();
  }
  // Cancelled attempts end at once; until then they use this stack.
  mailbox.wake.wait(lock, [&] { return mailbox.attempts_running == 0; });
  lock.unlock();
  {
    const std::lock_guard shard_lock(shard.mutex);
    shard.mailboxes.erase(number);
  }
  return ReplyFor(*mailbox.answer, mailbox);
}

void RequestDriver::MakeAttempt(const routing::AttemptSend& send, Mailbox& mailbox,
                                const ForwardedRequest& forwarded) {
  UpstreamAnswer answer = upstream_.Run(send, forwarded);
  if (send.keep_answer && answer.result.end == routing::AttemptEnd::kAnswered &&
      answer.body.size() <= control::kKeptBodyBytesMaximum) {
    answer.result.answer = KeptFrom(answer);
  }
  if (attempt_observer_) attempt_observer_(answer.result.end);
  const routing::AttemptResult result = answer.result;
  if (result.end == routing::AttemptEnd::kAnswered) {
    const std::lock_guard lock(mailbox.mutex);
    mailbox.answers[send.attempt] = std::move(answer);
  }
  RunEvent([&](Instant now) { return node_.OnAttemptEnd(result, now); });
}

CallerReply RequestDriver::ReplyFor(const routing::RequestAnswer& answer, Mailbox& mailbox) const {
  CallerReply reply;
  reply.outcome = answer.outcome;
  if (answer.outcome == routing::RequestOutcome::kAnswered) {
    UpstreamAnswer& counted = mailbox.answers.at(answer.attempt);
    reply.status = counted.result.status;
    reply.headers = std::move(counted.headers);
    reply.body = std::move(counted.body);
    return reply;
  }
  if (answer.outcome == routing::RequestOutcome::kKept) {
    reply.status = answer.kept->status;
    reply.content_type = answer.kept->content_type;
    reply.body = answer.kept->body;
    return reply;
  }
  return ProblemReply(answer.status, answer.error, answer.outcome, answer.retry_after);
}

void RequestDriver::OnCallerGone(routing::RequestNumber request) {
  RunEvent([&](Instant now) { return node_.OnCallerGone(request, now); });
}

void RequestDriver::OnControlMessage(const control::ControlToRouter& message) {
  RunEvent([&](Instant now) { return node_.OnControlMessage(message, now); });
}

void RequestDriver::OnControlConnected() {
  RunEvent([&](Instant now) { return node_.OnControlConnected(now); });
}

void RequestDriver::PrepareStop() {
  RunEvent([&](Instant now) { return node_.PrepareStop(now); });
}

bool RequestDriver::Ready() {
  const std::lock_guard lock(node_mutex_);
  return node_.Ready(platform::BootTimeNow());
}

std::size_t RequestDriver::BodyBytesMaximum(const ServiceName& service) {
  const std::lock_guard lock(node_mutex_);
  return node_.BodyBytesMaximum(service);
}

routing::RouterStatus RequestDriver::Status() {
  const std::lock_guard lock(node_mutex_);
  return node_.Status(platform::BootTimeNow());
}

void RequestDriver::TickUntilStopped() {
  constexpr Duration kReapInterval{1'000'000};
  Instant reap_at = platform::BootTimeNow();
  for (;;) {
    {
      std::unique_lock lock(node_mutex_);
      if (stopping_) return;
      const Instant now = platform::BootTimeNow();
      tick_at_ = std::min(node_.NextTick(), now + kReapInterval);
      // A wait for a tick that an event moved forward ends early and is computed anew.
      if (tick_at_ > now) tick_wake_.wait_for(lock, tick_at_ - now);
      if (stopping_) return;
    }
    RunEvent([&](Instant now) { return node_.Tick(now); });
    const Instant now = platform::BootTimeNow();
    if (now >= reap_at) {
      upstream_.Reap(now);
      reap_at = now + kReapInterval;
    }
  }
}

}  // namespace graniteseam::http
