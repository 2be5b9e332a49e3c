/// @file
/// A gateway process: the decision maker with its ports, its connections to servers and its line to
/// control.
#pragma once

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/daemon/gateway/exchange_translator.h"
#include "src/daemon/gateway/gateway_metrics.h"
#include "src/daemon/gateway/gateway_settings.h"
#include "src/daemon/gateway/request_log.h"
#include "src/daemon/gateway/stop_schedule.h"
#include "src/event_http/client_pool.h"
#include "src/event_http/metrics_port.h"
#include "src/event_http/server.h"
#include "src/gateway/gateway_node.h"
#include "src/protocol/gateway_transport.h"
#include "src/protocol/router_control_client.h"
#include "src/runtime/event_log.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/loop_delay.h"
#include "src/runtime/metrics.h"
#include "src/runtime/wake_watch.h"

namespace graniteseam::daemon {

/// Lifecycle: Start() once; when it succeeded, Stop() once. Both from the main thread; everything
/// else runs on one event loop's thread.
class GatewayProcess {
 public:
  GatewayProcess(GatewaySettings settings, ExchangeNames names, int event_descriptor);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  Result<void> Start();

  /// Not ready at once; serves on until callers have gone elsewhere, then ends.
  void Stop();

  /// Takes the control addresses of settings that were read again. On the main thread.
  void Reload(const GatewaySettings& changed);

  /// Whether it is connected to no control process.
  bool LacksControl() const { return !connected_to_control_; }

 private:
  /// A request with what the log may have to tell of it.
  struct LiveExchange {
    std::shared_ptr<event_http::Exchange> exchange;
    traffic::RequestDigest digest;
    std::optional<event_http::CallNumber> call;
    std::optional<event_http::Response> answer;  ///< The last that a server gave.
    std::optional<Instant> first_sent;           ///< To a server.
    /// Connections that carried it. A surplus answer on one of them names the same attempt as the
    /// answer to a further attempt would.
    std::vector<event_http::ConnectionNumber> connections;
    std::vector<TimedNote> notes;
    gateway::RequestSummary summary;
  };

  /// When, and from which control process, a message arrived.
  struct Receipt {
    Instant at{};
    std::string from;  ///< "ip:port".
  };

  void OnExchange(const std::shared_ptr<event_http::Exchange>& exchange);
  void OnStatus(const std::shared_ptr<event_http::Exchange>& exchange) const;
  /// Runs on the control connections' thread.
  void OnControlMessage(const control::ControlToRouter& message, const std::string& from);
  void OnUpdate(const traffic::TrafficUpdate& update, const Receipt& receipt);
  void OnFollowerReport(const gateway::FollowerReport& report);
  /// Takes the state from the process that the gateway's logic chose last.
  void FollowFeed();
  void OnFeedLost();
  void LogConfiguration(const traffic::TrafficUpdate& update, const Receipt& receipt);
  void Run(gateway::GatewayEffects effects);
  void Do(const gateway::SendAttempt& send);
  void Do(const gateway::ProbeInstance& probe);
  void Do(const gateway::TryConnection& trial);
  void Do(const gateway::ForwardRequest& forward);
  void Do(const gateway::AbandonAttempt& abandon);
  void Do(const gateway::RelayAnswer& relay);
  void Do(const gateway::Refuse& refusal);
  void Do(const gateway::AskTokens& ask);
  void Do(const gateway::SendSlots& slots);
  void Do(const gateway::ResetPeer& peer);
  Result<void> StartCoordination();
  std::optional<Error> OnSlotMessages(const std::string& from, const std::string& payload);
  /// Starts the call of an attempt, whose bytes are given.
  /// @param effect the SendAttempt or ForwardRequest that began the attempt; also below.
  template <class Effect>
  void StartCall(const Effect& effect, event_http::Call call);
  template <class Effect>
  void OnCallEnd(const Effect& effect, event_http::CallResult result);
  void Finish(gateway::RequestNumber number, event_http::Response response,
              std::string_view outcome);
  void AnswerTheRest();
  void TakeNotes(std::vector<gateway::DecisionNote> notes);
  void LogEviction(const event_http::Eviction& eviction);
  void LogUnknownField(const event_http::Response& answer);
  void ArmTimer();
  void Poll();
  void ApplyLimits();
  /// Runs a step of the stop on the event loop, and logs how late the loop is.
  void BeginStopStep(std::string_view name, std::function<void()> step);
  /// Tells the gateway's logic how late the event loop runs at present. Called before what rests on
  /// a timer, and with each measurement.
  void NoteLoopDelay();

  const GatewaySettings settings_;
  const ExchangeTranslator translator_;
  runtime::EventLog events_;
  RequestLog request_log_;
  runtime::MetricsRegistry metrics_registry_;
  GatewayMetrics metrics_;
  // Before what runs on it, so that it outlives that.
  runtime::EventLoop loop_;
  /// Of what is held for callers and servers.
  const std::shared_ptr<event_http::ByteAccount> account_;
  runtime::LoopDelayMeter loop_delay_;
  gateway::GatewayNode node_;
  std::unique_ptr<event_http::Server> callers_;
  std::unique_ptr<event_http::Server> status_;
  std::unique_ptr<event_http::MetricsPort> metrics_port_;
  std::unique_ptr<event_http::ClientPool> servers_;
  std::unique_ptr<protocol::GatewayTransport> coordination_;
  std::unique_ptr<protocol::RouterControlClient> control_;
  std::atomic<bool> connected_to_control_{false};
  std::vector<runtime::SocketAddress> control_addresses_;  ///< Of the settings as last read.
  boost::asio::steady_timer timer_;
  Instant timer_at_ = Instant::max();
  runtime::WakeWatch wake_watch_;
  boost::asio::steady_timer poll_timer_;
  Instant last_poll_{};
  std::string feed_;  ///< The control process that brings the state.
  std::map<gateway::RequestNumber, LiveExchange> live_;
  gateway::RequestNumber last_number_;
  std::uint64_t answers_looked_at_ = 0;
  std::set<std::string> unknown_fields_;  ///< Told so far.
  bool rest_answered_ = false;
  std::atomic<bool> stopping_{false};
  Instant stop_began_{};
};

}  // namespace graniteseam::daemon
