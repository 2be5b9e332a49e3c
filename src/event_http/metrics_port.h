/// @file
/// The statistics of a process as text, at an address of their own.
#pragma once

#include <memory>

#include "src/event_http/server.h"
#include "src/runtime/metrics.h"

namespace graniteseam::event_http {

/// Answers `GET /metrics` with the registry's text, and every other path with 404.
///
/// Invariant: looking at a process never harms it. So the port is opened after all others, and one
/// that is taken costs a warning, not the process. Runs on the event loop; the registry outlives
/// it.
class MetricsPort {
 public:
  MetricsPort(boost::asio::io_context& context, runtime::SocketAddress address,
              const runtime::MetricsRegistry& registry);

  /// @return kInvalidSettings when the address can't be listened on.
  Result<void> Start() { return server_.Start(); }
  std::uint16_t port() const { return server_.port(); }

 private:
  Server server_;
};

/// A port at the address, started; null when the address is empty, or, after a warning, when it
/// can't be listened on.
std::unique_ptr<MetricsPort> OpenMetricsPort(boost::asio::io_context& context,
                                             const runtime::SocketAddress& address,
                                             const runtime::MetricsRegistry& registry);

}  // namespace graniteseam::event_http
