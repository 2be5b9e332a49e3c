#include "src/http/bounded_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "src/platform/clock.h"

namespace graniteseam::http {

namespace {

void NameOf(const sockaddr_storage& address, std::string& ip, int& port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.ss_family == AF_INET) {
    sockaddr_in ipv4{};
    std::memcpy(&ipv4, &address, sizeof(ipv4));
    inet_ntop(AF_INET, &ipv4.sin_addr, text.data(), text.size());
    port = ntohs(ipv4.sin_port);
  } else if (address.ss_family == AF_INET6) {
    sockaddr_in6 ipv6{};
    std::memcpy(&ipv6, &address, sizeof(ipv6));
    inet_ntop(AF_INET6, &ipv6.sin6_addr, text.data(), text.size());
    port = ntohs(ipv6.sin6_port);
  }
  ip = text.data();
}

}  // namespace

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
    const Duration left = deadline_ - platform::BootTimeNow();
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

ssize_t BoundedStream::read(char* target, size_t size) {
  if (!write_buffer_.empty() && !Flush()) return -1;
  while (!HasUnreadBytes()) {
    if (read_left_ == 0) {
      limit_reached_ = true;
      return -1;
    }
    const ssize_t received =
        ::recv(descriptor_, read_buffer_.data(), std::min(read_buffer_.size(), read_left_), 0);
    if (received == 0) return 0;
    if (received > 0) {
      read_position_ = 0;
      read_end_ = static_cast<std::size_t>(received);
      read_left_ -= read_end_;
      break;
    }
    if (errno == EINTR) continue;
    if ((errno != EAGAIN && errno != EWOULDBLOCK) || !WaitFor(POLLIN)) return -1;
  }
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
    const ssize_t sent =
        ::send(descriptor_, write_buffer_.data() + done, write_buffer_.size() - done, MSG_NOSIGNAL);
    if (sent > 0) {
      done += static_cast<std::size_t>(sent);
      sent_ += static_cast<std::size_t>(sent);
      continue;
    }
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && WaitFor(POLLOUT)) continue;
    write_buffer_.clear();
    return false;
  }
  write_buffer_.clear();
  return true;
}

void BoundedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (::getpeername(descriptor_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
    NameOf(address, ip, port);
  }
}

void BoundedStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
    NameOf(address, ip, port);
  }
}

}  // namespace graniteseam::http
