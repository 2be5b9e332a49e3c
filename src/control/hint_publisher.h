/// @file
/// Determines which hints the leader publishes to routers, and when.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "src/control/instance_health_tracker.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Combines the hints about instances, hot keys and limits, and publishes changes only. Exists for
/// one leadership. Not thread safe; `now` must not decrease.
class HintPublisher {
 public:
  explicit HintPublisher(const traffic::TrafficState& state) : state_(state) {}

  /// Records the instance measurements of a router's poll.
  void TakePoll(const traffic::TrafficPoll& poll, Instant now);

  /// Whether Evaluate() is due.
  bool IsDue(Instant now) const { return now >= evaluation_due_; }
  /// The hints to be sent to all routers now; nullopt when there are none.
  /// @param hot keys that are hot at present.
  /// @param limits changed limits of instances.
  std::optional<traffic::TrafficHints> Evaluate(const std::vector<traffic::HotKey>& hot,
                                                Instant now,
                                                std::vector<traffic::InstanceLimit> limits = {});
  /// All current hints, for a router that has received none yet.
  traffic::TrafficHints All(Instant now) const;

 private:
  /// The last published hint about a hot key.
  struct PublishedHint {
    double admitted = 1;
    Instant at{};
  };

  bool IsPoolInstance(const traffic::InstanceId& id) const;
  void AddHotKeyHint(const traffic::HotKey& hot, std::vector<traffic::HotKey>& hints, Instant now);
  /// Adds hints that end those of keys which are no longer hot.
  void AddEndedHotKeyHints(const std::vector<traffic::HotKey>& hot,
                           std::vector<traffic::HotKey>& hints);

  const traffic::TrafficState& state_;
  InstanceHealthTracker health_;
  std::map<ServiceName, std::map<std::uint32_t, PublishedHint>> hot_keys_;
  Instant evaluation_due_{};
};

}  // namespace graniteseam::control
