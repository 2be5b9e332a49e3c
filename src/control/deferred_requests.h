/// @file
/// What was asked of a leader while its lease had lapsed for a moment.
#pragma once

#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

#include "graniteseam/control/operator_messages.h"
#include "graniteseam/control/router_messages.h"

namespace graniteseam::control {

struct DeferredOperatorRequest {
  std::uint64_t request = 0;
  OperatorRequest command;
};

struct DeferredPoll {
  std::uint64_t connection = 0;
  traffic::TrafficPoll poll;
};

using Deferred = std::variant<DeferredOperatorRequest, DeferredPoll>;

/// Waits with its leader: either the quorum's next answers bring the lease back, or the leader
/// steps down within the longest election timeout, and each is told so.
///
/// Whoever was told "not leader" instead asked all other processes, which named this one: with 285
/// routers a lapse of 20 ms brought a thousand messages a second, which made the next lease lapse
/// too. Renewals and journal batches are not deferred: their routers date them from their first
/// send and act on them once, so that they had better ask anew. Bounded; not thread safe.
class DeferredRequests {
 public:
  bool full() const { return waiting_.size() >= kMaximum; }
  bool empty() const { return waiting_.empty(); }
  void Add(Deferred deferred) { waiting_.push_back(std::move(deferred)); }
  std::vector<Deferred> TakeAll() { return std::exchange(waiting_, {}); }

  /// Forgets the polls of a router whose connection is gone.
  void Drop(std::uint64_t connection) {
    std::erase_if(waiting_, [&](const Deferred& deferred) {
      const auto* asked = std::get_if<DeferredPoll>(&deferred);
      return asked != nullptr && asked->connection == connection;
    });
  }

 private:
  /// Several times what a fleet of 1,100 processes asks within the longest election timeout.
  static constexpr std::size_t kMaximum = 4'096;

  std::vector<Deferred> waiting_;
};

}  // namespace graniteseam::control
