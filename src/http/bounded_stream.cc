#include "src/http/bounded_stream.h"

#include <fcntl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <utility>

#include "src/runtime/clock.h"

namespace graniteseam::http {

BoundedStream::BoundedStream(int descriptor, Duration tick) : descriptor_(descriptor), tick_(tick) {
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  timeval limit{};
  limit.tv_sec = tick.count() / kMicrosPerSecond;
  limit.tv_usec = tick.count() % kMicrosPerSecond;
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

void BoundedStream::Begin(Instant deadline, std::size_t read_maximum) {
  deadline_ = deadline;
  read_left_ = read_maximum;
  sent_ = 0;
  timed_out_ = false;
  limit_reached_ = false;
}

bool BoundedStream::is_readable() const {
  if (HasUnreadBytes()) return true;
  pollfd poll_entry{descriptor_, POLLIN, 0};
  return ::poll(&poll_entry, 1, 0) > 0;
}

bool BoundedStream::is_writable() const {
  pollfd poll_entry{descriptor_, POLLOUT, 0};
  return ::poll(&poll_entry, 1, 0) > 0;
}

bool BoundedStream::WaitFor(short events) {
  for (;;) {
    const Duration left = deadline_ - runtime::BootTimeNow();
    if (left <= Duration{0}) break;
    constexpr std::int64_t kWaitMaximumMs = 3'600'000;
    // Rounded up, so that the last part of a millisecond is not spent spinning.
    const std::int64_t wait_ms = std::min(kWaitMaximumMs, (left.count() + 999) / 1000);
    pollfd poll_entry{descriptor_, events, 0};
    const int ready = ::poll(&poll_entry, 1, static_cast<int>(wait_ms));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
  }
  timed_out_ = true;
  return false;
}

bool BoundedStream::StartTls(TlsSession session) {
  ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
  tls_ = std::move(session);
  for (;;) {
    ERR_clear_error();
    const int done = SSL_do_handshake(tls_.get());
    if (done == 1) return true;
    if (!WaitForTls(done)) return false;
  }
}

/// Waits for what TLS said it needs. @return false when it can not go on.
bool BoundedStream::WaitForTls(int result) {
  switch (SSL_get_error(tls_.get(), result)) {
    case SSL_ERROR_WANT_READ:
      return WaitFor(POLLIN);
    case SSL_ERROR_WANT_WRITE:
      return WaitFor(POLLOUT);
    default:
      return false;
  }
}

bool BoundedStream::HasUnreadBytes() const {
  return read_position_ < read_end_ || (tls_ && SSL_pending(tls_.get()) > 0);
}

bool BoundedStream::Silent() {
  if (HasUnreadBytes()) return false;
  char byte = 0;
  if (tls_) {
    // Takes in session tickets, which some servers send after the handshake.
    ERR_clear_error();
    const int peeked = SSL_peek(tls_.get(), &byte, 1);
    return peeked <= 0 && SSL_get_error(tls_.get(), peeked) == SSL_ERROR_WANT_READ;
  }
  return ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

ssize_t BoundedStream::ReceiveTls(std::size_t size) {
  for (;;) {
    ERR_clear_error();
    const int received = SSL_read(tls_.get(), read_buffer_.data(), static_cast<int>(size));
    if (received > 0) return received;
    // An end without TLS's own goodbye is an error: it may be a cut.
    if (SSL_get_error(tls_.get(), received) == SSL_ERROR_ZERO_RETURN) return 0;
    if (!WaitForTls(received)) return -1;
  }
}

ssize_t BoundedStream::TransmitTls(const char* data, std::size_t size) {
  for (;;) {
    ERR_clear_error();
    // A part of a record may reach the kernel before the call says so: from here on nobody may
    // claim that nothing was sent.
    sent_ = std::max<std::size_t>(sent_, 1);
    const int sent = SSL_write(tls_.get(), data, static_cast<int>(size));
    if (sent > 0) return sent;
    if (!WaitForTls(sent)) return -1;
  }
}

ssize_t BoundedStream::Transmit(const char* data, std::size_t size) {
  if (tls_) return TransmitTls(data, size);
  for (;;) {
    const ssize_t sent = ::send(descriptor_, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) return sent;
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && WaitFor(POLLOUT)) continue;
    return -1;
  }
}

ssize_t BoundedStream::Receive() {
  const std::size_t size = std::min(read_buffer_.size(), read_left_);
  if (tls_) return ReceiveTls(size);
  for (;;) {
    const Duration left = deadline_ - runtime::BootTimeNow();
    const bool last_tick = left <= tick_;
    if (last_tick && !WaitFor(POLLIN)) return -1;
    const ssize_t received =
        ::recv(descriptor_, read_buffer_.data(), size, last_tick ? MSG_DONTWAIT : 0);
    if (received >= 0) return received;
    if (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK) return -1;
  }
}

bool BoundedStream::Await() {
  if (read_position_ < read_end_) return true;
  if (!write_buffer_.empty() && !Flush()) return false;
  if (read_left_ == 0) {
    limit_reached_ = true;
    return false;
  }
  const ssize_t received = Receive();
  if (received <= 0) {
    ended_ = received == 0;
    return false;
  }
  read_position_ = 0;
  read_end_ = static_cast<std::size_t>(received);
  read_left_ -= read_end_;
  return true;
}

ssize_t BoundedStream::read(char* target, size_t size) {
  if (!Await()) return ended_ ? 0 : -1;
  const std::size_t count = std::min(size, read_end_ - read_position_);
  std::memcpy(target, read_buffer_.data() + read_position_, count);
  read_position_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t BoundedStream::write(const char* data, size_t size) {
  write_buffer_.append(data, size);
  if (write_buffer_.size() >= kWriteBufferSize && !Flush()) return -1;
  return static_cast<ssize_t>(size);
}

bool BoundedStream::Flush() {
  std::size_t done = 0;
  while (done < write_buffer_.size()) {
    const ssize_t sent = Transmit(write_buffer_.data() + done, write_buffer_.size() - done);
    if (sent <= 0) break;
    done += static_cast<std::size_t>(sent);
    sent_ += static_cast<std::size_t>(sent);
  }
  const bool whole = done == write_buffer_.size();
  write_buffer_.clear();
  return whole;
}

}  // namespace graniteseam::http
