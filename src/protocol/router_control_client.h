/// @file
/// A router's line to the control group: connected to every control process it knows, it sends to
/// the one that leads, follows NotLeader answers and turns away from a leader that went silent.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "graniteseam/control/router_messages.h"
#include "src/protocol/internal_security.h"
#include "src/protocol/leader_tracker.h"
#include "src/runtime/metrics.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::protocol {

struct RouterControlClientOptions {
  RouterId router;
  std::vector<runtime::SocketAddress> control;  ///< From the settings; leaders' hints may add more.
  InternalSecurity security;
  /// A control process that leaves a message unanswered for longer is taken for silent, and the
  /// message goes to the next one. Shorter than half the router's lease.
  Duration answer_timeout{250'000};
};

/// Sends what the router's decision maker wants sent and hands back the answers.
///
/// A message that was not answered is sent again to the next control process by itself; its
/// sequence stays, so the router's lease is dated from the first send, which is the safe side, and
/// claims are recognised by their claim number. An answer may therefore come twice: take the
/// first. Unanswered messages are forgotten after ten silence limits; the decision maker asks
/// anew then.
///
/// Lifecycle: construction connects in the background; destruction closes. Send() is thread safe;
/// the handlers run on the client's own thread and must not block.
class RouterControlClient {
 public:
  /// Answers other than NotLeader, which the client follows by itself.
  using AnswerHandler = std::function<void(const control::ControlToRouter& answer)>;
  /// Called with true when the first connection stands and false when the last one went.
  using ConnectedHandler = std::function<void(bool connected)>;

  /// Called when there is no connection to the process from which the state is taken.
  using FeedLostHandler = std::function<void()>;

  /// Called for each turn to another control process.
  using LeaderSwitchHandler = std::function<void(const LeaderSwitch& turn)>;

  RouterControlClient(RouterControlClientOptions options, runtime::MetricsRegistry& metrics,
                      AnswerHandler on_answer, ConnectedHandler on_connected = {},
                      LeaderSwitchHandler on_leader_switch = {}, FeedLostHandler on_feed_lost = {});
  ~RouterControlClient();
  RouterControlClient(const RouterControlClient&) = delete;
  RouterControlClient& operator=(const RouterControlClient&) = delete;

  /// Sends to the process believed to lead, or as soon as a connection stands.
  void Send(control::RouterToControl message);

  /// Takes the state from this control process ("ip:port") from now on, and from no other: asks it
  /// anew each time that a connection to it stands. The same again changes nothing.
  void SubscribeToState(const std::string& address);
  /// The version of the state that the router has, for the next time that it asks.
  void SetStateVersion(std::uint64_t version);

  /// Adds control processes ("ip:port") to those that it knows.
  void AddControl(std::vector<std::string> addresses);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::protocol
