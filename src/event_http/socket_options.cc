#include "src/event_http/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace graniteseam::event_http {
namespace {

constexpr unsigned kNothingTakenMaximumMs = 60'000;

}  // namespace

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                                 &kNothingTakenMaximumMs, sizeof(kNothingTakenMaximumMs)));
}

std::size_t UnacknowledgedBytes(const boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  // asio has no native_handle() of a constant socket.
  const int descriptor = const_cast<boost::asio::ip::tcp::socket&>(socket).native_handle();
  const bool known = ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
  return known ? static_cast<std::size_t>(bytes) : 0;
}

bool IsAcknowledged(boost::asio::ip::tcp::socket& socket) {
  return UnacknowledgedBytes(socket) == 0;
}

bool IsOpeningSettled(boost::asio::ip::tcp::socket& socket) {
  pollfd descriptor{socket.native_handle(), POLLOUT, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

void DiscardOnClose(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

}  // namespace graniteseam::event_http
