/// @file
/// The statistics that a gateway keeps of its work.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "graniteseam/common/time.h"
#include "src/gateway/gateway_events.h"
#include "src/gateway/shared_retry_budget.h"
#include "src/runtime/metrics.h"

namespace graniteseam::daemon {

/// Not thread safe.
class GatewayMetrics {
 public:
  explicit GatewayMetrics(runtime::MetricsRegistry& registry);

  void OnRequest(std::string_view outcome, Duration taken);
  void OnSend(bool while_warming_up);
  void OnAttemptEnd(gateway::AttemptEnd end);
  void OnProbe() { probes_.Increment(); }
  void OnTrialConnection() { trial_connections_.Increment(); }
  void OnForward() { forwards_.Increment(); }
  void OnPartitioned(bool partitioned) { partitioned_.Set(partitioned ? 1 : 0); }
  void OnUnreadableLoad() { unreadable_loads_.Increment(); }
  void OnBackPressure(const gateway::BackPressure& pressure);
  void OnLimitedInstances(std::size_t count);
  void OnCallerGone() { callers_gone_.Increment(); }
  void OnSlotResult(const coordination::SlotResult& result);
  void OnSlotGrantsUnused(std::size_t count) {
    slot_grants_unused_.Increment(static_cast<double>(count));
  }
  void OnCoordinatedQueue(std::size_t length) {
    coordinated_queue_.Set(static_cast<double>(length));
  }
  /// @param counts of the service's retry budget since the process started.
  void OnRetryBudget(const ServiceName& service, const gateway::RetryBudgetCounts& counts);
  void OnRetryBudgetGateways(std::uint32_t count);
  /// @param evictions, refusals since the process started.
  void OnHeldBytes(std::size_t bytes, std::uint64_t evictions, std::uint64_t refusals);
  void OnVersion(std::uint64_t version, std::uint64_t configuration);
  void OnLoopDelay(Duration delay) {
    loop_delay_seconds_.Observe(std::chrono::duration<double>(delay).count());
  }

 private:
  runtime::MetricsRegistry& registry_;
  runtime::CounterHandle sends_;
  runtime::CounterHandle sends_while_warming_up_;
  runtime::CounterHandle callers_gone_;
  runtime::CounterHandle unreadable_loads_;
  runtime::CounterHandle unreadable_pressure_;
  runtime::CounterHandle rests_asked_;
  runtime::GaugeHandle limited_instances_;
  runtime::CounterHandle probes_;
  runtime::CounterHandle trial_connections_;
  runtime::CounterHandle forwards_;
  runtime::GaugeHandle partitioned_;
  runtime::HistogramHandle slot_wait_seconds_;
  runtime::HistogramHandle slot_start_error_seconds_;
  runtime::CounterHandle slot_grants_unused_;
  runtime::GaugeHandle coordinated_queue_;
  runtime::GaugeHandle version_;
  runtime::GaugeHandle configuration_;
  runtime::HistogramHandle loop_delay_seconds_;
  runtime::GaugeHandle retry_budget_gateways_;
  runtime::GaugeHandle held_bytes_;
  runtime::CounterHandle evictions_;
  runtime::CounterHandle refusals_for_room_;
  std::uint64_t evictions_reported_ = 0;
  std::uint64_t refusals_reported_ = 0;
  std::map<std::string, runtime::HistogramHandle, std::less<>> seconds_;  ///< By outcome.
  std::map<ServiceName, gateway::RetryBudgetCounts> retry_budgets_;       ///< As last reported.
};

}  // namespace graniteseam::daemon
