/// @file
/// A socket as cpp-httplib's stream, with what the request path needs of it: one deadline for a
/// whole exchange, a bound on what is read, writes gathered into one call to the kernel, and exact
/// knowledge of whether any byte was handed to it.
#pragma once

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

#include "graniteseam/common/time.h"
#include "src/http/tls.h"

namespace graniteseam::http {

/// Reads and writes one connected, blocking TCP socket that someone else owns. A read blocks in the
/// kernel for one tick at a time and is waited for exactly only in the last tick before the
/// deadline, so that a usual read costs one call and no poll().
///
/// Written bytes are kept back until something is read, Flush() is called or the buffer is full, so
/// that head and body of a message go out together. Not thread safe, except that the socket may be
/// shut down from elsewhere, which ends reads and writes.
class BoundedStream : public httplib::Stream {
 public:
  /// @param tick greater than 0; the socket's receive time-out from now on.
  BoundedStream(int descriptor, Duration tick);

  /// Speaks TLS from now on: runs the handshake within the deadline of Begin(). The socket no
  /// longer blocks then, since one read of TLS may need several of the kernel.
  bool StartTls(TlsSession session);

  /// Begins an exchange.
  /// @param read_maximum bytes that may be read in it; more counts as an error.
  void Begin(Instant deadline, std::size_t read_maximum);

  void SetDeadline(Instant deadline) { deadline_ = deadline; }
  /// Lets more be read in this exchange.
  void AllowMore(std::size_t bytes) { read_left_ += bytes; }

  /// Whether the kernel was handed any byte since Begin().
  bool AnythingSent() const { return sent_ > 0; }
  /// Whether bytes were received that nobody read.
  bool HasUnreadBytes() const;
  /// Whether the other side is silent and has not closed; takes TLS's own messages in.
  bool Silent();
  bool timed_out() const { return timed_out_; }
  bool limit_reached() const { return limit_reached_; }
  bool Flush();
  /// Waits until there is something to read.
  /// @return false at the deadline, at the connection's end and after a fault.
  bool Await();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* target, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  /// Not told: nothing here uses them, and they would cost two calls to the kernel a request.
  void get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const override {}
  void get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const override {}
  /// Never the real number: cpp-httplib refuses those from 1024 on, which only select() needs.
  socket_t socket() const override { return 0; }

 private:
  static constexpr std::size_t kReadBufferSize = 8192;
  static constexpr std::size_t kWriteBufferSize = 65536;

  bool WaitFor(short events);
  ssize_t Receive();
  ssize_t ReceiveTls(std::size_t size);
  bool WaitForTls(int result);
  /// Hands some bytes to the kernel, waiting if need be. @return their count, -1 on error.
  ssize_t Transmit(const char* data, std::size_t size);
  ssize_t TransmitTls(const char* data, std::size_t size);

  int descriptor_;
  Duration tick_;
  TlsSession tls_;  ///< Null for a plain connection.
  Instant deadline_{};
  std::size_t read_left_ = 0;
  std::size_t sent_ = 0;
  bool timed_out_ = false;
  bool ended_ = false;  ///< The peer closed.
  bool limit_reached_ = false;
  std::array<char, kReadBufferSize> read_buffer_;
  std::size_t read_position_ = 0;
  std::size_t read_end_ = 0;
  std::string write_buffer_;
};

}  // namespace graniteseam::http
