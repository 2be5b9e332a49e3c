/// @file
/// A gateway's view of the servers: which exist, their load, and their recent latency and failures.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "graniteseam/traffic/hints.h"
#include "graniteseam/traffic/update.h"
#include "src/gateway/back_pressure_table.h"
#include "src/gateway/gateway_events.h"
#include "src/gateway/warm_up_gate.h"

namespace graniteseam::gateway {

/// Settings of the BackendTable.
struct BackendOptions {
  ZoneName zone;  ///< The zone of this gateway.
  /// The part of the target latency that a server of another zone must save to be preferred:
  /// traffic between zones costs money, and an answer within its target gains nothing from being
  /// sooner.
  double cross_zone_part = 0.25;
  Duration first_latency{80'000};  ///< Assumed latency of a server that has not answered yet.
  Duration ejection{1'000'000};    ///< After failures in a row; doubles up to ejection_maximum.
  Duration ejection_maximum{4'000'000};
  int failures_to_eject = 2;
  /// An owner of keys with this many failures in a row (failures_to_eject) is paused for about this
  /// multiple of its latency, doubled after each further failure.
  double pause_part = 1.0;
  Duration pause_maximum{2'000'000};
  /// How long an owner of keys that drains still gets their requests while the keys move to their
  /// next owners.
  Duration drain_allowance{1'000'000};
  /// The same for an owner whose zone is drained. The keys of hundreds of owners move together
  /// then, at a rate that control limits. Long enough for that, and short enough that the last
  /// request reaches its owner within the 5 s after which a drained zone must get none.
  Duration zone_drain_allowance{3'500'000};
  /// Requests per second that a warming-up instance of a pool may get from all gateways; 0: no
  /// bound, only its assumed latency is higher.
  double warm_up_requests_per_second = 0;
  /// How long an instance counts as warming up after its zone is taken back, regardless of its own
  /// reports: heartbeats that arrive seconds later may have been sent before it became cold.
  Duration taken_back_warm_up{3'000'000};
  /// Penalty for a server that fails all requests, in target latencies: a failure costs the whole
  /// value of an answer, so a long wait elsewhere is better.
  double failure_targets = 4.0;
  /// Time constant with which recorded failures decay, so that a server is tried again. As long as
  /// the ejection of a server that breaks connections.
  Duration failure_memory{4'000'000};
  double cold_factor = 2.0;      ///< Factor on the latency of a server that warms up.
  double waiting_maximum = 2.0;  ///< Requests per slot that may wait at a server.
  /// Mean number of requests that each server of a service must get from this gateway within
  /// request_count_decay for this gateway's own samples to decide which server is best. With fewer,
  /// all gateways would follow the same hints to the same few servers.
  double requests_per_server_minimum = 2.0;
  /// Time constant with which the counts of this gateway's requests decay.
  Duration request_count_decay{10'000'000};
};

/// One server and this gateway's measurements of it.
struct Backend {
  traffic::Instance instance;
  Instant warm_at{};  ///< When it has warmed up, by the latest end that was ever reported.
  /// Earliest instant at which it may have stopped taking new work; valid while it takes none.
  Instant drained_since{};
  std::uint32_t in_flight = 0;  ///< Requests of this gateway.
  double others_in_flight = 0;  ///< Requests of other gateways, as last reported.
  Instant load_reported_at{};   ///< When the server last reported its load.
  Instant probed_at{};          ///< When it last answered a probe.
  /// Work time at the last load report, in percent of the usual; not every server reports it.
  std::optional<double> work_percent;
  double latency_us = 0;  ///< Mean latency of a request that did not wait.
  bool latency_known = false;
  double hinted_latency_us = 0;  ///< From all gateways' samples; 0 when control sent none.
  traffic::InstanceSpeed speed;  ///< Samples since the last poll that included them.
  int failures = 0;              ///< Consecutive failures.
  double failing = 0;            ///< Mean part of answers that were failures, as of failing_at.
  Instant failing_at{};
  Duration ejection{};
  Instant ejected_until{};
  Instant paused_until{};  ///< For an owner of keys, whose requests can go to no other server.
};

/// Chooses servers by the shortest expected wait. Deterministic under its seed; not thread safe;
/// `now` must not decrease.
class BackendTable {
 public:
  using Backends = std::vector<const Backend*>;

  BackendTable(BackendOptions options, std::uint64_t seed);

  /// Applies an update's instances. One with base 0 replaces all; measurements of instances that
  /// remain are kept.
  void Apply(const traffic::TrafficUpdate& update, Instant now);

  /// Sets the number of connections that servers accept, by service, and the number of gateways
  /// that share them.
  void ShareConnections(const std::map<ServiceName, traffic::Service>& services,
                        std::uint32_t gateways);

  /// The instances of a service, sorted by id.
  std::vector<traffic::InstanceId> Listed(const ServiceName& service) const {
    const auto listed = services_.find(service);
    return listed == services_.end() ? std::vector<traffic::InstanceId>{} : listed->second;
  }

  /// Records that the state here was complete as of an instant. A change in the next update may
  /// have taken effect at any time from then on.
  void Confirm(Instant at) { confirmed_at_ = std::max(confirmed_at_, at); }

  /// Sets this gateway's place among all gateways, by which warming-up instances are divided.
  /// @param polled_at when the poll was sent in whose answer control assigned it.
  void SetPlace(const GatewayPlace& place, Instant polled_at, Instant now) {
    warm_ups_.set_place(place, polled_at, now);
  }

  /// Applies the latencies and failure rates that control aggregated over all gateways.
  void ApplyHints(const std::vector<traffic::InstanceHint>& hints, Instant now);

  /// @return nullptr for an unknown instance; valid until the next Apply().
  const Backend* Find(const traffic::InstanceId& id) const;
  /// Whether a server has taken no new work, or announced its shutdown, for so long that it must
  /// get no more requests.
  bool DrainAllowanceElapsed(const Backend& backend, Instant now) const;

  /// The server of a service with the shortest expected wait, without those in `tried`. Drawn by
  /// speed if this gateway sends to the servers too rarely to have current samples.
  /// @param target latency within which an answer has its full value.
  /// @return nullptr when no server takes new work.
  const Backend* Choose(const ServiceName& service, const std::vector<traffic::InstanceId>& tried,
                        Duration target, Instant now);

  /// Draws servers of all services at random, to find out whether this gateway reaches them.
  Backends DrawForTrial(std::size_t count);
  /// Forgets attempts that reached no server, with the ejections and pauses that followed from
  /// them: while this gateway is partitioned from all servers, they tell nothing of a single one.
  void ForgetUnreached();

  /// Draws servers to probe for their load before a request is sent: by speed, the last one from
  /// another zone, so that a zone which is fuller than others is detected.
  /// @return none if a warming-up or limited instance is to get the request, or if there is no
  /// choice.
  Backends DrawForProbes(const ServiceName& service, const std::vector<traffic::InstanceId>& tried,
                         std::size_t count, Instant now);
  /// The probed server with the earliest expected completion by its newest load report.
  /// @return nullptr when none of them answered and has room.
  const Backend* FastestProbed(const std::vector<traffic::InstanceId>& asked, Duration target,
                               Instant now) const;
  /// Applies the result of a probe.
  void OnProbed(const ProbeReport& report, Instant now);

  /// Whether a request sent now may still be answered within its target. Otherwise it waits in the
  /// gateway, where it can be refused early and no full server resets its connection.
  bool HasRoom(const Backend& backend, Duration target, Instant now) const;
  /// Whether a request sent now is estimated to find a free slot.
  bool HasFreeSlot(const Backend& backend, Instant now) const;
  /// The estimated number of requests at a server.
  double LoadOf(const Backend& backend, Instant now) const;

  /// Records that a request was sent to a server, and uses up a token of its rate limit.
  void OnSent(const traffic::InstanceId& id, Instant now);
  /// Records the end of an attempt.
  /// @param taken from sending to the end.
  void OnEnded(const traffic::InstanceId& id, const AttemptReport& report, Duration taken,
               Instant now);
  /// Records that this gateway stopped waiting for an attempt, without a sample of its latency.
  void OnAbandoned(const traffic::InstanceId& id);

  /// Whether control has not confirmed the state here for so long that an instance may warm up, or
  /// may have been drained and taken back, without this gateway's knowledge.
  bool StateMayBeOutdated(Instant now) const;
  /// Whether this gateway must hear from a server itself that it does not warm up, before it sends
  /// it a request.
  bool NeedsProbe(const Backend& backend, Instant now) const;
  /// Whether a request to a server needs a token: it has a rate limit, or it owns keys and warms
  /// up.
  bool NeedsToken(const Backend& backend, Instant now) const;
  /// Why this gateway may not send a server a request now because of the server's back pressure or
  /// its warm-up; nullopt when it may.
  std::optional<RefusalReason> SendBlockReason(const Backend& backend, Instant now) const;
  BackPressureTable& pressure() { return pressure_; }
  const BackPressureTable& pressure() const { return pressure_; }

  /// Returns the latency and failure samples since the last call and clears them.
  /// @param all false: only those of servers with failures, which control needs at once.
  std::vector<traffic::InstanceSpeed> TakeSpeeds(bool all);

  /// Whether a server counts as warming up here.
  static bool IsWarmingUp(const Backend& backend, Instant now) { return now < backend.warm_at; }
  /// "2100 ms left, place 3 of 76 for 400 ms" for the log: what the number of requests that a
  /// warming-up server gets depends on.
  std::string DescribeWarmUp(const Backend& backend, Instant now) const;

  /// "load 2.1 of 2, reported 120 ms ago, latency 61 ms" for the log. `graniteseamctl log
  /// losses` reads load, slots and latency from it.
  std::string Describe(const Backend& backend, Instant now) const;

 private:
  /// This gateway's recent requests to a service, exponentially decayed.
  struct RequestCount {
    double decayed = 0;  ///< As of `at`.
    Instant at{};        ///< The newest request.
    Instant since{};     ///< The first request counted.
  };
  /// Recent requests per slot at the servers of a zone, from their load reports.
  struct Occupancy {
    double mean = 0;
    Instant at{};
  };
  struct ServiceZone {
    ServiceName service;
    ZoneName zone;
    auto operator<=>(const ServiceZone&) const = default;
  };

  /// Adds an instance to its service's list. Works on one instance at a time: an update of a few
  /// instances must not iterate over ten thousand.
  /// @param listed whether `backend`, in its previous state, is in a list.
  void List(const Backend& backend, bool listed, const traffic::Instance& next);
  void Unlist(const Backend& backend);
  void Remove(const traffic::InstanceId& id, Instant now);
  /// Applies control's report on an instance's warm-up. Only time ends one: a report of its end may
  /// be older than its begin.
  void UpdateWarmUp(Backend& backend, const traffic::Instance& next, bool fresh, Instant now);
  /// Whether an owner of keys announced its shutdown longer ago than drain_allowance, so that it
  /// must get no more requests.
  bool LeavingPastAllowance(const traffic::InstanceId& id, Instant now) const;
  /// Whether this gateway may send a server a request now as regards its warm-up; applies also to a
  /// server whose warm-up was just reported by a probe.
  bool WarmUpAdmits(const Backend& backend, Instant now) const;

  /// Whether this gateway sends to each server of a service often enough to choose by its own
  /// samples.
  bool HasEnoughSamples(const ServiceName& service, std::size_t servers, Instant now) const;
  /// The servers of a service that a request may be sent to.
  struct Choice {
    Backends usable;
    /// A server that may get only a single request from this gateway now, because it warms up or
    /// has a limit.
    const Backend* scarce = nullptr;
    /// Used when `usable` is empty: a server at which this gateway has used its share of
    /// connections, or else the ejected one whose ejection ends first.
    const Backend* last_resort = nullptr;
  };
  /// @param before_probes whether the servers are to be probed before one of them is chosen.
  Choice ChoiceOf(const ServiceName& service, const std::vector<traffic::InstanceId>& tried,
                  bool before_probes, Instant now) const;
  /// Why a server's back pressure or warm-up, as far as known here, forbids a request to it.
  std::optional<RefusalReason> PressureBlockReason(const Backend& backend, Instant now) const;
  /// Expected latency of a further request at a server that has just reported its load.
  double CompletionMicros(const Backend& backend, Duration target, Instant now) const;
  /// Adds a request's latency to the usual latency of its service.
  void NoteUsualTime(const Backend& backend, Duration taken, Instant now);
  const Backend* ShortestWait(const Backends& usable, Duration target, Instant now);
  /// Draws from the own zone, or from all zones while the own zone's servers are full.
  const Backend* DrawWithRoom(const Backends& usable, Instant now);
  /// Draws one of `backends`, each with a probability proportional to its speed, so that all get
  /// the same load relative to it; `backends` must not be empty.
  const Backend* DrawBySpeed(const Backends& backends, Instant now);
  /// The latency by which a server is drawn: the hinted one, else this gateway's own mean; nullopt
  /// without either.
  static std::optional<double> LatencyToDrawBy(const Backend& backend);
  /// Requests per slot at a zone's servers by their load reports of the last seconds; 0 when
  /// unknown.
  double OccupancyOf(const ServiceZone& place, Instant now) const;
  double ExpectedMicros(const Backend& backend, Duration target, Instant now) const;
  /// The cost of a server beside its latency, in microseconds: traffic between zones, and failures.
  double PenaltyMicros(const Backend& backend, Duration target, Instant now) const;
  /// The expected part of further requests that a server fails.
  double FailingPart(const Backend& backend, Instant now) const;
  void NoteOutcome(Backend& backend, bool failed, Instant now) const;
  void ApplyLoad(Backend& backend, const ReportedLoad& load, Instant now);
  /// Whether an attempt ended without a complete answer from the intended server.
  bool Unreached(const Backend& backend, const AttemptReport& report) const;
  void Fail(Backend& backend, Instant now);
  /// The maximum of this gateway's concurrent requests to one server of a service.
  std::uint32_t ConnectionShare(const ServiceName& service) const;
  bool HasConnectionLeft(const Backend& backend) const;

  const BackendOptions options_;
  std::mt19937_64 random_;
  WarmUpGate warm_ups_;
  BackPressureTable pressure_;
  std::map<traffic::InstanceId, Backend> backends_;
  Instant confirmed_at_{};
  std::map<ServiceName, std::vector<traffic::InstanceId>> services_;
  std::map<ServiceName, std::uint32_t> connection_shares_;
  std::set<ServiceName> keyed_;
  std::set<ServiceName> probeable_;  ///< Services whose servers have a health path.
  Instant first_applied_at_{};       ///< When this gateway received its first state.
  std::map<ServiceName, RequestCount> request_counts_;
  std::map<ServiceZone, Occupancy> occupancies_;
  /// Mean latency of a request by service, normalised to usual work time, in microseconds.
  std::map<ServiceName, double> usual_us_;
};

}  // namespace graniteseam::gateway
