/// @file
/// Who waits for which log entry: operators' changes and routers' journal batches.
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

/// An operator's change or an instance's heartbeat that was proposed.
struct WaitingOperator {
  std::uint64_t request = 0;
  std::optional<ReportInstance> heartbeat;
};

/// A router's journal batch that was proposed.
struct WaitingRouter {
  std::uint64_t connection = 0;
  std::uint64_t sequence = 0;
};

using Waiter = std::variant<WaitingOperator, WaitingRouter>;

/// The waiters of one leader.
///
/// Invariant: a waiter is answered only by the entry that was proposed for it, which its index and
/// its term name together (Ongaro and Ousterhout 2014, section 5.3). Answers the failure: a leader
/// takes the next leader's entry at that index before it has noticed that it leads no more. Not
/// thread safe.
class PendingRequests {
 public:
  void Add(LogIndex index, Term term, const Waiter& waiter) { waiters_[index] = {term, waiter}; }

  /// Takes out who waits for an entry; nobody waits for one of another term at the index.
  std::optional<Waiter> Take(LogIndex index, Term term) {
    const auto found = waiters_.find(index);
    if (found == waiters_.end() || found->second.term != term) return std::nullopt;
    const Waiter waiter = found->second.waiter;
    waiters_.erase(found);
    return waiter;
  }

  /// Takes out all, in the order of the log.
  std::vector<Waiter> TakeAll() {
    std::vector<Waiter> all;
    for (const auto& [index, proposed] : waiters_) all.push_back(proposed.waiter);
    waiters_.clear();
    return all;
  }

  /// Forgets a router's batches, whose connection is gone.
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
