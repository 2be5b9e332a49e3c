/// @file
/// One framed connection between two of the system's own processes, dialled or accepted.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/protocol/connection_limits.h"
#include "src/protocol/frame.h"
#include "src/protocol/hello.h"
#include "src/protocol/internal_tls.h"
#include "src/runtime/metrics.h"

namespace graniteseam::protocol {

/// Statistics of framed connections.
struct ConnectionMetrics {
  explicit ConnectionMetrics(runtime::MetricsRegistry& registry);

  runtime::MetricsRegistry& registry;
  runtime::GaugeHandle connections;
  runtime::CounterHandle frames_sent;
  runtime::CounterHandle frames_received;
  runtime::CounterHandle bytes_sent;
  runtime::CounterHandle bytes_received;
  runtime::CounterHandle frames_dropped;
};

/// A connection with its hello exchange, bounded output queue and time limits.
///
/// Lifecycle: Start() once; then on_ready, any number of on_message, and on_closed exactly once,
/// also after Close(). All calls and handlers run on the event loop's thread. Keeps itself alive
/// until closed; handlers are dropped after on_closed.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  enum class Side { kDialled, kAccepted };

  struct Handlers {
    /// The peer said hello and the versions agree.
    /// @return an error to refuse the peer.
    std::function<std::optional<Error>(const Hello& peer)> on_ready;
    /// @return an error to refuse the message and close.
    std::function<std::optional<Error>(std::string payload)> on_message;
    std::function<void(const Error& reason)> on_closed;
  };

  Connection(Socket socket, Side side, Hello own_hello, InternalTls& tls,
             ConnectionMetrics& metrics, ConnectionLimits limits = {});

  void Start(Handlers handlers);

  /// Queues one message.
  /// @return false when it does not fit the queue or the connection is not ready.
  bool Send(std::string_view payload);
  /// The same of a frame that EncodeFrame() made, and that other connections may send too: it is
  /// kept once for all of them.
  bool SendFrame(std::shared_ptr<const std::string> frame);

  /// Finds out that the other side hears nothing, or that nothing comes from it any more. To be
  /// called each kLivenessCheckInterval.
  ///
  /// A connection may fall silent without an end, in one direction or both, while new ones work;
  /// the kernel tells after 5 s, and never where something between acknowledges. A router on such a
  /// connection goes on by an old configuration, and a group whose members are on such ones has no
  /// quorum, for as long: longer than the 3 s after which the users take a machine to be in touch.
  /// So the accepting side answers whatever comes, with a keep-alive when it has nothing else to
  /// say, and the dialling side, which also sends one when it has nothing else, gives up on a
  /// connection on which nothing came back for 1 s. It dials again at once.
  /// Five bytes each way in 2 s on a connection at rest.
  ///
  /// Counted in calls, not in time: a process that stood still finds what came meanwhile first.
  void CheckLiveness();

  void Close(const Error& reason);
  void Close() { Close({ErrorKind::kTransport, "This side closed the connection.", "None."}); }

  bool ready() const { return ready_; }

 private:
  using Stream = boost::asio::ssl::stream<Socket&>;
  using ErrorCode = boost::system::error_code;

  void SetSocketOptions();
  void BeginHandshake();
  void BeginHello();
  void Read();
  void OnRead(ErrorCode error, std::size_t bytes);
  void DiscardInput();
  bool HandleFrames();
  std::optional<Error> HandleFrame(Frame frame);
  std::optional<Error> HandleHello(const Frame& frame);
  static Error DecodeRefusal(const Frame& frame);
  bool HasRoomFor(std::size_t bytes);
  void Queue(std::string_view frame);
  void Queue(std::shared_ptr<const std::string> frame);
  void WriteIfIdle();
  void Write();
  void OnWritten(ErrorCode error);
  void ShutdownSend();
  /// Tells the peer why, then closes.
  void Refuse(const Error& reason);
  void ArmDeadline(std::chrono::milliseconds span, const char* what);
  void DisarmDeadline();
  void CloseFor(ErrorCode error);

  void CheckDialledLiveness();
  void CheckAcceptedLiveness();
  void OnFrameQueued();
  void OnBytesReceived();

  template <class Operation>
  void OnStream(Operation operation);

  Socket socket_;
  Side side_;
  Hello own_hello_;
  InternalTls& tls_;
  ConnectionMetrics& metrics_;
  ConnectionLimits limits_;
  Handlers handlers_;
  std::optional<Stream> stream_;  ///< Present when TLS is on.
  boost::asio::steady_timer deadline_;
  bool deadline_armed_ = false;
  std::uint64_t deadline_generation_ = 0;
  FrameReader reader_;
  /// Small until much comes at once: a thousand routers' connections tell little each.
  std::vector<char> read_buffer_;
  /// Frames of this connection alone, or one that it shares with others.
  struct Output {
    std::string own;
    std::shared_ptr<const std::string> shared;
    std::string_view bytes() const { return shared ? *shared : own; }
  };
  std::vector<Output> waiting_;    ///< Queued while a write is under way.
  std::vector<Output> in_flight_;  ///< Being written.
  std::size_t queued_bytes_ = 0;   ///< Of both.
  /// The dialling side sent something, and the accepting side got something, that is not answered.
  bool unanswered_ = false;
  int silent_checks_ =
      0;  ///< Calls of CheckLiveness() since it is unanswered, or since something came.
  int idle_checks_ = 0;  ///< Calls of CheckLiveness() since this side sent something.
  bool writing_ = false;
  bool ready_ = false;
  bool closed_ = false;
  std::optional<Error> refused_;  ///< Set once a refusal was queued: close when it is written.
};

}  // namespace graniteseam::protocol
