/// @file
/// Carries range orders to the instances that own keys.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "graniteseam/control/range_orders.h"
#include "src/daemon/control/owner_calls.h"
#include "src/event_http/client_pool.h"
#include "src/runtime/event_log.h"
#include "src/runtime/event_loop.h"

namespace graniteseam::daemon {

/// Lifecycle: stop the event loop before destruction. Send() is thread safe; the handler runs on
/// the event loop's thread, once for each order.
class OwnerClient {
 public:
  using Handler = std::function<void(const control::RangeOrderResult& result)>;

  OwnerClient(OwnerCallNames names, runtime::EventLoop& loop, runtime::EventLog& events,
              Handler handler);

  void Send(control::RangeOrder order);

 private:
  void Start(const control::RangeOrder& order);
  void OnEnd(const control::RangeOrder& order, Instant sent, const event_http::CallResult& result);
  /// What an answer proves. Answers name no order: on a kept connection, a second answer to an
  /// earlier order may come in the place of this one's.
  control::RangeOrderResult::Outcome ProvenOutcome(const control::RangeOrder& order,
                                                   const event_http::CallResult& result);
  /// What tells one order from another, and the process that took it from the one that was meant:
  /// an address may have passed to another process since the order was decided.
  void WriteEvent(const control::RangeOrder& order, Duration took,
                  control::RangeOrderResult::Outcome outcome, const event_http::CallResult& result);

  const OwnerCallNames names_;
  runtime::EventLoop& loop_;
  runtime::EventLog& events_;
  const Handler handler_;
  /// Addresses whose last answer proves nothing; the next order opens a connection.
  std::set<std::string> unproven_;
  event_http::ClientPool pool_;
};

}  // namespace graniteseam::daemon
