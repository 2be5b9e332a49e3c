/// @file
/// Requests that arrive at a leader whose lease has lapsed temporarily.
#pragma once

#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

#include "graniteseam/control/operator_messages.h"
#include "graniteseam/control/router_messages.h"

namespace graniteseam::control {

/// An operator request that waits for the leader lease.
struct DeferredOperatorRequest {
  std::uint64_t request = 0;
  OperatorRequest command;
};

/// A router's poll that waits for the leader lease.
struct DeferredPoll {
  std::uint64_t connection = 0;
  traffic::TrafficPoll poll;
};

using Deferred = std::variant<DeferredOperatorRequest, DeferredPoll>;

/// Holds requests until the quorum's next answers renew the leader lease, or the leader steps down
/// within the longest election timeout and refuses each of them.
///
/// A sender that got "not leader" instead queried all other processes, which referred it back to
/// this one: with 285 routers a lapse of 20 ms caused a thousand messages a second, which made the
/// next lease lapse too. Renewals and journal batches are not deferred: routers measure them from
/// their first send and act on them once, so a new request is better. Bounded; not thread safe.
class DeferredRequests {
 public:
  bool full() const { return waiting_.size() >= kMaximum; }
  bool empty() const { return waiting_.empty(); }
  /// Must not be called when full().
  void Add(Deferred deferred) { waiting_.push_back(std::move(deferred)); }
  /// Removes and returns all requests, in the order of arrival.
  std::vector<Deferred> TakeAll() { return std::exchange(waiting_, {}); }

  /// Discards the polls of a closed connection.
  void Drop(std::uint64_t connection) {
    std::erase_if(waiting_, [&](const Deferred& deferred) {
      const auto* poll = std::get_if<DeferredPoll>(&deferred);
      return poll != nullptr && poll->connection == connection;
    });
  }

 private:
  /// Several times the number of requests that a fleet of 1,100 processes sends within the longest
  /// election timeout.
  static constexpr std::size_t kMaximum = 4'096;

  std::vector<Deferred> waiting_;
};

}  // namespace graniteseam::control
