#include "src/daemon/gateway/gateway_metrics.h"

#include <utility>

namespace graniteseam::daemon {
namespace {

using runtime::Metric;

}  // namespace

GatewayMetrics::GatewayMetrics(runtime::MetricsRegistry& registry)
    : registry_(registry),
      sends_(registry.Counter(Metric::kGatewaySends)),
      sends_while_warming_up_(registry.Counter(Metric::kGatewaySendsWhileWarmingUp)),
      callers_gone_(registry.Counter(Metric::kGatewayCallersGone)),
      unreadable_loads_(registry.Counter(Metric::kGatewayUnreadableLoads)),
      unreadable_pressure_(registry.Counter(Metric::kGatewayUnreadablePressure)),
      rests_asked_(registry.Counter(Metric::kGatewayRestsAsked)),
      limited_instances_(registry.Gauge(Metric::kGatewayLimitedInstances)),
      probes_(registry.Counter(Metric::kGatewayProbes)),
      trial_connections_(registry.Counter(Metric::kGatewayTrialConnections)),
      forwards_(registry.Counter(Metric::kGatewayForwards)),
      partitioned_(registry.Gauge(Metric::kGatewayPartitioned)),
      slot_wait_seconds_(registry.Histogram(Metric::kGatewaySlotWaitSeconds)),
      slot_start_error_seconds_(registry.Histogram(Metric::kGatewaySlotStartErrorSeconds)),
      slot_grants_unused_(registry.Counter(Metric::kGatewaySlotGrantsUnused)),
      coordinated_queue_(registry.Gauge(Metric::kGatewayCoordinatedQueue)),
      version_(registry.Gauge(Metric::kGatewayStateVersion)),
      configuration_(registry.Gauge(Metric::kGatewayConfigurationVersion)),
      loop_delay_seconds_(registry.Histogram(Metric::kGatewayLoopDelaySeconds)),
      retry_budget_gateways_(registry.Gauge(Metric::kGatewayRetryBudgetGateways)),
      held_bytes_(registry.Gauge(Metric::kGatewayHeldBytes)),
      evictions_(registry.Counter(Metric::kGatewayEvictions)),
      refusals_for_room_(registry.Counter(Metric::kGatewayRefusalsForRoom)) {}

void GatewayMetrics::OnRequest(std::string_view outcome, Duration taken) {
  auto found = seconds_.find(outcome);
  if (found == seconds_.end()) {
    const std::string name(outcome);
    found =
        seconds_
            .emplace(name, registry_.Histogram(Metric::kGatewayRequestSeconds, {{"outcome", name}}))
            .first;
  }
  found->second.Observe(std::chrono::duration<double>(taken).count());
}

void GatewayMetrics::OnSend(bool while_warming_up) {
  sends_.Increment();
  if (while_warming_up) sends_while_warming_up_.Increment();
}

void GatewayMetrics::OnAttemptEnd(gateway::AttemptEnd end) {
  registry_.Counter(Metric::kGatewayAttempts, {{"end", std::string(EndName(end))}}).Increment();
}

void GatewayMetrics::OnBackPressure(const gateway::BackPressure& pressure) {
  if (pressure.unreadable) unreadable_pressure_.Increment();
  if (pressure.rest) rests_asked_.Increment();
}

void GatewayMetrics::OnSlotResult(const coordination::SlotResult& result) {
  using Kind = coordination::SlotResult::Kind;
  const auto count = [&](const char* name) {
    registry_.Counter(Metric::kGatewaySlotAsks, {{"result", name}}).Increment();
  };
  switch (result.kind) {
    case Kind::kGranted:
      count("granted");
      slot_wait_seconds_.Observe(std::chrono::duration<double>(result.waited).count());
      slot_start_error_seconds_.Observe(std::chrono::duration<double>(result.start_error).count());
      return;
    case Kind::kQueued:
      return count("queued");
    case Kind::kRejected:
      return count("rejected");
    case Kind::kUnanswered:
      return count("timeout");
  }
}

void GatewayMetrics::OnLimitedInstances(std::size_t count) {
  limited_instances_.Set(static_cast<double>(count));
}

void GatewayMetrics::OnRetryBudget(const ServiceName& service,
                                   const gateway::RetryBudgetCounts& counts) {
  const gateway::RetryBudgetCounts before = std::exchange(retry_budgets_[service], counts);
  registry_.Counter(Metric::kGatewayRetryBudgetRequests, {{"service", service.value}})
      .Increment(static_cast<double>(counts.requests - before.requests));
  const auto count = [&](const char* result, std::uint64_t now, std::uint64_t earlier) {
    registry_.Counter(Metric::kGatewayRetries, {{"service", service.value}, {"result", result}})
        .Increment(static_cast<double>(now - earlier));
  };
  count("reserved", counts.reserved, before.reserved);
  count("spent", counts.spent, before.spent);
  count("released", counts.released, before.released);
  count("refused", counts.refused, before.refused);
}

void GatewayMetrics::OnRetryBudgetGateways(std::uint32_t count) {
  retry_budget_gateways_.Set(static_cast<double>(count));
}

void GatewayMetrics::OnHeldBytes(std::size_t bytes, std::uint64_t evictions,
                                 std::uint64_t refusals) {
  held_bytes_.Set(static_cast<double>(bytes));
  const auto since = [](std::uint64_t now, std::uint64_t& reported) {
    return static_cast<double>(now - std::exchange(reported, now));
  };
  evictions_.Increment(since(evictions, evictions_reported_));
  refusals_for_room_.Increment(since(refusals, refusals_reported_));
}

void GatewayMetrics::OnVersion(std::uint64_t version, std::uint64_t configuration) {
  version_.Set(static_cast<double>(version));
  configuration_.Set(static_cast<double>(configuration));
}

}  // namespace graniteseam::daemon
