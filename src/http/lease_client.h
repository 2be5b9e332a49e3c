/// @file
/// Carries lease messages to servers: one connection and at most one call at a time per server, all
/// on one event loop.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "graniteseam/lease/grant.h"
#include "src/http/tls.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/metrics.h"

namespace graniteseam::http {

struct LeaseClientOptions {
  /// A call that is older than this gives way to a newer message to the same server. Without a
  /// newer one it is waited for: a late answer still carries a reading.
  Duration call_limit{100'000};
  /// Every call ends after this.
  Duration call_maximum{2'000'000};
  /// Servers without a message for so long are hung up on.
  Duration forget_after{60'000'000};
  std::shared_ptr<TlsContext> tls;  ///< Null for plain HTTP, which only loopback addresses get.
};

/// While a call is under way, the newest message to that server waits and replaces one that waited:
/// the leader sends anew what was not answered. Answers of messages given up are never delivered.
///
/// Lifecycle: stop the event loop before destruction. Send() is thread safe; the handler runs on
/// the event loop's thread.
class LeaseClient {
 public:
  using AnswerHandler = std::function<void(const lease::LeaseAnswer& answer)>;

  LeaseClient(LeaseClientOptions options, runtime::EventLoop& loop,
              runtime::MetricsRegistry& metrics, AnswerHandler on_answer);
  ~LeaseClient();
  LeaseClient(const LeaseClient&) = delete;
  LeaseClient& operator=(const LeaseClient&) = delete;

  /// @param address the server's HTTP "ip:port".
  void Send(std::string address, lease::LeaseRequest request);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::http
