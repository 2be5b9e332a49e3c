/// @file
/// A connection of a client pool: one call at a time, or at rest.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "src/event_http/answer_reader.h"
#include "src/event_http/client_pool.h"
#include "src/event_http/peer_silence.h"
#include "src/event_http/read_buffer.h"
#include "src/runtime/clock.h"

namespace graniteseam::event_http {

/// Invariant: see ClientPool. Lives as long as the pool keeps it or an operation on its socket is
/// pending.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(boost::asio::io_context& context, ConnectionNumber connection,
                   std::string address, std::weak_ptr<ClientPool::Impl> pool)
      : connection_(connection),
        socket_(context),
        timer_(context),
        watch_(context),
        room_timer_(context),
        address_(std::move(address)),
        pool_(std::move(pool)) {}

  ConnectionNumber number() const { return connection_; }
  const std::string& address() const { return address_; }
  CallNumber last_call() const { return number_; }
  Duration Rested() const { return runtime::BootTimeNow() - rests_since_; }
  Duration rest_limit() const { return rest_limit_; }

  void Start(CallNumber number, Call call, ClientPool::Handler handler);

  /// Closes without calling the handler.
  void Drop();

  /// Ends the call if the server has vanished: it acknowledges nothing of the request.
  void EndIfVanished(Instant now);

  /// Whether the socket holds nothing unread: no bytes, no end and no fault of the connection.
  bool Silent();

 private:
  Duration ConnectLimit() const;
  bool IsTooLate() const { return runtime::BootTimeNow() > call_.not_after; }
  void ArmTimer(Duration span);
  void OnLimit();
  /// Ends the call at its limit, but takes first what has arrived: a loop that is late may not have
  /// read it, or only in part.
  /// @param most bytes read on this connection by then; a server that goes on sending ends here.
  void TakeArrived(std::uint64_t most);
  /// Whether the kernel has opened the connection, or failed to, which this loop has yet to handle.
  bool AwaitsOpening();
  /// Of the call's limit since its connection began to open.
  Duration LeftOfLimit() const;
  void Connect();
  void SettleConnected();
  void WatchAndWrite(Duration opening);
  void Write();
  void Read();
  void OnRead(boost::system::error_code error);
  void Parse();
  /// Reads nothing until the account may have room for the answer.
  void AwaitRoom();
  void OnRoom();
  /// Records an error of the socket. The kernel reports each one once, to whichever operation comes
  /// next, and says afterwards that the stream has ended.
  void NoteError(const boost::system::error_code& error);
  /// The server closed: that ends an answer without a length, and cuts off every other.
  void OnEnd();
  /// Hands the answer over, which may be whole before the request is known to be written. The
  /// connection rests only when nothing of either message is left over.
  void Settle();
  void Fail(CallEnd end, CallFault fault = CallFault::kConnection);
  void Close(bool discard);

  const ConnectionNumber connection_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer watch_;
  boost::asio::steady_timer room_timer_;
  const std::string address_;
  const std::weak_ptr<ClientPool::Impl> pool_;
  CallNumber number_;
  Call call_;
  ClientPool::Handler handler_;
  PeerSilence silence_;
  AnswerReader answer_;
  ReadBuffer buffer_;
  std::uint64_t read_bytes_ = 0;
  Instant started_at_{};
  Instant rests_since_{};
  Duration rest_limit_{};
  bool connected_ = false;
  bool new_connection_ = false;  ///< For the present call.
  bool handed_over_ = false;
  bool written_ = false;
  bool ended_ = false;
  bool broken_ = false;          ///< Some bytes that the server sent may never arrive.
  bool awaits_room_ = false;     ///< Nothing is read meanwhile.
  bool awaited_room_ = false;    ///< At some time of the present call.
  bool asked_for_room_ = false;  ///< The account tells this connection when bytes are returned.
  bool closed_ = false;
};

}  // namespace graniteseam::event_http
