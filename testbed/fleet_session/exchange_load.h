/// @file
/// A load of equal GET requests over a fixed number of connections.
#pragma once

#include <httplib.h>

#include <cstdint>
#include <string>
#include <vector>

#include "graniteseam/common/time.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::testbed {

/// What one connection asks for, again and again.
struct ExchangeTarget {
  runtime::SocketAddress address;
  std::string path;
  httplib::Headers headers;
};

struct ExchangeResult {
  std::vector<double> latencies_ms;  ///< Of the answers with status 200.
  std::uint64_t failed = 0;
  double seconds = 0;

  double PerSecond() const;
};

/// Sends on one connection for each target, each with a thread of its own.
/// @param requests_per_second over all connections; 0 sends the next request at each answer. With a
///     rate, latency counts from the time at which the schedule wanted the request sent.
ExchangeResult RunExchanges(const std::vector<ExchangeTarget>& targets, Duration length,
                            double requests_per_second);

}  // namespace graniteseam::testbed
