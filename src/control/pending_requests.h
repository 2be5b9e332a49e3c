/// @file
/// Requests that wait for a log entry to be applied: operators' changes and routers' journal
/// batches.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/control/operator_messages.h"

namespace graniteseam::control {

/// An operator's change or an instance's heartbeat whose command was proposed.
struct WaitingOperator {
  std::uint64_t request = 0;
  std::optional<ReportInstance> heartbeat;
};

/// A router's journal batch whose command was proposed.
struct WaitingRouter {
  std::uint64_t connection = 0;
  std::uint64_t sequence = 0;
};

/// The requester that is answered when its entry is applied.
using Waiter = std::variant<WaitingOperator, WaitingRouter>;

/// The waiters of one leader.
///
/// Invariant: a waiter is answered only by the entry that was proposed for it, identified by its
/// index and term (Ongaro and Ousterhout 2014, section 5.3). Guards against a former leader that
/// applies the next leader's entry at the same index before it has detected the loss of its
/// leadership. Not thread safe.
class PendingRequests {
 public:
  /// Adds the waiter of the entry that was proposed at an index in a term.
  void Add(LogIndex index, Term term, const Waiter& waiter) { waiters_[index] = {term, waiter}; }

  /// Removes and returns the waiter of an entry; nullopt when the entry at the index is of another
  /// term.
  std::optional<Waiter> Take(LogIndex index, Term term) {
    const auto found = waiters_.find(index);
    if (found == waiters_.end() || found->second.term != term) return std::nullopt;
    const Waiter waiter = found->second.waiter;
    waiters_.erase(found);
    return waiter;
  }

  /// Removes and returns all waiters in log order.
  std::vector<Waiter> TakeAll() {
    std::vector<Waiter> all;
    for (const auto& [index, proposed] : waiters_) all.push_back(proposed.waiter);
    waiters_.clear();
    return all;
  }

  /// Removes the batches of a router whose connection was closed.
  void Drop(std::uint64_t connection) {
    std::erase_if(waiters_, [&](const auto& entry) {
      const auto* router = std::get_if<WaitingRouter>(&entry.second.waiter);
      return router != nullptr && router->connection == connection;
    });
  }

 private:
  struct Proposed {
    Term term;
    Waiter waiter;
  };
  std::map<LogIndex, Proposed> waiters_;
};

}  // namespace graniteseam::control
