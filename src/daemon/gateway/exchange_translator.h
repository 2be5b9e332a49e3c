/// @file
/// Reads requests and servers' answers by a dialect's names, and writes what the gateway sends.
#pragma once

#include <optional>

#include "src/daemon/gateway/exchange_names.h"
#include "src/event_http/client_pool.h"
#include "src/event_http/message.h"
#include "src/gateway/gateway_events.h"

namespace graniteseam::daemon {

/// What a fault of a call means to the decision maker.
gateway::FailureCause CauseOf(event_http::CallFault fault);

/// Stateless; decides nothing.
class ExchangeTranslator {
 public:
  explicit ExchangeTranslator(ExchangeNames names) : names_(std::move(names)) {}

  /// What the decision maker must know of a caller's request.
  gateway::ArrivedRequest Read(const event_http::Request& request,
                               gateway::RequestNumber number) const;

  /// The head for a server: the request as it came, with the target and the time that is left. Its
  /// body follows unchanged.
  std::string ForServer(const event_http::Request& request, const gateway::SendAttempt& send) const;

  /// What the decision maker must know of the end of a call. An answer counts only when it echoes
  /// the request's id; a success only with the server's seal and without an encoding, which callers
  /// never ask for.
  gateway::AttemptReport Read(const event_http::CallResult& result,
                              const event_http::Request& request,
                              const gateway::SendAttempt& send) const;

  /// The head for another gateway: the request as its caller sent it, with the time that is left
  /// and what the other gateway may do with it. Its body follows unchanged.
  std::string ForPeer(const event_http::Request& request,
                      const gateway::ForwardRequest& forward) const;
  /// What the decision maker must know of the end of such a call.
  gateway::AttemptReport Read(const event_http::CallResult& result,
                              const event_http::Request& request,
                              const gateway::ForwardRequest& forward) const;

  /// The bytes that ask a server for its load.
  std::string ForProbe(const gateway::ProbeInstance& probe) const;
  /// What the decision maker must know of the end of such a call.
  gateway::ProbeReport Read(const event_http::CallResult& result,
                            const gateway::ProbeInstance& probe) const;

  /// A server's answer as the caller gets it.
  /// @param hop what to tell the caller if it is a gateway that forwarded the request.
  event_http::Response ForCaller(event_http::Response answer,
                                 const std::optional<gateway::HopReport>& hop) const;
  /// The gateway's own answer.
  event_http::Response ForCaller(const gateway::Refuse& refusal,
                                 const event_http::Request& request) const;

  /// The first field of a server's answer that neither this dialect nor HTTP has a meaning for
  /// here; null when there is none.
  const std::string* UnknownField(const event_http::Response& answer) const;

  /// The caller's id of a request, for the log; empty when it has none.
  std::string AttemptId(const event_http::Request& request) const;

 private:
  /// The server learns whose key it was, from the gateway alone.
  void HideApiKey(const gateway::SendAttempt& send, event_http::HeaderFields& fields) const;
  /// The fields of the request as it came, without what concerns its connection or hop, with the
  /// time that is left.
  event_http::HeaderFields ForNext(const event_http::Request& request, Duration time_left) const;
  gateway::AttemptReport ReadEnd(const event_http::CallResult& result,
                                 const event_http::Request& request) const;
  gateway::AttemptEnd EndOf(const event_http::Response& answer,
                            const event_http::Request& request) const;
  gateway::BackPressure PressureOf(const event_http::Response& answer) const;

  const ExchangeNames names_;
};

}  // namespace graniteseam::daemon
