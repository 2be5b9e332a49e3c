/// @file
/// The servers of one service as a router sees them, and the choice among them.
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

struct SelectorOptions {
  OutlierOptions outlier;
  SlowStart slow_start;
  Duration hint_lifetime{3'000'000};      ///< A load hint counts less and less until this age.
  Duration latency_half_life{4'000'000};  ///< Without answers a server's latency tends to the
                                          ///< pool's, so that a slow one is tried again.
  double hint_weight = 0.5;  ///< A fresh hint of 1.0 makes a server look this much busier.
};

/// Chooses the best of a few servers drawn at random (the power of two choices, Mitzenmacher 2001,
/// here of four) by what the router itself saw: its requests in flight there times the smoothed
/// answer time. Hints only break near ties, and age
/// out. Outliers are left out, new servers start slowly, and each server has a concurrency window.
/// Not thread safe; deterministic under its seed.
class ServerSelector {
 public:
  ServerSelector(SelectorOptions options, std::uint64_t seed);

  /// Takes the servers that the map names for the service. One that is gone keeps its record until
  /// its last request ended.
  void Update(const std::vector<const control::ServerEntry*>& servers, std::uint32_t window_maximum,
              Instant now);

  /// Chooses a server with room for a pooled request.
  /// @param avoided servers to leave out while there is another.
  std::optional<ServerId> Choose(const std::vector<ServerId>& avoided, Instant now);

  /// Free places of all servers that may be chosen.
  std::size_t PoolAvailableSlots(Instant now) const;
  /// Free places at one server; 0 when it is unknown.
  std::size_t AvailableSlotsAt(const ServerId& server, Instant now) const;
  /// A number for the server that stays the same while it is known; never 0.
  std::uint32_t LaneOf(const ServerId& server) const;
  /// The server with this number, or nullptr.
  const ServerId* ServerOfLane(std::uint32_t lane) const;
  /// Whether new work may go to the server.
  bool AcceptsNewWork(const ServerId& server) const;
  bool HasServer(const ServerId& server) const { return servers_.contains(server); }
  const std::string& AddressOf(const ServerId& server) const;

  /// Whether a server has been without new work for so long that its promise is due. A keyed server
  /// keeps its shards until they have moved, which takes long where no control process leads; by
  /// then their requests have to wait for the next owner.
  bool DrainedForLong(const ServerId& server, Instant now) const;

  /// Tells that control was heard: what is known of the servers is as of now. What the next update
  /// says may have become true any time from here on.
  void Confirm(Instant now) { confirmed_at_ = now; }

  /// Takes a place at a server, before the request is sent.
  void Reserve(const ServerId& server);
  /// Gives a place back whose request was never sent, or is not awaited any more.
  void Unreserve(const ServerId& server);
  /// Gives a place back and learns from how the attempt ended.
  void OnEnd(const ServerId& server, AttemptEnd end, int status, Duration latency, Instant now);

  /// The concurrent requests that the servers took, as their windows found out.
  double Capacity() const;
  /// A time after which most answers have come: mean plus four mean deviations (RFC 6298's rule).
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
    Instant drained_since{};  ///< At the earliest; while it takes no new work.
  };

  Server* Find(const ServerId& server) const;
  void Insert(const control::ServerEntry& entry, std::uint32_t window_maximum, Instant now);
  void DropIfIdle(Server& server);
  bool IsEligible(const Server& server, Instant now) const;
  double Score(const Server& server, Instant now) const;
  Server* ChooseAmongAll(const std::vector<ServerId>& avoided, Instant now) const;
  /// The part of a server's latency that is not forgotten yet.
  double LatencyWeight(const Server& server, Instant now) const;
  double LatencyNow(const Server& server, Instant now) const;
  void UpdateLatency(Server& server, Duration latency, Instant now);

  SelectorOptions options_;
  OutlierDetector outliers_;
  std::unordered_map<ServerId, std::unique_ptr<Server>> servers_;
  std::vector<Server*> order_;  ///< The listed ones, in the map's order.
  std::unordered_map<std::uint32_t, Server*> lanes_;
  std::uint32_t last_lane_ = 0;
  std::uint64_t random_;
  double latency_us_ = 0.0;  ///< Smoothed over all answers of the service.
  double deviation_us_ = 0.0;
  std::uint64_t answers_ = 0;
  Instant confirmed_at_{};
};

}  // namespace graniteseam::routing
