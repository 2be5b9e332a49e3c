/// @file
/// Makes attempts at servers as docs/interface/servers.md says.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "graniteseam/common/time.h"
#include "graniteseam/routing/messages.h"
#include "src/http/tls.h"
#include "src/http/upstream_pool.h"

namespace graniteseam::http {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// What of a caller's request goes to a server, the same in each attempt.
struct ForwardedRequest {
  std::string method;
  std::string target;  ///< Path and query as the caller sent them.
  HeaderList headers;  ///< Group, key and the like; the attempt's own headers are added.
  std::string body;
};

/// How an attempt ended, with the answer when it counts.
struct UpstreamAnswer {
  routing::AttemptResult result;
  HeaderList headers;
  std::string body;
};

struct UpstreamOptions {
  Duration connect_maximum{1'000'000};
  std::size_t answer_bytes_maximum = std::size_t{16} << 20;
  std::shared_ptr<TlsContext> tls;  ///< Null for plain HTTP, which only loopback addresses get.
};

/// Runs attempts over pooled connections, each carrying one request at a time.
///
/// Invariants: an answer counts only when it is whole and echoes the attempt id; after anything
/// else its connection is closed and never used again; an attempt is sent at most once. Thread
/// safe.
class UpstreamClient {
 public:
  explicit UpstreamClient(UpstreamOptions options = {}) : options_(std::move(options)) {}

  /// Announces an attempt, so that it can be cancelled before it starts.
  void Announce(routing::AttemptNumber attempt);
  /// Makes an announced attempt; blocks until its end.
  UpstreamAnswer Run(const routing::AttemptSend& send, const ForwardedRequest& request);
  /// Forgets an announced attempt that will not be made.
  void Forget(routing::AttemptNumber attempt) { Detach(attempt); }
  /// Ends an announced attempt from any thread; does nothing once it ended.
  void Cancel(routing::AttemptNumber attempt);

  void Reap(Instant now) { pool_.Reap(now); }
  std::size_t idle_connections() const { return pool_.size(); }
  /// Attempts announced and not ended.
  std::size_t attempts();

 private:
  /// An announced attempt: where it is, and whether it is still wanted.
  struct Attempt {
    UpstreamConnection* connection = nullptr;
    bool cancelled = false;
  };
  struct Shard {
    std::mutex mutex;
    std::unordered_map<routing::AttemptNumber, Attempt> attempts;  ///< Guarded by mutex.
  };
  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(routing::AttemptNumber attempt) { return shards_[attempt % kShards]; }
  bool Attach(routing::AttemptNumber attempt, UpstreamConnection& connection);
  /// Lets go of the connection; the attempt goes on.
  void Release(routing::AttemptNumber attempt);
  /// Ends the attempt.
  /// @return whether it was cancelled.
  bool Detach(routing::AttemptNumber attempt);
  std::unique_ptr<UpstreamConnection> Open(const routing::AttemptSend& send) const;
  /// @return false when nothing was sent.
  bool Exchange(const routing::AttemptSend& send, const ForwardedRequest& request,
                std::unique_ptr<UpstreamConnection> connection, UpstreamAnswer& answer);

  UpstreamOptions options_;
  UpstreamPool pool_;
  std::array<Shard, kShards> shards_;
};

}  // namespace graniteseam::http
