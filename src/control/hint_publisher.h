/// @file
/// When the leader tells routers which hints.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "src/control/instance_health_tracker.h"
#include "src/traffic/traffic_state.h"

namespace graniteseam::control {

/// Belongs to one leadership. Not thread safe; `now` never goes back.
class HintPublisher {
 public:
  explicit HintPublisher(const traffic::TrafficState& state) : state_(state) {}

  void TakePoll(const traffic::TrafficPoll& poll, Instant now);

  /// Whether it is time to look for what is to be told.
  bool IsDue(Instant now) const { return now >= evaluation_due_; }
  /// What all routers should be told now.
  /// @param hot keys that are hot at present.
  /// @param limits of instances, those that changed.
  std::optional<traffic::TrafficHints> Evaluate(const std::vector<traffic::HotKey>& hot,
                                                Instant now,
                                                std::vector<traffic::InstanceLimit> limits = {});
  /// What a router should be told that was told nothing yet.
  traffic::TrafficHints All(Instant now) const;

 private:
  struct PublishedHint {
    double admitted = 1;
    Instant at{};
  };

  bool IsPoolInstance(const traffic::InstanceId& id) const;
  void AddHotKeyHint(const traffic::HotKey& hot, std::vector<traffic::HotKey>& hints, Instant now);
  /// Ends what was told of keys that are not hot any more.
  void AddEndedHotKeyHints(const std::vector<traffic::HotKey>& hot,
                           std::vector<traffic::HotKey>& hints);

  const traffic::TrafficState& state_;
  InstanceHealthTracker health_;
  std::map<ServiceName, std::map<std::uint32_t, PublishedHint>> hot_keys_;
  Instant evaluation_due_{};
};

}  // namespace graniteseam::control
