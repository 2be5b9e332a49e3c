/// @file
/// A back-end server in virtual time: slots, a bounded queue, and ways to misbehave.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "testbed/virtual_fleet/event_queue.h"
#include "testbed/virtual_fleet/random_source.h"

namespace graniteseam::testbed {

/// What a server said to one attempt.
enum class ServerReply {
  kAnswered,
  kFailed,          ///< It ran and answered with an error.
  kShed,            ///< Refused as not run, to protect itself.
  kDeadlinePassed,  ///< Refused as not run, since the deadline passed in the queue.
  kTimeout,         ///< Nothing came before the attempt's time was up; made by the router.
};

struct ServerSettings {
  std::uint32_t slots = 2;
  Duration mean_work{8'000};
  std::uint32_t queue_maximum = 4;  ///< Waiting requests; more are shed.
};

/// How a server misbehaves; changed while the experiment runs.
struct ServerConduct {
  double slowdown = 1.0;
  double failure_fraction = 0.0;
  bool sheds = false;                  ///< Refuses everything as not run.
  std::optional<double> claimed_load;  ///< Told in place of the true load.
};

/// Not thread safe. The queue must outlive the server.
class VirtualServer {
 public:
  using ReplyHandler = std::function<void(ServerReply)>;

  VirtualServer(EventQueue& events, ServerSettings settings, std::uint64_t seed);

  /// Takes an attempt; the handler is called when the server answers.
  void Take(Instant deadline, ReplyHandler handler);

  void SetConduct(const ServerConduct& conduct) { conduct_ = conduct; }
  const ServerConduct& conduct() const { return conduct_; }
  /// What the load endpoint says: 0 idle to 1 full.
  double ReportedLoad() const;
  std::uint64_t taken() const { return taken_; }
  std::uint64_t answered() const { return answered_; }

 private:
  struct Waiting {
    Instant deadline;
    ReplyHandler handler;
  };

  void Start(Waiting work);
  void Finish(const ReplyHandler& handler);
  void StartNext();

  EventQueue& events_;
  ServerSettings settings_;
  ServerConduct conduct_;
  RandomSource random_;
  std::uint32_t busy_ = 0;
  std::deque<Waiting> waiting_;
  std::uint64_t taken_ = 0;
  std::uint64_t answered_ = 0;
};

}  // namespace graniteseam::testbed
