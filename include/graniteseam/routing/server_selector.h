/// @file
/// Load balancing among the servers of one service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/control/router_messages.h"
#include "graniteseam/routing/concurrency_window.h"
#include "graniteseam/routing/messages.h"
#include "graniteseam/routing/outlier_detector.h"
#include "graniteseam/routing/slow_start.h"

namespace graniteseam::routing {

/// Settings of server selection.
struct SelectorOptions {
  OutlierOptions outlier;
  SlowStart slow_start;
  Duration hint_lifetime{3'000'000};      ///< A load hint's weight falls linearly to 0 at this age.
  Duration latency_half_life{4'000'000};  ///< Without answers, a server's latency estimate decays
                                          ///< to the pool's, so that a slow server is retried.
  double hint_weight = 0.5;  ///< A fresh hint of 1.0 raises the score by this fraction.
};

/// Chooses the best of four servers drawn at random (the power of two choices, Mitzenmacher 2001)
/// by the router's own measurements: its requests in flight at the server times the smoothed answer
/// latency. Load hints only break near ties and expire. Outliers are excluded, new servers get a
/// slow start, and each server has a concurrency window. Not thread safe; deterministic for a
/// given seed.
class ServerSelector {
 public:
  ServerSelector(SelectorOptions options, std::uint64_t seed);

  /// Sets the service's servers to those in the map. The record of a removed server is kept until
  /// its last request has ended.
  void Update(const std::vector<const control::ServerEntry*>& servers, std::uint32_t window_maximum,
              Instant now);

  /// Chooses a server with a free slot for a pooled request.
  /// @param avoided servers to use only when no other is eligible.
  std::optional<ServerId> Choose(const std::vector<ServerId>& avoided, Instant now);

  /// Free slots of all eligible servers together.
  std::size_t PoolAvailableSlots(Instant now) const;
  /// Free slots of one server; 0 when it is unknown.
  std::size_t AvailableSlotsAt(const ServerId& server, Instant now) const;
  /// The server's admission lane, stable while the server has a record; 0 when it is unknown.
  std::uint32_t LaneOf(const ServerId& server) const;
  /// The server of this lane, or nullptr.
  const ServerId* ServerOfLane(std::uint32_t lane) const;
  /// Whether new work may go to the server.
  bool AcceptsNewWork(const ServerId& server) const;
  bool HasServer(const ServerId& server) const { return servers_.contains(server); }
  const std::string& AddressOf(const ServerId& server) const;

  /// Whether a server has been draining for so long that it must get no new request. A keyed server
  /// keeps its shards until they have moved, which takes long while the control group has no
  /// leader; their requests then wait for the next owner.
  bool DrainedForLong(const ServerId& server, Instant now) const;

  /// Records that the server list was confirmed by control at `now`. A change in the next update
  /// may have occurred at any time since.
  void Confirm(Instant now) { confirmed_at_ = now; }

  /// Takes a slot at a server, before the request is sent.
  void Reserve(const ServerId& server);
  /// Releases the slot of a request that was never sent or was abandoned.
  void Unreserve(const ServerId& server);
  /// Releases the attempt's slot and updates the server's statistics.
  void OnEnd(const ServerId& server, AttemptEnd end, int status, Duration latency, Instant now);

  /// Estimated capacity in concurrent requests: the sum of the window sizes of the servers that
  /// accept new work.
  double Capacity() const;
  /// Latency that few answers exceed: mean plus four mean deviations, as in RFC 6298; nullopt while
  /// there are too few samples.
  std::optional<Duration> SlowAnswerThreshold() const;
  std::size_t EjectedCount(Instant now) const { return outliers_.EjectedCount(now); }
  std::size_t size() const { return order_.size(); }

 private:
  struct Server {
    Server(const ServerId& server_id, std::uint32_t lane_number, std::uint32_t window_maximum)
        : id(server_id), lane(lane_number), window(window_maximum) {}
    ServerId id;
    std::uint32_t lane;
    ConcurrencyWindow window;
    std::string address;
    bool listed = true;
    bool listed_before = false;
    bool accepts_new_work = true;
    double latency_us = 0.0;
    Instant latency_at{};
    double hint = 0.0;
    Instant hint_at{};
    Instant since{};
    Instant drained_since{};  ///< Earliest possible start of the drain.
  };

  Server* Find(const ServerId& server) const;
  void Insert(const control::ServerEntry& entry, std::uint32_t window_maximum, Instant now);
  void DropIfIdle(Server& server);
  bool IsEligible(const Server& server, Instant now) const;
  double Score(const Server& server, Instant now) const;
  Server* ChooseAmongAll(const std::vector<ServerId>& avoided, Instant now) const;
  /// Weight in [0, 1] of the server's own latency estimate against the pool's; decays with its age.
  double LatencyWeight(const Server& server, Instant now) const;
  double LatencyNow(const Server& server, Instant now) const;
  void UpdateLatency(Server& server, Duration latency, Instant now);

  SelectorOptions options_;
  OutlierDetector outliers_;
  std::unordered_map<ServerId, std::unique_ptr<Server>> servers_;
  std::vector<Server*> order_;  ///< Listed servers, in the map's order.
  std::unordered_map<std::uint32_t, Server*> lanes_;
  std::uint32_t last_lane_ = 0;
  std::uint64_t random_;
  double latency_us_ = 0.0;  ///< Smoothed over all answers of the service.
  double deviation_us_ = 0.0;
  std::uint64_t answers_ = 0;
  Instant confirmed_at_{};
};

}  // namespace graniteseam::routing
