/// @file
/// Drives the router's decision maker with real requests, servers and time.
#pragma once

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "graniteseam/routing/router_node.h"
#include "src/http/caller_messages.h"
#include "src/http/connection_threads.h"
#include "src/http/upstream_client.h"

namespace graniteseam::http {

struct RequestDriverOptions {
  routing::RouterNodeOptions node;
  UpstreamOptions upstream;
  std::uint64_t seed = 0;                   ///< Random; differs at each start.
  std::size_t hedge_threads_maximum = 512;  ///< Attempts of hedged services run on these.
};

/// Joins callers' threads, RouterNode and UpstreamClient.
///
/// Nobody waits for the node's lock: events are queued, and whoever gets the lock runs all that are
/// there (flat combining, Hendler and others 2010). With a plain lock, one holder that loses its
/// processor sends all others to sleep, and they come back one after the other.
/// Each caller's thread makes its own attempts, so that a plain request crosses no other thread.
/// Effects that concern another request go to that request's mailbox. Only services with hedging
/// run their attempts on threads of their own.
/// Thread safe. Lifecycle: Start(), then requests; Stop() after the last one ended.
class RequestDriver {
 public:
  using SendToControl = std::function<void(control::RouterToControl)>;
  /// Sees each attempt's end, for metrics.
  using AttemptObserver = std::function<void(routing::AttemptEnd)>;

  RequestDriver(RequestDriverOptions options, SendToControl send_to_control,
                AttemptObserver attempt_observer = {});
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  void Start();
  void Stop();

  /// Takes a caller's request to its answer; blocks.
  CallerReply Handle(CallerMessage&& message);
  void OnCallerGone(routing::RequestNumber request);
  void OnControlMessage(const control::ControlToRouter& message);
  void OnControlConnected();
  void PrepareStop();

  bool Ready();
  std::size_t BodyBytesMaximum(const ServiceName& service);
  routing::RouterStatus Status();
  /// Attempts announced and not ended; 0 when nothing is in flight.
  std::size_t attempts() { return upstream_.attempts(); }
  std::size_t idle_connections() const { return upstream_.idle_connections(); }

 private:
  struct Mailbox;
  struct MailboxShard {
    std::mutex mutex;
    std::unordered_map<routing::RequestNumber, Mailbox*> mailboxes;  ///< Guarded by mutex.
  };
  static constexpr std::size_t kShards = 64;

  using Event = std::function<routing::RouterEffects(routing::RouterNode&, Instant)>;
  /// One event in the list of those not yet run.
  struct Pending {
    Event event;
    Pending* next = nullptr;
  };

  /// Queues an event; it is run before the call ends, or by the thread that has the lock.
  void RunEvent(Event event);
  /// Runs queued events while there are any, unless another thread does.
  void RunPending();
  /// Looks at the node under its lock.
  template <class Look>
  auto LookAt(Look&& look);
  void Deliver(routing::RouterEffects effects);
  MailboxShard& ShardOf(routing::RequestNumber request) { return shards_[request % kShards]; }
  /// @return false when the request ended.
  bool Post(routing::RequestNumber request, const std::function<void(Mailbox&)>& change);
  void MakeAttempt(const routing::AttemptSend& send, Mailbox& mailbox,
                   const ForwardedRequest& forwarded);
  CallerReply ReplyFor(const routing::RequestAnswer& answer, Mailbox& mailbox) const;
  void TickUntilStopped();

  RequestDriverOptions options_;
  SendToControl send_to_control_;
  AttemptObserver attempt_observer_;
  UpstreamClient upstream_;
  std::array<MailboxShard, kShards> shards_;
  std::unique_ptr<ConnectionThreads> hedge_threads_;

  std::atomic<Pending*> pending_{nullptr};  ///< Newest first.
  std::mutex node_mutex_;
  routing::RouterNode node_;  ///< Guarded by node_mutex_.

  std::atomic<std::int64_t> tick_at_us_{0};
  std::mutex tick_mutex_;
  std::condition_variable tick_wake_;
  bool stopping_ = false;  ///< Guarded by tick_mutex_.

  std::thread ticker_;
};

}  // namespace graniteseam::http
