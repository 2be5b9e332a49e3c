/// @file
/// Calls to HTTP/1.1 servers over kept connections on an event loop, one call at a time on each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "graniteseam/common/ids.h"
#include "graniteseam/common/time.h"
#include "src/event_http/byte_account.h"
#include "src/event_http/message.h"

namespace graniteseam::event_http {

/// Names a call as long as its pool lives.
using CallNumber = NumericId<struct CallNumberTag>;
/// Names a connection as long as its pool lives.
using ConnectionNumber = NumericId<struct ConnectionNumberTag>;

struct Call {
  std::string address;  ///< "ip:port".
  std::string bytes;    ///< The whole request, or all of it that stands before `body`.
  /// Sent after `bytes`; null: nothing is. Shared, so that a request that is sent again is held
  /// once.
  std::shared_ptr<const std::string> body{};
  bool head = false;  ///< A HEAD request: its answer has no body.
  /// For connecting, sending and the whole answer together. What has arrived by then is taken, also
  /// by a loop that is late, but not what waits for room in the pool's account.
  Duration limit{};
  /// For a call whose answer can't be told from one to another call: a kept connection may still
  /// bring a second answer to an earlier one.
  bool needs_new_connection = false;
  /// Connections that are not used, since they carried calls whose answers look like one to this
  /// call. A second answer to one of those may still come.
  std::vector<ConnectionNumber> avoided_connections{};
  /// A request that is not handed to the kernel by then is not sent at all.
  Instant not_after = Instant::max();
  /// Whether a new connection is watched before the request is sent, as the pool's options say.
  bool watches_new_connection = true;
  /// Opens a connection and closes it, without a request: the call is answered, by an empty
  /// response, once the server has accepted. Needs needs_new_connection.
  bool only_connects = false;
  /// Connections that rested longer are not used: the server may just be closing them.
  Duration rested_maximum{4'000'000};
};

enum class CallEnd {
  kAnswered,
  kNotSent,   ///< No byte was handed to the kernel.
  kLost,      ///< Sent; the connection ended, or the limit came, without a whole answer.
  kMalformed  ///< Sent; what came is no answer of the protocol, or longer than allowed.
};

/// Why a call ended without an answer.
enum class CallFault {
  kConnection,  ///< The connection was refused, failed or ended.
  kTimeout,     ///< A time limit passed.
  kDelay,       ///< This process was too late to send the request.
};

struct CallResult {
  CallEnd end = CallEnd::kLost;
  CallFault fault = CallFault::kConnection;  ///< When not answered.
  Response response;                         ///< When answered.
  bool server_closes = false;                ///< The server said that it closes the connection.
  /// The call opened its connection, or tried to; otherwise it went over a kept one.
  bool new_connection = false;
  ConnectionNumber connection;  ///< That the call used.
  /// When lost at its limit: the answer was arriving and waited for room in the pool's account; the
  /// server was not silent.
  bool awaited_room = false;
};

struct ClientPoolOptions {
  std::size_t answer_bytes_maximum = std::size_t{64} << 20;
  /// Charged for the bodies of answers, until Response::charge ends. An answer for which it has no
  /// room is not read on until it has; one for which it never has ends the call as malformed. Null:
  /// nothing is charged.
  std::shared_ptr<ByteAccount> account{};
  std::size_t resting_maximum = 8;  ///< Connections kept for one address.
  Duration connect_limit{1'000'000};
  /// A new connection is watched for as long as its opening took, within these bounds, before a
  /// request is sent over it: a server that has too many connections accepts one and resets it at
  /// once, and a request that was sent by then may have run for all that is known. Zero: not at
  /// all.
  Duration watch_minimum{0};
  Duration watch_maximum{0};
  /// A connection that rests longer is closed, sooner when its server says so.
  Duration rest_limit{8'000'000};
};

struct ClientPoolCounts {
  std::uint64_t connections_opened = 0;
  std::uint64_t calls = 0;
  std::uint64_t calls_that_awaited_room = 0;
};

/// Invariant: a connection is used again only after exactly one whole answer to its last request,
/// after the request was sent whole, and while nothing lies unread in its socket; a call that ends
/// in any other way closes it with a reset, so that nothing of it arrives later. Everything runs on
/// the event loop's thread.
class ClientPool {
 public:
  using Handler = std::function<void(CallResult result)>;

  ClientPool(boost::asio::io_context& context, ClientPoolOptions options);
  ~ClientPool();
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  /// @param handler is called once, never before Start() returned, and not after Abandon().
  CallNumber Start(Call call, Handler handler);
  /// Gives up a call and resets its connection.
  void Abandon(CallNumber call);
  /// Tells that an answer is not to be trusted: the connection that brought it, if it rests, is
  /// closed.
  void Distrust(CallNumber call);

  const ClientPoolCounts& counts() const;

  class Impl;  ///< Known to the implementation only.

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::event_http
