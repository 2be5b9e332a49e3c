/// @file
/// A stand-in for a server that registers itself: heartbeats, keys under fences by orders or by the
/// answers to heartbeats, requests that are run or refused as the interface says. Records what it
/// ran and what it held.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/daemon/control/owner_calls.h"
#include "src/daemon/gateway/exchange_names.h"
#include "src/runtime/socket_address.h"
#include "testbed/registered/answer_fault_proxy.h"
#include "testbed/registered/held_keys.h"
#include "testbed/registered/lagging_list.h"

namespace graniteseam::testbed {

/// What a worker states in its answers of the requests that it takes, in spans since its start.
struct WorkerStatements {
  double limit_per_second = 0;  ///< 0: it never names one.
  Duration limited_from{};
  Duration limited_until{};
  Duration rest{};  ///< Asked for with each request that it turns away.
  Duration turns_away_from{};
  Duration turns_away_until{};
  bool says_leaving = false;  ///< In each answer from Drain() or AnnounceLeaving() on.
};

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  bool keyed = false;
  bool leases = false;  ///< Of a keyed one: it takes no orders, keys come by heartbeat.
  std::vector<std::string> registries;  ///< "ip:port" of control processes.
  /// In place of `registries`, for control processes that others take the place of.
  std::shared_ptr<LaggingList const> registry_list{};
  daemon::ExchangeNames names;
  daemon::OwnerCallNames owner_names;
  runtime::SocketAddress address{"127.0.0.1", 0};  ///< Port 0: one that is free.
  Duration work{5'000};
  Duration heartbeat{200'000};
  Duration first_heartbeat{0};   ///< How long after its start.
  Duration warm_up{0};           ///< For which it warms up after its start.
  std::uint32_t late_every = 0;  ///< One heartbeat in so many is held up on its way; 0: none is.
  WorkerStatements statements{};
  /// Part of its requests that it rejects without running them; null: none. Shared with others.
  std::shared_ptr<std::atomic<double> const> rejected_part{};
  /// Faults in its answers; none where their part is 0. Names of headers and the seed are set by
  /// the worker.
  AnswerFaultOptions answer_faults{};
};

/// The path at which a worker says how it is.
inline constexpr char kHealthPath[] = "/health";

/// Requests whose path contains this end the worker that begins to run them.
inline constexpr char kCrashingWord[] = "/crashing-";

/// A request that ended a worker.
struct WorkerCrash {
  std::string worker;
  std::string path;
  std::string attempt;
  Instant at{};
};

/// One request that a worker ran.
struct WorkerRun {
  std::string worker;
  std::string attempt;
  std::optional<std::uint32_t> key;
  std::uint64_t fence = 0;
  Instant begun{};
  Instant ended{};
  std::string service;
  std::string tenant{};      ///< As the request named it.
  bool saw_api_key = false;  ///< The request still had it.
};

/// Keys that a worker held from one grant or renewal on, until the next one of them or their end.
struct WorkerHold {
  std::string worker;
  std::string service;
  HeldSpan span;
};

/// A request that a worker turned away, asking for rest.
struct WorkerRest {
  std::string attempt;
  Instant asked{};
  Duration rest{};
};

/// What a worker stated, and which attempts reached it; those that are not meant for it are left
/// out.
struct WorkerStated {
  std::string worker;
  double limit_per_second = 0;
  Instant limited_from{};
  Instant limited_until{};
  Instant leaving_from = Instant::max();
  std::vector<WorkerRest> rests{};
  std::vector<std::pair<Instant, std::string>> arrivals{};
  Instant warm_at{};  ///< Until when it warmed up.
};

/// A heartbeat as it is sent.
struct WorkerBeat {
  std::string target;  ///< Path of the call.
  std::string body;
};

/// Lifecycle: constructed running; Stop() or destruction ends it as a crash would. Thread safe.
class Worker {
 public:
  explicit Worker(WorkerOptions options);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// From the next heartbeat on it says that it drains.
  void Drain();
  /// From now on it says in its answers that it leaves; its heartbeats stay as they are.
  auto AnnounceLeaving() -> void;
  /// Says that it is gone, sends no heartbeat any more, and serves on.
  auto Deregister() -> void;
  /// Whether a call that said either was acknowledged.
  bool drain_acknowledged() const;

  /// From here on it does nothing any more, and what it ran and held is final; its sockets are
  /// closed by destruction. Once, and not beside other calls.
  auto Stop() -> void;

  /// Makes its next heartbeat and keeps it back: for one that is held up on its way for longer than
  /// the worker lives.
  auto HoldBackHeartbeat() -> WorkerBeat;

  /// The request that ended it, if one did. From then on it is as a process that is gone, until it
  /// is destroyed.
  auto crash() const -> std::optional<WorkerCrash>;

  /// What it ran or is at work on; the latter ends now, or with its lease.
  std::vector<WorkerRun> runs() const;
  auto stated() const -> WorkerStated;
  /// Attempts that reached it, those that it rejected included.
  auto received() const -> std::vector<std::pair<Instant, std::string>>;
  auto holds() const -> std::vector<WorkerHold>;
  /// Attempts that arrived after the drain was acknowledged and `allowance` had passed; those that
  /// it refused as not meant for it are left out.
  auto arrivals_after_drain(Duration allowance) const -> std::vector<std::string>;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::testbed
