/// @file
/// Decides whether servers of a pool are asked for their load before a request is sent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::gateway {

struct ProbeOptions {
  std::uint32_t per_request = 3;  ///< Servers that are asked for one request; 0: none ever.
  /// For which a request waits for their answers: many times as long as one takes between zones,
  /// and short beside any latency that callers notice.
  Duration wait{50'000};
  /// Between two rounds for one request: where servers are full, asking more often makes no room.
  Duration rest{50'000};
};

/// Hundreds of gateways that share hundreds of servers meet each of them every few seconds, while
/// servers' loads and the pace of their work change several times a second: what a gateway
/// remembers is about another moment. A few servers drawn at random, asked just before the
/// choice, tell how they are now; the better of two fresh words takes most of what could be won by
/// knowing all (power of two choices).
///
/// Answers the load at which servers' noise, not the requests, fills their queues. Costs a small
/// exchange with each server asked, so it is done only where servers show that they answer such
/// questions at once: by telling in their answers how long work takes at the moment. Where answers
/// to probes turn out slow, as from a server that lets them wait for a slot, it rests. Not thread
/// safe; `now` never goes back.
class ProbePolicy {
 public:
  explicit ProbePolicy(ProbeOptions options) : m_options(options) {}

  auto options() const -> ProbeOptions const& { return m_options; }

  /// Whether a request for a service is to be preceded by probes.
  auto applies(ServiceName const& service, Instant now) const -> bool;

  /// Takes what an answer to a request told.
  auto note_answer(ServiceName const& service, ReportedLoad const& load, Instant now) -> void;

  /// Takes how long a probe took, whatever came of it.
  auto note_probe(ServiceName const& service, Duration taken, Instant now) -> void;

 private:
  /// Servers that tell no more of their work for so long are asked no more.
  static constexpr Duration kWorkReportMaxAge{30'000'000};
  /// Mean time of probes beyond which they are not answered at once. The longest way between two
  /// zones of a region takes a tenth of it, new connections included.
  static constexpr Duration kSlowProbe{100'000};
  /// Of one probe no more counts: a few servers that are silent do not make all of them slow.
  static constexpr Duration kSampleMaximum{2 * kSlowProbe};
  /// For how long probes rest then.
  static constexpr Duration kSuspension{10'000'000};
  /// Weight of the newest probe in the mean.
  static constexpr double kSampleWeight = 0.05;

  struct ServiceState {
    std::optional<Instant> work_reported_at;  ///< When a server last told how long work takes.
    double mean_us = 0;
    Instant suspended_until{};
  };

  ProbeOptions const m_options;
  std::map<ServiceName, ServiceState> m_services;
};

}  // namespace graniteseam::gateway
