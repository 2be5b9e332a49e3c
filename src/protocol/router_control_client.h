/// @file
/// A router's client of the control group: it is connected to the control processes of its settings
/// and to those that it was referred to, sends to the leader, follows NotLeader answers and
/// switches away from an unresponsive leader. Further members are connected to as others are lost.
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

/// Settings of a control client.
struct RouterControlClientOptions {
  RouterId router;
  /// From the settings; leader hints and the members that a leader tells may add more.
  std::vector<runtime::SocketAddress> control;
  InternalSecurity security;
  /// A control process that does not answer within this time counts as unresponsive, and the
  /// message is sent to the next one. Must be shorter than half the router's lease.
  Duration answer_timeout{250'000};
};

/// Sends the control messages of the router's decision logic and returns the answers.
///
/// An unanswered message is automatically sent again to the next control process with the same
/// sequence, so that the router's lease counts from the first send, which is the safe side, and
/// claims are identified by their claim number. An answer may therefore arrive twice: use the
/// first. Unanswered messages are dropped after ten answer timeouts; the decision logic then sends
/// a new request.
///
/// Lifecycle: the constructor connects in the background; the destructor closes. Send() is thread
/// safe; the handlers run on the client's own thread and must not block.
class RouterControlClient {
 public:
  /// Receives all answers. Of NotLeader answers, which the client handles itself, only those that
  /// report the sender's traffic state.
  /// @param from address "ip:port" of the control process that sent it.
  using AnswerHandler =
      std::function<void(const control::ControlToRouter& answer, const std::string& from)>;
  /// Called with true when the first connection is ready and with false when the last one is lost.
  using ConnectedHandler = std::function<void(bool connected)>;

  /// Called when the connection to the process that feeds the state is lost.
  using FeedLostHandler = std::function<void()>;

  /// Called for each switch to another control process.
  using LeaderSwitchHandler = std::function<void(const LeaderSwitch& turn)>;

  RouterControlClient(RouterControlClientOptions options, runtime::MetricsRegistry& metrics,
                      AnswerHandler on_answer, ConnectedHandler on_connected = {},
                      LeaderSwitchHandler on_leader_switch = {}, FeedLostHandler on_feed_lost = {});
  ~RouterControlClient();
  RouterControlClient(const RouterControlClient&) = delete;
  RouterControlClient& operator=(const RouterControlClient&) = delete;

  /// Sends to the presumed leader, or as soon as a connection is ready.
  void Send(control::RouterToControl message);

  /// Subscribes to the state from this control process ("ip:port") and ends any other subscription.
  /// The request is repeated on each new connection to it. Repeated calls have no effect.
  void SubscribeToState(const std::string& address);
  /// Sets the version of the router's state, for the next subscription request.
  void SetStateVersion(std::uint64_t version);

  /// Replaces the control processes ("ip:port") of the settings.
  void SetControl(std::vector<std::string> addresses);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::protocol
