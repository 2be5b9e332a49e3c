/// @file
/// What a gateway knows of the servers: who there is, what they carry, and how they did lately.
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

struct BackendOptions {
  ZoneName zone;  ///< Of this gateway.
  /// Part of the target latency that a server of another zone must save to be preferred: bytes
  /// between zones cost, and an answer within its target is worth no more for being sooner.
  double cross_zone_part = 0.25;
  Duration first_latency{80'000};  ///< Taken for a server that has not answered yet.
  Duration ejection{1'000'000};    ///< After failures in a row; doubles up to ejection_maximum.
  Duration ejection_maximum{4'000'000};
  int failures_to_eject = 2;
  /// An owner of keys that failed so often in a row is left alone for about this part of its
  /// latency, twice as long after each further failure.
  double pause_part = 1.0;
  Duration pause_maximum{2'000'000};
  /// How long the owner of keys that drains still gets their requests, while they find their next.
  Duration drain_allowance{1'000'000};
  /// The same of an owner whose zone is drained. Hundreds of owners' keys move together then, and
  /// control paces them. Long enough for that, and short enough that the last request is with its
  /// owner in the 5 s after which a drained zone is to get none.
  Duration zone_drain_allowance{3'500'000};
  /// Requests a second that an instance of a pool may get from all gateways while it warms up; 0:
  /// no bound, and it is only taken for slower.
  double warm_up_requests_per_second = 0;
  /// For which an instance whose zone is taken back counts as warming up whatever it says: its
  /// next heartbeats may have been sent before it became cold.
  Duration taken_back_warm_up{1'500'000};
  /// Targets by which a server that fails all requests is taken for slower: a failure costs all
  /// that an answer is worth, so that a long wait elsewhere is better.
  double failure_targets = 4.0;
  /// With which the memory of failures fades, so that a server is tried again. As long as the
  /// ejection of one that breaks connections.
  Duration failure_memory{4'000'000};
  double cold_factor = 2.0;      ///< By which a server that warms up is taken for slower.
  double waiting_maximum = 2.0;  ///< Requests for each slot that may wait at a server.
  /// Requests that each server of a service must get from this gateway on the average within
  /// visits_memory for what this gateway saw of them to say which one is best. With fewer, all
  /// gateways would go by the same hints to the same few.
  double visits_to_know = 2.0;
  Duration visits_memory{10'000'000};
};

/// One server with what was seen of it.
struct Backend {
  traffic::Instance instance;
  Instant warm_at{};
  Instant warm_at_earliest{};   ///< Whatever it says.
  Instant drained_since{};      ///< At the earliest; while it takes no new work.
  std::uint32_t in_flight = 0;  ///< Of this gateway.
  double others = 0;            ///< Of other gateways, as last reported.
  Instant others_at{};          ///< When it last told of its load.
  /// How long work took there when it last told, in percent of what is usual; not told by all.
  std::optional<double> work_percent;
  double latency_us = 0;  ///< Mean time of one request that did not wait.
  bool latency_known = false;
  double hinted_latency_us = 0;  ///< As all gateways saw it; 0 when not told.
  traffic::InstanceSpeed speed;  ///< Since it was last told.
  int failures = 0;              ///< In a row.
  double failing = 0;            ///< Mean part of answers that told of a failure, as of failing_at.
  Instant failing_at{};
  Duration ejection{};
  Instant ejected_until{};
  Instant paused_until{};  ///< As the owner of keys, for which there is no other server.
};

/// Chooses servers by the shortest wait to expect. Deterministic under its seed; not thread safe;
/// `now` never goes back.
class BackendTable {
 public:
  using Backends = std::vector<const Backend*>;

  BackendTable(BackendOptions options, std::uint64_t seed);

  /// Takes an update's instances; one with base 0 replaces all, keeping what was seen of those that
  /// stay.
  void Apply(const traffic::TrafficUpdate& update, Instant now);

  /// Takes how many connections servers accept, by service, and how many gateways share them.
  void ShareConnections(const std::map<ServiceName, traffic::Service>& services,
                        std::uint32_t gateways);

  /// The instances of a service, by their ids.
  std::vector<traffic::InstanceId> Listed(const ServiceName& service) const {
    const auto listed = services_.find(service);
    return listed == services_.end() ? std::vector<traffic::InstanceId>{} : listed->second;
  }

  /// Tells that what is known is all that was true at an instant. What the next update says may
  /// have become true any time from then on.
  void Confirm(Instant at) { confirmed_at_ = std::max(confirmed_at_, at); }

  /// Takes this gateway's place among all, by which instances that warm up are shared.
  void SetPlace(const GatewayPlace& place) { warm_ups_.set_place(place); }

  /// Takes what all gateways together saw.
  void TakeHints(const std::vector<traffic::InstanceHint>& hints, Instant now);

  const Backend* Find(const traffic::InstanceId& id) const;
  /// Whether a server has been without new work, or said that it leaves, for so long that its
  /// promise to get none is due.
  bool DrainedForLong(const Backend& backend, Instant now) const;

  /// The server of a service with the shortest wait to expect, without those in `tried`; one drawn
  /// by its speed where this gateway meets them too rarely to know.
  /// @param target within which an answer is worth most.
  /// @return nullptr when none takes new work.
  const Backend* Choose(const ServiceName& service, const std::vector<traffic::InstanceId>& tried,
                        Duration target, Instant now);

  /// Servers to ask for their load before a request is sent: drawn by their speeds, the last one
  /// from another zone, so that a zone which is fuller than others is found out.
  /// @return none where an instance that warms up is to get the request, or there is no choice.
  Backends Draw(const ServiceName& service, const std::vector<traffic::InstanceId>& tried,
                std::size_t count, Instant now);
  /// Of servers that were asked, the one that would answer first, by what they just told.
  /// @return nullptr when none of them answered and has room.
  const Backend* Soonest(const std::vector<traffic::InstanceId>& asked, Duration target,
                         Instant now) const;
  /// Takes what came of asking a server.
  void OnProbed(const ProbeReport& report, Instant now);

  /// Whether a request that is sent now may still be answered within its target: otherwise it waits
  /// here, where it can be refused early and where nobody resets it for a full queue.
  bool HasRoom(const Backend& backend, Duration target, Instant now) const;
  /// Whether a request that is sent now would find a free slot, by the best guess.
  bool HasFreeSlot(const Backend& backend, Instant now) const;
  /// Requests that are at a server at present, by the best guess.
  double LoadOf(const Backend& backend, Instant now) const;

  void OnSent(const traffic::InstanceId& id, Instant now);
  /// @param taken from sending to the end.
  void OnEnded(const traffic::InstanceId& id, const AttemptReport& report, Duration taken,
               Instant now);
  void OnAbandoned(const traffic::InstanceId& id);

  /// Why this gateway may send a server no request now, by what the server states of those that it
  /// takes; nullopt when it may.
  std::optional<RefusalReason> Bar(const Backend& backend, Instant now) const;
  BackPressureTable& pressure() { return pressure_; }
  const BackPressureTable& pressure() const { return pressure_; }

  /// Speeds of servers that were seen since they were last taken.
  /// @param all false: only of those that failed meanwhile, which control should know at once.
  std::vector<traffic::InstanceSpeed> TakeSpeeds(bool all);

  /// "load 2.1 of 2, word 120 ms old, latency 61 ms" for the log.
  std::string Describe(const Backend& backend, Instant now) const;

 private:
  /// What this gateway sent to a service lately.
  struct Visits {
    double fading = 0;
    Instant at{};
    Instant since{};
  };
  /// Requests for each slot at the servers of a zone, as their answers told lately.
  struct Occupancy {
    double mean = 0;
    Instant at{};
  };
  struct ServiceZone {
    ServiceName service;
    ZoneName zone;
    auto operator<=>(const ServiceZone&) const = default;
  };

  /// Lists an instance by its service, one at a time: an update of a few must not go over ten
  /// thousand.
  /// @param listed whether `backend`, as it was, is.
  void List(const Backend& backend, bool listed, const traffic::Instance& next);
  void Unlist(const Backend& backend);
  void Remove(const traffic::InstanceId& id);
  /// Takes what control says of an instance's warm-up.
  void FollowWarmUp(Backend& backend, const traffic::Instance& next, bool fresh, Instant now);
  /// Whether the owner of keys said so long ago that it leaves that it is to get no more requests.
  bool LeftForLong(const traffic::InstanceId& id, Instant now) const;
  /// Whether this gateway may send a server a request now, as far as its warm-up goes; also of one
  /// that has just told a probe that it turned cold.
  bool WarmUpAdmits(const Backend& backend, Instant now) const;
  static bool IsWarmingUp(const Backend& backend, Instant now) { return now < backend.warm_at; }

  /// Whether this gateway meets each server of a service often enough to know how it does.
  bool KnowsServers(const ServiceName& service, std::size_t servers, Instant now) const;
  /// The servers of a service that a request may go to.
  struct Choice {
    Backends usable;
    /// One that may get a single request from this gateway now: it warms up, or names a limit.
    const Backend* rare = nullptr;
    /// Where nothing is usable: one at which this gateway has all its connections, or else the
    /// ejected one that is tried again first.
    const Backend* last_resort = nullptr;
  };
  Choice ChoiceOf(const ServiceName& service, const std::vector<traffic::InstanceId>& tried,
                  Instant now) const;
  /// Time until a server that told of its load just now would have answered a further request.
  double CompletionMicros(const Backend& backend, Duration target, Instant now) const;
  /// Takes the time of a request for what is usual in its service.
  void NoteUsualTime(const Backend& backend, Duration taken, Instant now);
  const Backend* Shortest(const Backends& usable, Duration target, Instant now);
  /// Draws from the own zone, from all while that zone's servers are full.
  const Backend* DrawWithRoom(const Backends& usable, Instant now);
  /// One of `backends`, each as probable as it is fast, so that all get the same load for their
  /// speed; there must be one.
  const Backend* DrawOne(const Backends& backends, Instant now);
  /// The best known latency of a server that is to be drawn; nullopt when there is none.
  static std::optional<double> LatencyToDrawBy(const Backend& backend);
  /// Requests for each slot at a zone's servers, by their words of the last seconds; 0 when
  /// unknown.
  double OccupancyOf(const ServiceZone& place, Instant now) const;
  double ExpectedMicros(const Backend& backend, Duration target, Instant now) const;
  /// What weighs against a server beside its time: bytes between zones, and that it fails.
  double PenaltyMicros(const Backend& backend, Duration target, Instant now) const;
  /// Part of the next requests that a server is taken to fail.
  double FailingPart(const Backend& backend, Instant now) const;
  void NoteOutcome(Backend& backend, bool failed, Instant now) const;
  void TakeLoad(Backend& backend, const ReportedLoad& load, Instant now);
  /// Whether an attempt ended without a whole answer of the server that was meant.
  bool Unreached(const Backend& backend, const AttemptReport& report) const;
  void Fail(Backend& backend, Instant now);
  /// Requests that this gateway may have at one server of a service at once.
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
  std::map<ServiceName, Visits> visits_;
  std::map<ServiceZone, Occupancy> occupancies_;
  /// Mean time of a request, by service, as it would be where work takes as long as usual.
  std::map<ServiceName, double> usual_us_;
};

}  // namespace graniteseam::gateway
