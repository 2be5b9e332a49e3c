/// @file
/// Every statistic of every program, named once. docs/operations/logs-and-metrics.md explains them.
/// Units are in the names: _total counts, _seconds, _bytes, _ratio.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace graniteseam::runtime {

enum class MetricType { kCounter, kGauge, kHistogram };

/// A statistic; its description stands at the same place of kMetricList.
enum class Metric {
  // Control.
  kControlLeading,
  kControlTerm,
  kControlCommitIndex,
  kControlBundleVersion,
  kControlRoutersConnected,
  kControlServersLeased,
  kControlShardMoves,
  kControlPersistSeconds,
  kControlLeaseCalls,
  kControlLeaseCallSeconds,
  kControlPlatformPolls,
  kControlEventQueueLength,
  kControlEventWaitSeconds,
  kControlEventsDropped,
  kControlRoundSeconds,
  kControlDecisionLooks,
  kControlDrainedZones,
  kControlLeaderChanges,
  kControlRangeOrders,
  kControlRangeOrderEnds,
  kControlRegistrySeconds,
  // Framed transport.
  kTransportConnections,
  kTransportFramesSent,
  kTransportFramesReceived,
  kTransportBytesSent,
  kTransportBytesReceived,
  kTransportFramesDropped,
  kTransportConnectionsRefused,
  // HTTP servers.
  kHttpRequests,
  // Router.
  kRouterRequests,
  kRouterRequestSeconds,
  kRouterAttempts,
  kRouterLeaseHeld,
  kRouterBundleVersion,
  kRouterQueueLength,
  kRouterInFlight,
  kRouterRetries,
  kRouterEjectedServers,
  kRouterUpstreamConnections,
  // Gateway.
  kGatewayRequestSeconds,
  kGatewaySends,
  kGatewayAttempts,
  kGatewayCallersGone,
  kGatewayUnreadableLoads,
  kGatewayProbes,
  kGatewayStateVersion,
  kGatewayConfigurationVersion,
  kCount,
};

struct MetricDescription {
  Metric metric;
  MetricType type;
  std::string_view name;
  std::string_view help;
};

inline constexpr std::array<MetricDescription, static_cast<std::size_t>(Metric::kCount)>
    kMetricList = {{
        {Metric::kControlLeading, MetricType::kGauge, "graniteseam_control_leading",
         "1 while this process leads, else 0."},
        {Metric::kControlTerm, MetricType::kGauge, "graniteseam_control_term", "Consensus term."},
        {Metric::kControlCommitIndex, MetricType::kGauge, "graniteseam_control_commit_index",
         "Highest committed log index."},
        {Metric::kControlBundleVersion, MetricType::kGauge, "graniteseam_control_bundle_version",
         "Bundle version in force."},
        {Metric::kControlRoutersConnected, MetricType::kGauge,
         "graniteseam_control_routers_connected", "Routers connected to this process."},
        {Metric::kControlServersLeased, MetricType::kGauge, "graniteseam_control_servers_leased",
         "Servers with a lease, as this process sees it."},
        {Metric::kControlShardMoves, MetricType::kGauge, "graniteseam_control_shard_moves",
         "Shards given to another owner since the group began."},
        {Metric::kControlPersistSeconds, MetricType::kHistogram,
         "graniteseam_control_persist_seconds", "Time to make one batch durable."},
        {Metric::kControlLeaseCalls, MetricType::kCounter, "graniteseam_control_lease_calls_total",
         "Lease messages to servers, by result."},
        {Metric::kControlLeaseCallSeconds, MetricType::kHistogram,
         "graniteseam_control_lease_call_seconds", "Round trip of an answered lease message."},
        {Metric::kControlPlatformPolls, MetricType::kCounter,
         "graniteseam_control_platform_polls_total", "Polls of the platform list, by result."},
        {Metric::kControlEventQueueLength, MetricType::kGauge,
         "graniteseam_control_event_queue_length", "Events that wait for the deciding thread."},
        {Metric::kControlEventWaitSeconds, MetricType::kHistogram,
         "graniteseam_control_event_wait_seconds",
         "Time from an event's arrival until the deciding thread took it, by lane."},
        {Metric::kControlEventsDropped, MetricType::kCounter,
         "graniteseam_control_events_dropped_total",
         "Events that found the queue full and were dropped, by lane."},
        {Metric::kControlRoundSeconds, MetricType::kHistogram, "graniteseam_control_round_seconds",
         "Length of the deciding thread's rounds, their writes to disk included."},
        {Metric::kControlDecisionLooks, MetricType::kCounter,
         "graniteseam_control_decision_looks_total",
         "Key ranges and instances that decisions looked at, each as often as it was."},
        {Metric::kControlDrainedZones, MetricType::kGauge, "graniteseam_control_drained_zones",
         "Zones that operators drain at present."},
        {Metric::kControlLeaderChanges, MetricType::kCounter,
         "graniteseam_control_leader_changes_total",
         "Changes of the leader that this process saw, by the role that it took."},
        {Metric::kControlRangeOrders, MetricType::kCounter,
         "graniteseam_control_range_orders_total",
         "Orders sent to instances that own keys, by kind."},
        {Metric::kControlRangeOrderEnds, MetricType::kCounter,
         "graniteseam_control_range_order_ends_total", "Ends of such orders, by result."},
        {Metric::kControlRegistrySeconds, MetricType::kHistogram,
         "graniteseam_control_registry_seconds",
         "Time from a request's receipt at registry_address to its answer, a commit included."},
        {Metric::kTransportConnections, MetricType::kGauge, "graniteseam_transport_connections",
         "Framed connections established."},
        {Metric::kTransportFramesSent, MetricType::kCounter,
         "graniteseam_transport_frames_sent_total", "Frames sent."},
        {Metric::kTransportFramesReceived, MetricType::kCounter,
         "graniteseam_transport_frames_received_total", "Frames received."},
        {Metric::kTransportBytesSent, MetricType::kCounter,
         "graniteseam_transport_bytes_sent_total", "Bytes of frames sent."},
        {Metric::kTransportBytesReceived, MetricType::kCounter,
         "graniteseam_transport_bytes_received_total", "Bytes of frames received."},
        {Metric::kTransportFramesDropped, MetricType::kCounter,
         "graniteseam_transport_frames_dropped_total",
         "Frames not sent: no connection, or its queue was full."},
        {Metric::kTransportConnectionsRefused, MetricType::kCounter,
         "graniteseam_transport_connections_refused_total",
         "Connections closed for a fault of the peer, by error kind."},
        {Metric::kHttpRequests, MetricType::kCounter, "graniteseam_http_requests_total",
         "Requests at an HTTP port, by port and status."},
        {Metric::kRouterRequests, MetricType::kCounter, "graniteseam_router_requests_total",
         "Callers' requests, by service and outcome."},
        {Metric::kRouterRequestSeconds, MetricType::kHistogram,
         "graniteseam_router_request_seconds", "Time from a request's head to its answer."},
        {Metric::kRouterAttempts, MetricType::kCounter, "graniteseam_router_attempts_total",
         "Attempts at servers, by result."},
        {Metric::kRouterLeaseHeld, MetricType::kGauge, "graniteseam_router_lease_held",
         "1 while this router holds its lease, else 0."},
        {Metric::kRouterBundleVersion, MetricType::kGauge, "graniteseam_router_bundle_version",
         "Bundle version in force in this router."},
        {Metric::kRouterQueueLength, MetricType::kGauge, "graniteseam_router_queue_length",
         "Requests that wait for admission."},
        {Metric::kRouterInFlight, MetricType::kGauge, "graniteseam_router_in_flight",
         "Requests at servers."},
        {Metric::kRouterRetries, MetricType::kCounter, "graniteseam_router_retries_total",
         "Attempts after the first of a request."},
        {Metric::kRouterEjectedServers, MetricType::kGauge, "graniteseam_router_ejected_servers",
         "Servers passed over as outliers."},
        {Metric::kRouterUpstreamConnections, MetricType::kGauge,
         "graniteseam_router_upstream_connections", "Idle connections to servers."},
        {Metric::kGatewayRequestSeconds, MetricType::kHistogram,
         "graniteseam_gateway_request_seconds",
         "Time from a request's receipt to its answer, by outcome."},
        {Metric::kGatewaySends, MetricType::kCounter, "graniteseam_gateway_sends_total",
         "Requests sent to servers, repetitions included."},
        {Metric::kGatewayAttempts, MetricType::kCounter, "graniteseam_gateway_attempts_total",
         "Ends of sendings, by how they ended."},
        {Metric::kGatewayCallersGone, MetricType::kCounter,
         "graniteseam_gateway_callers_gone_total", "Callers that left before their answer."},
        {Metric::kGatewayUnreadableLoads, MetricType::kCounter,
         "graniteseam_gateway_unreadable_loads_total",
         "Answers whose word of the server's load could not be read."},
        {Metric::kGatewayProbes, MetricType::kCounter, "graniteseam_gateway_probes_total",
         "Servers asked for their load before a request was sent."},
        {Metric::kGatewayStateVersion, MetricType::kGauge, "graniteseam_gateway_state_version",
         "Log index of the traffic state in force."},
        {Metric::kGatewayConfigurationVersion, MetricType::kGauge,
         "graniteseam_gateway_configuration_version", "Traffic configuration in force."},
    }};

constexpr const MetricDescription& Describe(Metric metric) {
  return kMetricList[static_cast<std::size_t>(metric)];
}

}  // namespace graniteseam::runtime
