/// @file
/// Polls the platform's list of machines (docs/interface/platform.md) while this process leads.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/control/operator_messages.h"
#include "src/http/tls.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/metrics.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {

/// Reads `GET /v1/machines`.
/// @return kMalformedMessage when the text is no such list.
Result<control::PlatformList> ReadMachines(const std::string& json);

struct PlatformPollerOptions {
  std::vector<runtime::SocketAddress> addresses;
  Duration interval{1'000'000};
  Duration call_limit{800'000};
  std::shared_ptr<TlsContext> tls;  ///< Null for plain HTTP, which only loopback addresses get.
};

/// Asks all addresses each interval and hands on each list that was read. Several addresses are
/// sources of one list: the union of what those that answer say.
///
/// Lifecycle: stop the event loop before destruction. Handlers run on the event loop's thread.
class PlatformPoller {
 public:
  using ListHandler = std::function<void(const control::PlatformList& list)>;

  /// @param wanted tells whether to poll now.
  PlatformPoller(PlatformPollerOptions options, runtime::EventLoop& loop,
                 runtime::MetricsRegistry& metrics, std::function<bool()> wanted,
                 ListHandler on_list);
  ~PlatformPoller();
  PlatformPoller(const PlatformPoller&) = delete;
  PlatformPoller& operator=(const PlatformPoller&) = delete;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::http
