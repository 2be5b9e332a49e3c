/// @file
/// Connections to servers that wait for their next request.
#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "graniteseam/common/time.h"
#include "src/http/upstream_connection.h"

namespace graniteseam::http {

/// Keeps idle connections by address. A thread gets the connection that it used last if it can:
/// then the server's thread at its other end tends to run nearby, and the two need not wait for
/// other processors. Else the one used last is taken, so that those not needed grow old. Thread
/// safe.
class UpstreamPool {
 public:
  /// @param idle_maximum how long a connection waits at most; shorter than the 30 s for which
  ///     servers keep one open (docs/interface/servers.md), so that it is rarely closed under a
  ///     request.
  explicit UpstreamPool(Duration idle_maximum = Duration{10'000'000}) : idle_(idle_maximum) {}

  /// Takes an idle connection that is open and silent; nullptr when there is none.
  std::unique_ptr<UpstreamConnection> Take(const std::string& address, Instant now);
  /// Keeps a connection for the next request.
  void Keep(const std::string& address, std::unique_ptr<UpstreamConnection> connection,
            Instant now);
  /// Closes connections that waited too long.
  void Reap(Instant now);
  std::size_t size() const;

 private:
  static constexpr std::size_t kIdlePerAddressMaximum = 256;
  struct Idle {
    std::unique_ptr<UpstreamConnection> connection;
    Instant since;
    std::thread::id user;  ///< Who used it last.
  };

  const Duration idle_;
  mutable std::mutex mutex_;
  std::unordered_map<std::string, std::vector<Idle>> by_address_;  ///< Guarded by mutex_.
};

}  // namespace graniteseam::http
