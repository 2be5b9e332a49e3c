/// @file
/// The links between a fleet's processes: delays and cuts, by a TCP relay in front of each process.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "src/platform/socket_address.h"

namespace graniteseam::testbed {

/// How one link carries bytes at present. Asked for each connection and each piece of data.
struct LinkState {
  bool cut = false;
  Duration delay{0};
};

/// Relays connections to addresses 127.0.x.y, for those who come through the connect shim to
/// 127.1.x.y.
///
/// A cut link is silent, as a lost network is: bytes of connections that exist are held and arrive
/// when the link is healed, if nobody has given up by then; a connection made while the link is cut
/// is never led on. Both sides of a connection are judged by themselves, so a cut may be one way.
///
/// Thread safe; the relay runs on a thread of its own.
class LinkLayer {
 public:
  /// @param state tells the link from one address to another ("127.0.1.2"); called on the relay's
  ///     thread.
  using StateFunction =
      std::function<LinkState(const std::string& from_ip, const std::string& to_ip)>;

  explicit LinkLayer(StateFunction state);
  ~LinkLayer();

  /// Relays connections to `address` from now on.
  Result<void> AddEndpoint(const platform::SocketAddress& address);

  /// Where the shim leads connections to `ip`.
  static std::string RelayIp(const std::string& ip);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::testbed
