/// @file
/// The router's statistics; docs/operations/router-metrics.md explains them.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/routing/messages.h"
#include "graniteseam/routing/router_node.h"
#include "src/runtime/metrics.h"

namespace graniteseam::daemon {

/// Thread safe.
class RouterMetrics {
 public:
  explicit RouterMetrics(runtime::MetricsRegistry& registry);

  /// Counts a request under its service's name once that service answered, before under "other", so
  /// that callers can not make up labels.
  void OnRequest(const ServiceName& service, routing::RequestOutcome outcome, Duration taken);
  void OnAttempt(routing::AttemptEnd end);
  /// Copies the figures that are looked up and not counted.
  void Update(const routing::RouterStatus& status, std::size_t upstream_connections);

 private:
  static constexpr std::size_t kServicesMaximum = 64;
  static constexpr std::size_t kOutcomes = 4;
  static constexpr std::size_t kEnds = 8;
  struct ServiceMetrics {
    std::array<runtime::CounterHandle, kOutcomes> requests;
    runtime::HistogramHandle seconds;
  };

  ServiceMetrics& Of(const ServiceName& service, bool known);
  std::unique_ptr<ServiceMetrics> Make(const std::string& service);

  runtime::MetricsRegistry& registry_;
  std::shared_mutex mutex_;
  std::map<ServiceName, std::unique_ptr<ServiceMetrics>> services_;  ///< Guarded by mutex_.
  std::unique_ptr<ServiceMetrics> other_;
  std::array<runtime::CounterHandle, kEnds> attempts_;
  runtime::GaugeHandle lease_held_;
  runtime::GaugeHandle bundle_version_;
  runtime::GaugeHandle queue_length_;
  runtime::GaugeHandle in_flight_;
  runtime::GaugeHandle ejected_;
  runtime::GaugeHandle upstream_connections_;
  runtime::CounterHandle retries_;
  std::atomic<std::uint64_t> retries_counted_{0};
};

}  // namespace graniteseam::daemon
