/// @file
/// A framed connection between two graniteseam processes, dialled or accepted.
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

/// Metrics of all framed connections of a process.
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
    /// The peer has sent its hello and a protocol version is agreed.
    /// @return an error to refuse the peer.
    std::function<std::optional<Error>(const Hello& peer)> on_ready;
    /// @return an error to refuse the message and close.
    std::function<std::optional<Error>(std::string payload)> on_message;
    /// All queued frames were passed to the system. May be empty.
    std::function<void()> on_drained;
    std::function<void(const Error& reason)> on_closed;
  };

  Connection(Socket socket, Side side, Hello own_hello, InternalTls& tls,
             ConnectionMetrics& metrics, ConnectionLimits limits = {});

  void Start(Handlers handlers);

  /// Queues one message.
  /// @return false when it does not fit the queue or the connection is not ready.
  bool Send(std::string_view payload);
  /// Queues a frame from EncodeFrame(). Several connections may share the frame without a copy.
  /// @return as Send().
  bool SendFrame(std::shared_ptr<const std::string> frame);

  /// Detects a connection that no longer transports data in one or both directions, and closes it.
  /// Must be called every kLivenessCheckInterval.
  ///
  /// A connection may stop transporting data without being closed while new connections work. The
  /// kernel reports this after 5 s, or never if a middlebox acknowledges the data. For that time a
  /// router uses an old configuration and a group of such members has no quorum, which is longer
  /// than the 3 s within which users expect a machine to be in contact. The accepting side
  /// therefore answers all received data, with a keep-alive if it has no other frame. The dialling
  /// side sends a keep-alive if it has nothing else to send, closes the connection if nothing is
  /// received for 1 s after a send, and dials again at once. An idle connection costs five bytes
  /// each way per 2 s.
  ///
  /// Limits are counted in calls instead of time, so that a process that was suspended first reads
  /// the data that arrived in the meantime.
  void CheckLiveness();

  void Close(const Error& reason);
  void Close() { Close({ErrorKind::kTransport, "This side closed the connection.", "None."}); }

  bool ready() const { return ready_; }
  /// Bytes that the system has not taken yet.
  std::size_t queued_bytes() const { return queued_bytes_; }

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
  /// Sends the reason to the peer, then closes.
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
  /// Grows only after a full read: each of a thousand router connections carries little data.
  std::vector<char> read_buffer_;
  /// Frames owned by this connection, or one frame shared with other connections.
  struct Output {
    std::string own;
    std::shared_ptr<const std::string> shared;
    std::string_view bytes() const { return shared ? *shared : own; }
  };
  std::vector<Output> waiting_;    ///< Queued while a write is in progress.
  std::vector<Output> in_flight_;  ///< Being written.
  std::size_t queued_bytes_ = 0;   ///< In `waiting_` and `in_flight_`.
  /// Dialling side: a sent frame is unanswered. Accepting side: received data is unanswered.
  bool unanswered_ = false;
  /// CheckLiveness() calls since the unanswered send or the last received data.
  int silent_checks_ = 0;
  int idle_checks_ = 0;  ///< CheckLiveness() calls since the last send.
  bool writing_ = false;
  bool ready_ = false;
  bool closed_ = false;
  /// Set once a refusal was queued; sending ends when the refusal is written.
  std::optional<Error> refused_;
};

}  // namespace graniteseam::protocol
