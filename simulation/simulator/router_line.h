/// @file
/// One connection between a router and a control process: in order, nothing twice, held back while
/// the network is cut, broken by either end's death.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "simulation/simulator/process.h"

namespace graniteseam::simulation {

/// Not thread safe.
class RouterLine {
 public:
  RouterLine(World& world, Process& router, Process& control)
      : world_(world), router_(router), control_(control) {}

  bool up() const { return up_; }
  std::uint64_t connection() const { return connection_; }

  void Open(std::uint64_t connection) {
    up_ = true;
    connection_ = connection;
    router_start_ = router_.starts();
    control_start_ = control_.starts();
    to_router_.clear();
    to_control_.clear();
  }
  void Close() { up_ = false; }
  /// Whether both ends still run as they did when it was opened.
  bool EndsAlive() const {
    return router_.alive() && control_.alive() && router_.starts() == router_start_ &&
           control_.starts() == control_start_;
  }
  bool NetworkWhole() const {
    return world_.Connected(router_.name(), control_.name()) &&
           world_.Connected(control_.name(), router_.name());
  }

  void ToControl(std::function<void()> deliver) { Add(to_control_, control_, std::move(deliver)); }
  void ToRouter(std::function<void()> deliver) { Add(to_router_, router_, std::move(deliver)); }

 private:
  using Waiting = std::deque<std::function<void()>>;
  static constexpr Duration kResendInterval{50'000};

  void Add(Waiting& waiting, Process& to, std::function<void()> deliver) {
    if (!up_) return;
    waiting.push_back(std::move(deliver));
    world_.queue.After(world_.Delay(), [this, &waiting, &to, connection = connection_] {
      Pump(waiting, to, connection);
    });
  }
  /// Delivers one message; each message brings one call, so that all are delivered in order.
  void Pump(Waiting& waiting, Process& to, std::uint64_t connection) {
    if (!up_ || connection != connection_ || waiting.empty()) return;
    if (!NetworkWhole()) {
      world_.queue.After(kResendInterval,
                         [this, &waiting, &to, connection] { Pump(waiting, to, connection); });
      return;
    }
    auto deliver = std::move(waiting.front());
    waiting.pop_front();
    if (EndsAlive()) to.Deliver(std::move(deliver));
  }

  World& world_;
  Process& router_;
  Process& control_;
  bool up_ = false;
  std::uint64_t connection_ = 0;
  std::uint64_t router_start_ = 0;
  std::uint64_t control_start_ = 0;
  Waiting to_router_;
  Waiting to_control_;
};

}  // namespace graniteseam::simulation
