#include "src/event_http/peer_silence.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace graniteseam::event_http {

std::optional<Acknowledgements> ReadAcknowledgements(boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return std::nullopt;
  }
  Acknowledgements acknowledgements;
  acknowledgements.awaited = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
  acknowledgements.since_last = std::chrono::milliseconds(info.tcpi_last_ack_recv);
  return acknowledgements;
}

bool PeerSilence::Record(const Acknowledgements& acknowledgements, Instant now) {
  const bool gap = now - checked_at_ > kCheckGapMaximum;
  checked_at_ = now;
  if (!acknowledgements.awaited) {
    silent_since_.reset();
    return false;
  }
  if (!silent_since_ || gap) silent_since_ = now;
  silent_since_ = std::max(*silent_since_, now - acknowledgements.since_last);
  return now - *silent_since_ > kMaximum;
}

bool PeerSilence::Exceeds(boost::asio::ip::tcp::socket& socket, Instant now) {
  const auto acknowledgements = ReadAcknowledgements(socket);
  return acknowledgements && Record(*acknowledgements, now);
}

}  // namespace graniteseam::event_http
