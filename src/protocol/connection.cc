#include "src/protocol/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "graniteseam/codec/codec.h"

namespace graniteseam::protocol {
namespace {

namespace asio = boost::asio;

// TCP limits that close a connection within about 11 s (idle) or 5 s (unacknowledged data) after
// the remote machine has gone without closing it.
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 3;
constexpr int kUnacknowledgedMilliseconds = 5'000;
/// The system takes no more than this ahead of the link, so that the queue here shows how far a
/// slow peer is behind.
constexpr int kUnsentBytesMaximum = 65'536;

// In calls of CheckLiveness(): 1 s without an answer. Routers poll every 0.5 s and are answered
// within milliseconds; a peer short of processor time answers some hundred milliseconds late.
constexpr int kUnansweredChecksMaximum = 4;
// 2 s without a frame to send, after which a keep-alive is sent.
constexpr int kIdleChecksMaximum = 8;
// 5 s: longer than the interval at which a live dialling side sends keep-alives.
constexpr int kSilentChecksMaximum = 20;

constexpr std::size_t kReadBytesAtFirst = 2'048;
constexpr std::size_t kReadBytesMaximum = 65'536;
/// Shorter frames are copied: that costs less than a separate buffer in each write.
constexpr std::size_t kSharedBytesMinimum = 4'096;

void SetOption(int descriptor, int level, int name, int value) {
  // A failure only delays the detection of a lost peer, so it is not an error.
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

ConnectionMetrics::ConnectionMetrics(runtime::MetricsRegistry& metrics_registry)
    : registry(metrics_registry),
      connections(registry.Gauge(runtime::Metric::kTransportConnections)),
      frames_sent(registry.Counter(runtime::Metric::kTransportFramesSent)),
      frames_received(registry.Counter(runtime::Metric::kTransportFramesReceived)),
      bytes_sent(registry.Counter(runtime::Metric::kTransportBytesSent)),
      bytes_received(registry.Counter(runtime::Metric::kTransportBytesReceived)),
      frames_dropped(registry.Counter(runtime::Metric::kTransportFramesDropped)) {}

Connection::Connection(Socket socket, Side side, Hello own_hello, InternalTls& tls,
                       ConnectionMetrics& metrics, ConnectionLimits limits)
    : socket_(std::move(socket)),
      side_(side),
      own_hello_(std::move(own_hello)),
      tls_(tls),
      metrics_(metrics),
      limits_(limits),
      deadline_(socket_.get_executor()),
      read_buffer_(kReadBytesAtFirst) {}

/// Runs `operation` on the TLS stream or, when TLS is off, on the socket.
template <class Operation>
void Connection::OnStream(Operation operation) {
  if (stream_) {
    operation(*stream_);
  } else {
    operation(socket_);
  }
}

void Connection::Start(Handlers handlers) {
  handlers_ = std::move(handlers);
  SetSocketOptions();
  ArmDeadline(limits_.handshake_time,
              "The peer did not complete the TLS handshake and hello in time.");
  if (tls_.enabled()) {
    BeginHandshake();
  } else {
    BeginHello();
  }
}

void Connection::SetSocketOptions() {
  const int descriptor = socket_.native_handle();
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMilliseconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, kUnsentBytesMaximum);
}

void Connection::BeginHandshake() {
  stream_.emplace(socket_, tls_.ContextForHandshake());
  // Neither side has a certificate. The accepting side can only offer a handshake by pre-shared
  // key, and the dialling side, asked to verify, accepts nothing else.
  stream_->set_verify_mode(side_ == Side::kDialled ? asio::ssl::verify_peer
                                                   : asio::ssl::verify_none);
  const auto role =
      side_ == Side::kDialled ? asio::ssl::stream_base::client : asio::ssl::stream_base::server;
  stream_->async_handshake(role, [self = shared_from_this()](ErrorCode error) {
    if (self->closed_) return;
    if (!error) return self->BeginHello();
    self->Close({ErrorKind::kUnauthenticated,
                 "The peer did not prove the shared secret: " + error.message() + ".",
                 "Give every process the same secret file."});
  });
}

void Connection::BeginHello() {
  Queue(EncodeFrame(FrameKind::kHello, codec::Encode(own_hello_)));
  Read();
}

bool Connection::Send(std::string_view payload) {
  if (!HasRoomFor(payload.size())) return false;
  Queue(EncodeFrame(FrameKind::kMessage, payload));
  OnFrameQueued();
  return true;
}

bool Connection::SendFrame(std::shared_ptr<const std::string> frame) {
  if (!HasRoomFor(frame->size() - kFrameHeaderBytes)) return false;
  if (frame->size() < kSharedBytesMinimum) {
    Queue(*frame);
  } else {
    Queue(std::move(frame));
  }
  OnFrameQueued();
  return true;
}

bool Connection::HasRoomFor(std::size_t bytes) {
  const bool fits =
      bytes <= kFramePayloadMaximum && queued_bytes_ + bytes <= limits_.queue_bytes_maximum;
  if (ready_ && !closed_ && !refused_ && fits) return true;
  metrics_.frames_dropped.Increment();
  return false;
}

void Connection::CheckLiveness() {
  if (!ready_ || closed_ || refused_) return;
  if (side_ == Side::kDialled) {
    CheckDialledLiveness();
  } else {
    CheckAcceptedLiveness();
  }
}

void Connection::CheckDialledLiveness() {
  if (unanswered_ && ++silent_checks_ >= kUnansweredChecksMaximum) {
    Close({ErrorKind::kTransport, "The peer did not answer within 1 s.",
           "The connection is dialled again automatically; check the peer and the network if this "
           "repeats."});
    return;
  }
  if (++idle_checks_ < kIdleChecksMaximum) return;
  Queue(EncodeFrame(FrameKind::kKeepAlive, {}));
  OnFrameQueued();
}

void Connection::CheckAcceptedLiveness() {
  if (++silent_checks_ >= kSilentChecksMaximum) {
    Close({ErrorKind::kTransport, "The peer sent nothing for 5 s.",
           "The peer dials again automatically; check the peer and the network if this repeats."});
    return;
  }
  if (!unanswered_) return;
  Queue(EncodeFrame(FrameKind::kKeepAlive, {}));
  OnFrameQueued();
}

void Connection::OnFrameQueued() {
  idle_checks_ = 0;
  if (side_ == Side::kAccepted) {
    unanswered_ = false;
  } else if (!std::exchange(unanswered_, true)) {
    silent_checks_ = 0;
  }
}

void Connection::OnBytesReceived() {
  silent_checks_ = 0;
  unanswered_ = side_ == Side::kAccepted;
}

void Connection::Queue(std::string_view frame) {
  if (waiting_.empty() || waiting_.back().shared) waiting_.emplace_back();
  waiting_.back().own += frame;
  queued_bytes_ += frame.size();
  WriteIfIdle();
}

void Connection::Queue(std::shared_ptr<const std::string> frame) {
  queued_bytes_ += frame->size();
  waiting_.push_back({{}, std::move(frame)});
  WriteIfIdle();
}

void Connection::WriteIfIdle() {
  metrics_.frames_sent.Increment();
  if (!writing_) Write();
}

void Connection::Write() {
  writing_ = true;
  in_flight_.clear();
  in_flight_.swap(waiting_);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(in_flight_.size());
  for (const Output& output : in_flight_) buffers.push_back(asio::buffer(output.bytes()));
  OnStream([&](auto& stream) {
    asio::async_write(stream, buffers,
                      [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                        self->OnWritten(error);
                      });
  });
}

void Connection::OnWritten(ErrorCode error) {
  if (closed_) return;
  if (error) return CloseFor(error);
  std::size_t written = 0;
  for (const Output& output : in_flight_) written += output.bytes().size();
  metrics_.bytes_sent.Increment(static_cast<double>(written));
  queued_bytes_ -= written;
  writing_ = false;
  in_flight_.clear();
  if (!waiting_.empty()) return Write();
  if (refused_) return ShutdownSend();
  if (ready_ && handlers_.on_drained) handlers_.on_drained();
}

void Connection::ShutdownSend() {
  ErrorCode ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

void Connection::Read() {
  OnStream([this](auto& stream) {
    stream.async_read_some(asio::buffer(read_buffer_),
                           [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                             self->OnRead(error, bytes);
                           });
  });
}

void Connection::OnRead(ErrorCode error, std::size_t bytes) {
  if (closed_) return;
  if (error) return CloseFor(error);
  metrics_.bytes_received.Increment(static_cast<double>(bytes));
  OnBytesReceived();
  if (refused_) return Read();
  reader_.Feed({read_buffer_.data(), bytes});
  if (bytes == read_buffer_.size() && bytes < kReadBytesMaximum) read_buffer_.resize(2 * bytes);
  if (!HandleFrames()) return DiscardInput();
  if (ready_ && !reader_.InFrame()) {
    DisarmDeadline();
  } else if (!deadline_armed_) {
    ArmDeadline(limits_.frame_time, "The peer did not finish a frame in time.");
  }
  Read();
}

/// After a refusal, input is discarded until the peer has closed: closing with unread bytes would
/// make the kernel reset the connection and could lose the refusal.
void Connection::DiscardInput() {
  if (!closed_) Read();
}

/// @return false when no more frames are to be handled.
bool Connection::HandleFrames() {
  while (!closed_ && !refused_) {
    const auto outcome = Attempt([&] { return reader_.Next(); });
    if (const Error* error = ErrorOf(outcome)) {
      Refuse(*error);
      return false;
    }
    auto frame = std::get<std::optional<Frame>>(outcome);
    if (!frame) return true;
    // A complete frame ends its time limit; the next frame starts its own.
    if (ready_) DisarmDeadline();
    metrics_.frames_received.Increment();
    if (const std::optional<Error> refused = HandleFrame(std::move(*frame))) {
      Refuse(*refused);
      return false;
    }
  }
  return false;
}

std::optional<Error> Connection::HandleFrame(Frame frame) {
  if (frame.kind == FrameKind::kRefusal) {
    Close(DecodeRefusal(frame));
    return std::nullopt;
  }
  if (!ready_) return HandleHello(frame);
  if (frame.kind == FrameKind::kHello) {
    return Error{ErrorKind::kMalformedMessage, "The peer sent a second hello frame.",
                 "Connect only graniteseam's own processes to this port."};
  }
  if (frame.kind == FrameKind::kKeepAlive) return std::nullopt;
  return handlers_.on_message(std::move(frame.payload));
}

std::optional<Error> Connection::HandleHello(const Frame& frame) {
  if (frame.kind != FrameKind::kHello) {
    return Error{ErrorKind::kMalformedMessage, "The peer's first frame is not a hello.",
                 "Connect only graniteseam's own processes to this port."};
  }
  const auto decoded = Attempt([&] { return codec::Decode<Hello>(frame.payload); });
  if (const Error* error = ErrorOf(decoded)) return *error;
  const Hello& peer = std::get<Hello>(decoded);
  const auto agreed = Attempt([&] { return AgreeVersion(own_hello_, peer); });
  if (const Error* error = ErrorOf(agreed)) return *error;
  ready_ = true;
  reader_.set_payload_limit(kFramePayloadMaximum);
  DisarmDeadline();
  metrics_.connections.Add(1);
  return handlers_.on_ready(peer);
}

Error Connection::DecodeRefusal(const Frame& frame) {
  const auto decoded = Attempt([&] { return codec::Decode<Refusal>(frame.payload); });
  if (const Error* error = ErrorOf(decoded)) return *error;
  const Refusal& refusal = std::get<Refusal>(decoded);
  return {ErrorKind::kTransport,
          "The peer refused the connection (" + refusal.kind + "): " + refusal.message,
          refusal.remedy};
}

void Connection::Refuse(const Error& reason) {
  if (closed_ || refused_) return;
  metrics_.registry
      .Counter(runtime::Metric::kTransportConnectionsRefused,
               {{"kind", std::string(ErrorKindName(reason.kind))}})
      .Increment();
  const Refusal refusal{std::string(ErrorKindName(reason.kind)), reason.message, reason.remedy};
  // A peer that does not read the refusal within the handshake timeout is disconnected without it.
  DisarmDeadline();
  ArmDeadline(limits_.handshake_time,
              "The peer was refused and did not close the connection in time.");
  refused_ = reason;
  Queue(EncodeFrame(FrameKind::kRefusal, codec::Encode(refusal)));
}

void Connection::ArmDeadline(std::chrono::milliseconds span, const char* what) {
  deadline_armed_ = true;
  const std::uint64_t generation = ++deadline_generation_;
  deadline_.expires_after(span);
  deadline_.async_wait([self = shared_from_this(), what, generation](ErrorCode error) {
    // Ignores an expiry that was already queued when the deadline was disarmed.
    if (error || self->closed_ || generation != self->deadline_generation_) return;
    self->Close(
        {ErrorKind::kTransport, what, "Check the peer and the network between the processes."});
  });
}

void Connection::DisarmDeadline() {
  if (!deadline_armed_) return;
  deadline_armed_ = false;
  ++deadline_generation_;
  deadline_.cancel();
}

void Connection::CloseFor(ErrorCode error) {
  Close(refused_ ? *refused_
                 : Error{ErrorKind::kTransport, "The connection was lost: " + error.message() + ".",
                         "The connection is dialled again automatically; check the network if this "
                         "repeats."});
}

void Connection::Close(const Error& reason) {
  if (closed_) return;
  closed_ = true;
  if (ready_) metrics_.connections.Add(-1);
  deadline_.cancel();
  ErrorCode ignored;
  socket_.shutdown(Socket::shutdown_both, ignored);
  socket_.close(ignored);
  // Posted, because one of the handlers may have called this function.
  asio::post(socket_.get_executor(),
             [handlers = std::exchange(handlers_, {}), reason] { handlers.on_closed(reason); });
}

}  // namespace graniteseam::protocol
