#include "src/daemon/gateway/gateway_metrics.h"

namespace graniteseam::daemon {
namespace {

using runtime::Metric;

const char* EndName(gateway::AttemptEnd end) {
  switch (end) {
    case gateway::AttemptEnd::kAnswered:
      return "answered";
    case gateway::AttemptEnd::kNotExecuted:
      return "not_executed";
    case gateway::AttemptEnd::kNotSent:
      return "not_sent";
    case gateway::AttemptEnd::kLost:
      return "lost";
    case gateway::AttemptEnd::kUnusable:
      return "unusable";
  }
  return "unknown";
}

}  // namespace

GatewayMetrics::GatewayMetrics(runtime::MetricsRegistry& registry)
    : registry_(registry),
      sends_(registry.Counter(Metric::kGatewaySends)),
      callers_gone_(registry.Counter(Metric::kGatewayCallersGone)),
      version_(registry.Gauge(Metric::kGatewayStateVersion)),
      configuration_(registry.Gauge(Metric::kGatewayConfigurationVersion)) {}

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

void GatewayMetrics::OnAttemptEnd(gateway::AttemptEnd end) {
  registry_.Counter(Metric::kGatewayAttempts, {{"end", EndName(end)}}).Increment();
}

void GatewayMetrics::OnVersion(std::uint64_t version, std::uint64_t configuration) {
  version_.Set(static_cast<double>(version));
  configuration_.Set(static_cast<double>(configuration));
}

}  // namespace graniteseam::daemon
