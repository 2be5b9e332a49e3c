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

/// The waiters of one leader in one term. The entry at an index is the waiter's own only as long as
/// the term has not changed, so all are dropped when it does. Not thread safe.
class PendingRequests {
 public:
  void Add(LogIndex index, const Waiter& waiter) { waiters_[index] = waiter; }

  /// Takes out who waits for an entry.
  std::optional<Waiter> Take(LogIndex index) {
    const auto found = waiters_.find(index);
    if (found == waiters_.end()) return std::nullopt;
    const Waiter waiter = found->second;
    waiters_.erase(found);
    return waiter;
  }

  /// Takes out all, in the order of the log.
  std::vector<Waiter> TakeAll() {
    std::vector<Waiter> all;
    for (const auto& [index, waiter] : waiters_) all.push_back(waiter);
    waiters_.clear();
    return all;
  }

  /// Forgets a router's batches, whose connection is gone.
  void Drop(std::uint64_t connection) {
    std::erase_if(waiters_, [&](const auto& entry) {
      const auto* router = std::get_if<WaitingRouter>(&entry.second);
      return router != nullptr && router->connection == connection;
    });
  }

 private:
  std::map<LogIndex, Waiter> waiters_;
};

}  // namespace graniteseam::control
