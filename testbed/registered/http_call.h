/// @file
/// One HTTP call that is waited for, with redirects followed: for operators and callers in tests.
#pragma once

#include <string>

#include "src/event_http/client_pool.h"
#include "src/runtime/event_loop.h"

namespace graniteseam::testbed {

/// Not thread safe: one call at a time.
class HttpCaller {
 public:
  HttpCaller() : pool_(loop_.context(), {}) {}
  ~HttpCaller() { loop_.Stop(); }

  /// Sends a request and waits for its end.
  event_http::CallResult Call(const std::string& address, const event_http::Request& request,
                              Duration limit);
  /// The same, following redirects to other addresses.
  event_http::CallResult CallFollowing(std::string address, const event_http::Request& request,
                                       Duration limit);

 private:
  runtime::EventLoop loop_;
  event_http::ClientPool pool_;
};

}  // namespace graniteseam::testbed
