/// @file
/// The HTTP port of a control process for instances and for operators of the traffic configuration;
/// docs/interface/traffic.md. On an event loop: heartbeats of many instances need no threads.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "graniteseam/control/operator_messages.h"
#include "src/daemon/control/control_event.h"
#include "src/event_http/server.h"
#include "src/runtime/event_log.h"
#include "src/runtime/event_loop.h"

namespace graniteseam::daemon {

struct RegistryServerHooks {
  /// Puts a request to the deciding thread; Answer() brings what it said.
  std::function<void(control::RequestId request, control::OperatorRequest command)> execute;
  /// Where the leader's registry is reached; empty when unknown or this process leads.
  std::function<std::string()> leader_address;
  std::function<std::string()> metrics;
  /// A request was answered: what it asked for, and how it went, both of a few words.
  std::function<void(std::string_view call, std::string_view result, Duration taken)> on_answered;
  /// Where an instance of this zone should send its later heartbeats.
  std::function<std::string(const traffic::InstanceReport& report)> heartbeat_address;
};

/// Lifecycle: Start() once; BeginDrain(), then Close() for a planned stop. Stop the event loop
/// before destruction. Answer() is thread safe.
class RegistryServer {
 public:
  /// Requests with this bit in their number are this server's.
  static constexpr control::RequestId kRequestBit = control::RequestId{1} << 62U;

  RegistryServer(runtime::SocketAddress address, std::size_t connections_maximum,
                 runtime::EventLoop& loop, runtime::EventLog& events, RegistryServerHooks hooks);

  Result<void> Start() { return server_.Start(); }
  /// The port listened on, also when the settings named port 0; after Start().
  std::uint16_t port() const { return server_.port(); }
  void BeginDrain();
  /// Takes no requests any more, while Answer() still brings what the deciding thread says. Callers
  /// whose requests arrived and were not given to the deciding thread are told 503: they were not
  /// run and never will be. Of those that were, what has no answer within the limit is told 502.
  /// Blocks until everybody was told, for a second more than the limit; not on the event loop.
  void Close(Duration answers_within);
  void Answer(const control::OperatorReply& reply);

 private:
  struct Waiting {
    std::shared_ptr<event_http::Exchange> exchange;
    std::string what;                                  ///< For the log.
    std::optional<traffic::InstanceReport> heartbeat;  ///< When it is one.
  };

  void OnExchange(const std::shared_ptr<event_http::Exchange>& exchange);
  /// Whether the request may be read beside the changes and reads that have no answer yet.
  Result<void> CheckBody(const event_http::Request& request) const;
  /// Counts a change or a read no longer as one without an answer.
  void EndRequest(control::RequestId number);
  void OnAnswer(const control::OperatorReply& reply);
  void AnswerTheRest();
  event_http::Response ResponseFor(const control::OperatorAnswer& answer,
                                   const event_http::Request& request) const;
  /// Tells an instance, now and then, where its later heartbeats should go.
  std::string HeartbeatBody(const traffic::InstanceReport& report,
                            const control::OperatorAnswer& answer);
  void Log(const std::string& what, int status, const control::OperatorAnswer& answer);

  runtime::EventLoop& loop_;
  runtime::EventLog& events_;
  const RegistryServerHooks hooks_;
  const std::string registry_address_;
  event_http::Server server_;
  std::map<std::string, std::uint32_t> heartbeats_;  ///< Taken here, by instance.
  control::RequestId next_request_ = kRequestBit;
  std::map<control::RequestId, Waiting> waiting_;
  /// Bytes of the configuration changes without an answer. A caller that leaves does not take its
  /// change back.
  std::map<control::RequestId, std::size_t> changes_;
  std::size_t change_bytes_ = 0;        ///< Of all changes in `changes_`.
  std::set<control::RequestId> reads_;  ///< Of the configuration, that have no answer.
};

}  // namespace graniteseam::daemon
