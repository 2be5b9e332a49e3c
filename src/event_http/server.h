/// @file
/// An HTTP/1.1 server on an event loop: a connection costs a socket and a buffer, not a thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "src/event_http/byte_account.h"
#include "src/event_http/message.h"
#include "src/runtime/clock.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::event_http {

/// What a client may send and how long it may take. May change while the server runs.
struct ServerLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = std::size_t{1} << 20;
  Duration header_timeout{5'000'000};
  Duration idle_timeout{60'000'000};
};

/// A connection whose bytes were needed for others.
struct Eviction {
  std::string peer;  ///< "ip:port".
  std::size_t bytes = 0;
  double bytes_per_second = 0;  ///< That the peer has lately sent or read.
  bool upload = false;          ///< Of a request that was not whole; otherwise of responses.
};

struct ServerOptions {
  runtime::SocketAddress address;
  /// Beyond it, a new connection closes the one that has rested longest, and is closed itself when
  /// none rests.
  std::size_t connections_maximum = 2'000;
  /// What the server holds for its clients is charged to it; null: one of its own.
  std::shared_ptr<ByteAccount> account;
  /// Called as it happens, from within the charge that needed the room. May be empty.
  std::function<void(const Eviction&)> on_eviction;
  /// Limit of an account of its own.
  std::size_t body_bytes_total = std::size_t{96} << 20;
  /// A client that takes no bytes of its answer for so long is hung up on, but not before
  /// Response::deliver_by. One that does not even acknowledge is hung up on by PeerSilence.
  Duration write_timeout{10'000'000};
  /// Whether a request may run in parallel with others of its connection. It must be idempotent and
  /// have a safe method (RFC 9112, section 9.3.2). Empty: requests of a connection run one after
  /// the other.
  std::function<bool(const Request&)> may_run_beside;
  /// Requests of one connection in progress, those whose responses wait for their turn included.
  std::size_t requests_ahead_maximum = 16;
  /// Bytes of finished responses of one connection that wait for their turn. Beyond it no further
  /// request of the connection begins; those in progress go on.
  std::size_t answer_bytes_ahead = std::size_t{256} << 10;
  /// Rate at which all bulk responses together are written; 0: as fast as the link takes them.
  double bulk_bytes_per_second = 0;
  /// Tests step it by hand.
  std::function<Instant()> clock = runtime::BootTimeNow;
};

/// One request that was read whole, until it is answered.
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;
  /// When its last byte was read.
  virtual Instant received_at() const = 0;
  /// From received_at() until the handler was given it: a request that was sent ahead waits for
  /// earlier ones of its connection.
  virtual Duration connection_wait() const = 0;
  /// Sends the answer, once. After the client has gone it does nothing.
  virtual void Respond(Response response) = 0;
  /// Is called at most once, when the client goes before it was answered; not when the server is
  /// destroyed.
  virtual void OnGone(std::function<void()> handler) = 0;
};

/// What becomes of requests that have arrived when a server closes, but were not read by then.
enum class ArrivedRequests {
  kServe,   ///< The handler gets them.
  kRefuse,  ///< They are refused with 503.
};

/// What a server found as it closed.
struct CloseCounts {
  std::size_t accepted = 0;  ///< Connections taken from the listener's queue.
  std::size_t unread = 0;    ///< Idle connections on which bytes had arrived.
  std::size_t refused = 0;   ///< Requests answered with 503 since.
};

/// All calls and handlers run on the event loop's thread.
///
/// Lifecycle: Start() once; BeginDrain(), then Close() for a planned stop. The event loop stops
/// before destruction. Requests of one connection are answered in their order; they run one
/// at a time, but for those that ServerOptions::may_run_beside permits to run in parallel.
/// Malformed, oversized and slow input is answered with 400, 408, 413, 431 or 503 and ends its
/// connection; others are not touched by it. Where the account is full, clients that send or read
/// slowest for what they hold are ended, as ByteAccount says.
///
/// Invariant: a request that the handler was given is answered before its connection ends, unless
/// the client left or takes no bytes. A client that ends its sending before its answer was made has
/// left: a closed connection looks the same, and work for nobody must end.
/// Invariant: an idle connection is not closed while its socket holds bytes. A request that crosses
/// the close stays unread, unless an answer is still on its way.
class Server {
 public:
  using Handler = std::function<void(const std::shared_ptr<Exchange>& exchange)>;

  Server(boost::asio::io_context& context, ServerOptions options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// @return kInvalidSettings when the address can't be listened on.
  Result<void> Start();
  std::uint16_t port() const;

  void SetLimits(const ServerLimits& limits);
  /// Says when the process ends: bulk responses, those that are made later included, are handed to
  /// their sockets by then, at more than ServerOptions::bulk_bytes_per_second where they must.
  void WriteBulkBy(Instant end);
  /// From now on each answer ends its connection, unless its client had sent a further request
  /// ahead. Where requests run in parallel, nothing further begins and the last of their answers
  /// ends the connection. New connections are still taken.
  void BeginDrain();
  /// Closes the listener and all idle connections, after it has read what had arrived there by
  /// then. Whole requests among that go to the handler or are refused with 503, as `arrived` says;
  /// the handler gets nothing else: a request that is whole only later, or was sent ahead, is
  /// refused. Ends when busy() is 0.
  void Close(ArrivedRequests arrived = ArrivedRequests::kRefuse);
  CloseCounts close_counts() const;

  std::size_t connections() const;
  /// Connections whose request waits for its answer, or whose last answer may not have been taken
  /// yet. After Close(), all that are open.
  std::size_t busy() const;
  /// Bytes of responses that were made and that the sockets have not taken yet. They are lost if
  /// the process ends now.
  std::size_t unwritten_bytes() const;
  /// Requests that were refused with 503 since there was no room for their bytes.
  std::uint64_t refusals_for_room() const;

  class Impl;  ///< Known to the implementation only.

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace graniteseam::event_http
