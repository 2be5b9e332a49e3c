/// @file
/// Decides whether servers of a pool are probed for their load before a request is sent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

struct ProbeOptions {
  std::uint32_t per_request = 3;  ///< Servers probed for one request; 0 disables probes.
  /// How long a request waits for the answers: many times the round trip between zones, and short
  /// compared with any latency that callers notice.
  Duration wait{50'000};
  /// Between two rounds for one request: where servers are full, more probes make no room.
  Duration rest{50'000};
};

/// Enables power-of-two-choices load balancing with fresh data. Hundreds of gateways that share
/// hundreds of servers send to each of them only every few seconds, while the servers' loads and
/// work times change several times a second, so a gateway's stored data is out of date. A few
/// servers drawn at random and probed just before the choice report their current state; the better
/// of two fresh reports gives most of the benefit of knowing all of them.
///
/// Meant for loads at which variation among the servers, rather than the requests, fills their
/// queues. A probe costs a small exchange with each server, so it is used only where servers are
/// known to answer probes at once: those that report their current work time in answers. Where
/// answers to probes turn out slow, as from a server that queues them for a slot, probing is
/// suspended. Not thread safe; `now` must not decrease.
class ProbePolicy {
 public:
  explicit ProbePolicy(ProbeOptions options) : m_options(options) {}

  auto options() const -> ProbeOptions const& { return m_options; }

  /// Whether to probe servers before sending a request for a service.
  auto applies(ServiceName const& service, Instant now) const -> bool;

  /// Records the load report of an answer to a request.
  auto note_answer(ServiceName const& service, ReportedLoad const& load, Instant now) -> void;

  /// Records how long a probe took, whatever its result.
  auto note_probe(ServiceName const& service, Duration taken, Instant now) -> void;

 private:
  /// Servers of a service are no longer probed when none has reported its work time for this long.
  static constexpr Duration kWorkReportMaxAge{30'000'000};
  /// Mean time of probes above which they count as not answered at once. The longest round trip
  /// between two zones of a region takes a tenth of it, including a new connection.
  static constexpr Duration kSlowProbe{100'000};
  /// Upper bound of one sample: a few unresponsive servers do not make all of them count as slow.
  static constexpr Duration kSampleMaximum{2 * kSlowProbe};
  /// How long probing is then suspended.
  static constexpr Duration kSuspension{10'000'000};
  /// Weight of the newest sample in the mean.
  static constexpr double kSampleWeight = 0.05;

  struct ServiceState {
    std::optional<Instant> work_reported_at;  ///< When a server last reported its work time.
    double mean_us = 0;
    Instant suspended_until{};
  };

  ProbeOptions const m_options;
  std::map<ServiceName, ServiceState> m_services;
};

}  // namespace graniteseam::gateway
