#include "src/http/request_driver.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/runtime/clock.h"

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
      node_(options_.node, options_.seed, runtime::BootTimeNow()) {}

RequestDriver::~RequestDriver() { Stop(); }

void RequestDriver::Start() {
  ticker_ = std::thread([this] { TickUntilStopped(); });
}

void RequestDriver::Stop() {
  {
    const std::lock_guard lock(tick_mutex_);
    stopping_ = true;
  }
  tick_wake_.notify_all();
  if (ticker_.joinable()) ticker_.join();
  hedge_threads_->shutdown();
}

void RequestDriver::RunEvent(Event event) {
  auto* const pending = new Pending{std::move(event), pending_.load(std::memory_order_relaxed)};
  while (!pending_.compare_exchange_weak(pending->next, pending)) {
  }
  RunPending();
}

void RequestDriver::RunPending() {
  // Either we get the lock, or its holder sees our event: it looks at the list after it unlocked,
  // and we look at the lock after we queued. The fences keep both in this order.
  std::atomic_thread_fence(std::memory_order_seq_cst);
  while (pending_.load() != nullptr && node_mutex_.try_lock()) {
    Pending* newest_first = pending_.exchange(nullptr);
    Pending* events = nullptr;
    while (newest_first != nullptr) {
      Pending* const next = newest_first->next;
      newest_first->next = events;
      events = newest_first;
      newest_first = next;
    }
    std::vector<routing::RouterEffects> effects;
    for (const Pending* pending = events; pending != nullptr; pending = pending->next) {
      // Read under the lock, so that the node's time never goes back.
      effects.push_back(pending->event(node_, runtime::BootTimeNow()));
      // Before anyone can cancel them.
      for (const routing::AttemptSend& send : effects.back().sends)
        upstream_.Announce(send.attempt);
    }
    const std::int64_t next_tick = ToMicros(node_.NextTick());
    node_mutex_.unlock();
    if (next_tick < tick_at_us_.exchange(next_tick)) {
      const std::lock_guard lock(tick_mutex_);
      tick_wake_.notify_one();
    }
    for (routing::RouterEffects& effect : effects) Deliver(std::move(effect));
    while (events != nullptr) delete std::exchange(events, events->next);
    std::atomic_thread_fence(std::memory_order_seq_cst);
  }
}

template <class Look>
auto RequestDriver::LookAt(Look&& look) {
  auto seen = [&] {
    const std::lock_guard lock(node_mutex_);
    return look(node_, runtime::BootTimeNow());
  }();
  RunPending();  // Whoever queued an event meanwhile relies on us.
  return seen;
}

void RequestDriver::Deliver(routing::RouterEffects effects) {
  for (control::RouterToControl& message : effects.control_messages) {
    send_to_control_(std::move(message));
  }
  for (const routing::AttemptNumber attempt : effects.cancels) upstream_.Cancel(attempt);
  for (routing::AttemptSend& send : effects.sends) {
    const routing::AttemptNumber attempt = send.attempt;
    const bool posted =
        Post(send.request, [&](Mailbox& mailbox) { mailbox.sends.push_back(std::move(send)); });
    if (!posted) upstream_.Forget(attempt);
  }
  for (routing::RequestAnswer& answer : effects.answers) {
    Post(answer.request, [&](Mailbox& mailbox) { mailbox.answer = std::move(answer); });
  }
}

bool RequestDriver::Post(routing::RequestNumber request,
                         const std::function<void(Mailbox&)>& change) {
  MailboxShard& shard = ShardOf(request);
  // Held throughout, so that the mailbox can not end under our hands.
  const std::lock_guard shard_lock(shard.mutex);
  const auto found = shard.mailboxes.find(request);
  if (found == shard.mailboxes.end()) return false;
  Mailbox& mailbox = *found->second;
  const std::lock_guard lock(mailbox.mutex);
  change(mailbox);
  mailbox.wake.notify_one();
  return true;
}

CallerReply RequestDriver::Handle(CallerMessage&& message) {
  const routing::RequestNumber number = message.request.number;
  Mailbox mailbox;
  MailboxShard& shard = ShardOf(number);
  {
    const std::lock_guard lock(shard.mutex);
    shard.mailboxes[number] = &mailbox;
  }
  RunEvent([&message](routing::RouterNode& node, Instant now) {
    return node.OnRequest(message.request, now);
  });
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
  // A hedge that the answer overtook.
  for (const routing::AttemptSend& send : mailbox.sends) upstream_.Forget(send.attempt);
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
  RunEvent(
      [result](routing::RouterNode& node, Instant now) { return node.OnAttemptEnd(result, now); });
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
  RunEvent([request](routing::RouterNode& node, Instant now) {
    return node.OnCallerGone(request, now);
  });
}

void RequestDriver::OnControlMessage(const control::ControlToRouter& message) {
  RunEvent([message](routing::RouterNode& node, Instant now) {
    return node.OnControlMessage(message, now);
  });
}

void RequestDriver::OnControlConnected() {
  RunEvent([](routing::RouterNode& node, Instant now) { return node.OnControlConnected(now); });
}

void RequestDriver::PrepareStop() {
  RunEvent([](routing::RouterNode& node, Instant now) { return node.PrepareStop(now); });
}

bool RequestDriver::Ready() {
  return LookAt([](const routing::RouterNode& node, Instant now) { return node.Ready(now); });
}

std::size_t RequestDriver::BodyBytesMaximum(const ServiceName& service) {
  return LookAt(
      [&](const routing::RouterNode& node, Instant) { return node.BodyBytesMaximum(service); });
}

routing::RouterStatus RequestDriver::Status() {
  return LookAt([](const routing::RouterNode& node, Instant now) { return node.Status(now); });
}

void RequestDriver::TickUntilStopped() {
  constexpr Duration kReapInterval{1'000'000};
  Instant reap_at = runtime::BootTimeNow();
  for (;;) {
    RunEvent([](routing::RouterNode& node, Instant now) { return node.Tick(now); });
    const Instant now = runtime::BootTimeNow();
    if (now >= reap_at) {
      upstream_.Reap(now);
      reap_at = now + kReapInterval;
    }
    std::unique_lock lock(tick_mutex_);
    // An event that moves the next tick forward ends the wait.
    const Duration wait = std::min(InstantFromMicros(tick_at_us_), now + kReapInterval) - now;
    if (wait > Duration{0} && !stopping_) tick_wake_.wait_for(lock, wait);
    if (stopping_) return;
  }
}

}  // namespace graniteseam::http
