/// @file
/// A control process's HTTP port for operators (docs/interface/operators.md).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/consensus/types.h"
#include "graniteseam/control/operator_messages.h"
#include "src/http/tls.h"
#include "src/runtime/metrics.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::http {

struct OperatorServerOptions {
  runtime::SocketAddress address;
  std::map<std::string, std::string> operators;  ///< Name -> SHA-256 hex of the credential.
  std::size_t body_bytes_maximum = std::size_t{2} << 20;
  std::size_t connections_maximum = 64;   ///< Each has a thread; more wait.
  Duration idle_maximum{30'000'000};      ///< A connection without a request is closed then.
  Duration exchange_maximum{15'000'000};  ///< For reading a whole request and answering it.
  std::shared_ptr<TlsContext> tls;        ///< Null for plain HTTP.
};

/// What the server asks of the process. All are called from the server's threads.
struct OperatorServerHooks {
  /// Carries out a request and waits for its answer, for a bounded time.
  std::function<control::OperatorAnswer(control::OperatorRequest request)> execute;
  /// The leader's HTTP "ip:port", empty when not known.
  std::function<std::string()> leader_address;
  std::function<consensus::Member()> self;
  std::function<bool()> live;
  std::function<bool()> ready;
};

/// Lifecycle: Start() once, Stop() before destruction. Thread safe.
class OperatorServer {
 public:
  OperatorServer(OperatorServerOptions options, runtime::MetricsRegistry& metrics,
                 OperatorServerHooks hooks);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Opens the port and serves on threads of its own.
  /// @return kInvalidSettings when the address can not be listened on.
  Result<void> Start();

  /// Lets requests under way finish and closes the port.
  void Stop();

  /// The port listened on, also when the settings named port 0.
  std::uint16_t port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::http
