/// @file
/// The links between a fleet's processes: delays and cuts, by a TCP relay in front of each process.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::testbed {

/// How one link carries bytes at present. Asked for each connection and each piece of data.
struct LinkState {
  bool cut = false;
  Duration delay{0};
  /// Connections that were made earlier carry nothing any more, and are not ended; newer ones work.
  Instant silent_before{};
};

/// The two ends of a connection that the relay took, as its client sees them.
struct ConnectionEnds {
  runtime::SocketAddress client;
  runtime::SocketAddress relay;
};

/// What a relay adds to the state of its links.
struct LinkOptions {
  /// Tells when bytes that are sent now have arrived. Empty for links of unlimited bandwidth.
  /// Called on the relay's thread, once for each piece of data.
  std::function<Instant(const std::string& from_ip, const std::string& to_ip, std::size_t bytes,
                        Instant now)>
      arrival;
  /// Whether a connection over a healed link resumes only when TCP sends the lost bytes again, and
  /// ends when they were not acknowledged for 5 s. Otherwise it resumes at once.
  bool retransmits = false;
};

/// Relays connections to addresses 127.0.x.y, for those who were told that they are 127.1.x.y.
///
/// A cut link is silent, as a lost network is: bytes of connections that exist are held and arrive
/// when the link is healed, or later if LinkOptions say so; a connection made while the link is cut
/// is never led on. Both sides of a connection are judged by themselves, so a cut may be one way.
/// A connection may also fall silent for good while new ones over the same link work: what is sent
/// on it is acknowledged by the relay and goes nowhere, as behind a lost entry of an address
/// translation.
///
/// Thread safe; the relay runs on a thread of its own.
class LinkLayer {
 public:
  /// @param state tells the link from one address to another ("127.0.1.2"); called on the relay's
  ///     thread.
  using StateFunction =
      std::function<LinkState(const std::string& from_ip, const std::string& to_ip)>;

  /// Tells the address ("127.0.1.2") of the process that opened a connection, or "" when it is none
  /// of the fleet; called on the relay's thread, once a connection.
  using SourceFunction = std::function<std::string(const ConnectionEnds& ends)>;

  LinkLayer(StateFunction state, SourceFunction source, LinkOptions options = {});
  ~LinkLayer();

  /// Relays connections to `address` from now on.
  Result<void> AddEndpoint(const runtime::SocketAddress& address);

  /// Where others reach what listens on `ip`.
  static std::string RelayIp(const std::string& ip);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace graniteseam::testbed
