#include "src/daemon/router/router_metrics.h"

#include <mutex>
#include <shared_mutex>

#include "src/http/caller_messages.h"

namespace graniteseam::daemon {

namespace {

using runtime::Metric;

constexpr double kSecondsPerMicro = 1e-6;

runtime::CounterHandle AttemptCounter(runtime::MetricsRegistry& registry, const char* result) {
  return registry.Counter(Metric::kRouterAttempts, {{"result", result}});
}

runtime::CounterHandle RequestCounter(runtime::MetricsRegistry& registry,
                                      const std::string& service, routing::RequestOutcome outcome) {
  return registry.Counter(Metric::kRouterRequests,
                          {{"service", service}, {"outcome", http::OutcomeName(outcome)}});
}

}  // namespace

RouterMetrics::RouterMetrics(runtime::MetricsRegistry& registry)
    : registry_(registry),
      other_(Make("other")),
      // In the order of AttemptEnd.
      attempts_{AttemptCounter(registry, "answered"), AttemptCounter(registry, "not_owner"),
                AttemptCounter(registry, "shed"),     AttemptCounter(registry, "not_ready"),
                AttemptCounter(registry, "deadline"), AttemptCounter(registry, "not_sent"),
                AttemptCounter(registry, "broken"),   AttemptCounter(registry, "unknown")},
      lease_held_(registry.Gauge(Metric::kRouterLeaseHeld)),
      bundle_version_(registry.Gauge(Metric::kRouterBundleVersion)),
      queue_length_(registry.Gauge(Metric::kRouterQueueLength)),
      in_flight_(registry.Gauge(Metric::kRouterInFlight)),
      ejected_(registry.Gauge(Metric::kRouterEjectedServers)),
      upstream_connections_(registry.Gauge(Metric::kRouterUpstreamConnections)),
      retries_(registry.Counter(Metric::kRouterRetries)) {}

std::unique_ptr<RouterMetrics::ServiceMetrics> RouterMetrics::Make(const std::string& service) {
  using routing::RequestOutcome;
  return std::make_unique<ServiceMetrics>(
      ServiceMetrics{{RequestCounter(registry_, service, RequestOutcome::kAnswered),
                      RequestCounter(registry_, service, RequestOutcome::kKept),
                      RequestCounter(registry_, service, RequestOutcome::kNotRun),
                      RequestCounter(registry_, service, RequestOutcome::kOutcomeUnknown)},
                     registry_.Histogram(Metric::kRouterRequestSeconds, {{"service", service}})});
}

RouterMetrics::ServiceMetrics& RouterMetrics::Of(const ServiceName& service, bool known) {
  {
    const std::shared_lock lock(mutex_);
    const auto found = services_.find(service);
    if (found != services_.end()) return *found->second;
  }
  if (!known) return *other_;
  const std::unique_lock lock(mutex_);
  if (services_.size() >= kServicesMaximum) return *other_;
  std::unique_ptr<ServiceMetrics>& entry = services_[service];
  if (!entry) entry = Make(service.value);
  return *entry;
}

void RouterMetrics::OnRequest(const ServiceName& service, routing::RequestOutcome outcome,
                              Duration taken) {
  // Only a service that answered once is known to exist.
  ServiceMetrics& metrics = Of(service, outcome == routing::RequestOutcome::kAnswered);
  metrics.requests[static_cast<std::size_t>(outcome)].Increment();
  metrics.seconds.Observe(static_cast<double>(taken.count()) * kSecondsPerMicro);
}

void RouterMetrics::OnAttempt(routing::AttemptEnd end) {
  attempts_[static_cast<std::size_t>(end)].Increment();
}

void RouterMetrics::Update(const routing::RouterStatus& status, std::size_t upstream_connections) {
  lease_held_.Set(status.lease_valid ? 1.0 : 0.0);
  bundle_version_.Set(static_cast<double>(status.bundle_version.value));
  queue_length_.Set(static_cast<double>(status.queued));
  in_flight_.Set(static_cast<double>(status.requests));
  ejected_.Set(static_cast<double>(status.ejected_servers));
  upstream_connections_.Set(static_cast<double>(upstream_connections));
  const std::uint64_t counted = retries_counted_.exchange(status.retries);
  if (status.retries > counted) retries_.Increment(static_cast<double>(status.retries - counted));
}

}  // namespace graniteseam::daemon
