/// @file
/// Callers who send requests and resend what they got no answer for, and operators who roll
/// bundles, move shards, drain servers and replace lost disks.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulation/simulator/fleet.h"

namespace graniteseam::simulation {

/// Callers in all zones.
class Callers {
 public:
  Callers(World& world, Fleet& fleet) : world_(world), fleet_(fleet) {}

  /// Sends requests at random instants from now on.
  void Start();

  std::uint64_t answered() const { return answered_; }
  /// Requests answered since the last call, by service: to see that work is done.
  std::map<std::string, std::uint64_t> TakeAnswered() { return std::exchange(answered_by_, {}); }

 private:
  /// One operation or request of a caller, with its resends.
  struct Intent {
    std::string service;
    std::string key;
    std::string operation;
    std::uint32_t zone = 0;
    std::uint32_t tries = 0;
    bool done = false;
  };

  void SendNext();
  void Submit(const std::shared_ptr<Intent>& intent);
  void OnAnswer(const std::shared_ptr<Intent>& intent, const CallerAnswer& answer);
  void ResendLater(const std::shared_ptr<Intent>& intent);
  std::string NewOperation();

  World& world_;
  Fleet& fleet_;
  std::uint64_t last_submission_ = 0;
  std::uint64_t answered_ = 0;
  std::map<std::string, std::uint64_t> answered_by_;
};

/// Operators; each request is sent again until it is answered.
class Operators {
 public:
  Operators(World& world, Fleet& fleet) : world_(world), fleet_(fleet) {}

  /// Rolls the first bundle, then works at random until Rest().
  void Start();
  void Rest() { resting_ = true; }

  /// Two operators submit, sign and roll bundles of the same, next version.
  void RaceBundles();
  void MoveSomeShard();
  void DrainSomeServer();

  /// Disks that were lost and are not yet replaced by a voter on a new one.
  std::size_t lost_disks() const { return lost_disks_.size(); }
  bool AwaitsDisk(std::uint32_t control) const { return lost_disks_.contains(control); }
  void OnDiskLost(std::uint32_t control) { lost_disks_[control] = {}; }

 private:
  using Handler = std::function<void(const control::OperatorAnswer&)>;
  /// A replacement that the leader has in its membership, but that may not be committed.
  struct Replacement {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
  };

  void Work();
  void RollBundle(std::uint64_t version, std::uint32_t variant);
  /// Asks until an answer other than "not the leader" or "unavailable" comes.
  void AskUntilAnswered(const control::OperatorRequest& request, const Handler& handler,
                        std::uint32_t tries = 0);
  void ReplaceDisks();
  void ReplaceDisk(ControlProcess& leader, std::uint32_t control, Replacement& replacement);

  World& world_;
  Fleet& fleet_;
  bool resting_ = false;
  std::uint64_t last_version_ = 0;
  std::set<std::string> drained_;
  std::map<std::uint32_t, Replacement> lost_disks_;
};

}  // namespace graniteseam::simulation
