/// @file
/// One connection of an HTTP server.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "src/event_http/byte_account.h"
#include "src/event_http/framing_limit.h"
#include "src/event_http/head_fields.h"
#include "src/event_http/peer_silence.h"
#include "src/event_http/pipeline.h"
#include "src/event_http/rate_meter.h"
#include "src/event_http/read_buffer.h"
#include "src/event_http/read_times.h"
#include "src/event_http/response_output.h"
#include "src/event_http/segmented_body.h"
#include "src/event_http/server_impl.h"

namespace graniteseam::event_http {

/// A request that was parsed and may not begin yet.
struct ParsedRequest {
  Request request;
  bool keep_alive = true;
  bool beside = false;
  std::shared_ptr<const ByteCharge> charge;  ///< Of the request, as long as it is held.
  Instant received_at{};
};

/// Reads requests one after the other. While requests are in progress it parses and begins further
/// ones as far as Pipeline permits; otherwise it only goes on reading a little, to see when the
/// client leaves.
///
/// What its client makes it hold can be evicted while the client has not sent a request whole,
/// which is then refused, or does not read a response, which is then cut. Requests in progress are
/// not evicted for what they hold.
class ServerConnection final : public ByteHolder,
                               public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(boost::asio::ip::tcp::socket socket,
                   const std::shared_ptr<Server::Impl>& server);
  ~ServerConnection() override { account_->Remove(*this); }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  std::size_t evictable_bytes() const override;
  double bytes_per_second(Instant now) const override;
  void Evict() override;

  void Start();

  /// Whether a request has no response yet, or a response is being written.
  bool busy() const { return !pipeline_.empty() || writing_; }
  /// Also while the client may not have taken its answer yet.
  bool unfinished() const { return busy() || lingering_; }
  /// Of responses that were made: what the socket has not taken yet.
  std::size_t unwritten_bytes() const { return output_.left() + pipeline_.waiting_answer_bytes(); }

  /// Closes an idle connection, after the requests that its socket holds were begun or refused.
  /// Does nothing while a request or an answer is in progress.
  /// @param arrived what becomes of these requests if the server is closing.
  void CloseUnlessArrived(ArrivedRequests arrived);
  void Close();
  /// Closes without calling the handler of a client that goes: the server itself goes, and what the
  /// handler would use may be gone already.
  void Drop();
  /// Whether nothing of a request has come since the last response was taken over by the socket.
  bool resting() const {
    return !unfinished() && !parser_ && !next_ && buffer_.empty() && !closed_;
  }
  Instant last_activity() const { return last_activity_; }
  /// Ends what takes too long.
  void Sweep(Instant now);
  /// Writes the piece that waits for its turn.
  void EndPieceWait() { piece_timer_.cancel(); }

 private:
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::request_parser<SegmentedBody>;
  class ExchangeImpl;

  void Read();
  void OnReadable(ErrorCode error);
  /// Reads what the socket holds, up to the read-ahead bound.
  /// @return what ended it: would_block once the socket is empty, none at the bound.
  ErrorCode ReadArrived();
  /// Reads once, without waiting.
  ErrorCode ReadSome();
  /// Parses and begins what was read, as far as the requests in progress permit, and reads on.
  void Advance();
  void ParseRead(Server::Impl& server);
  /// Whether a further request of the connection may begin at all. None does once the client ended
  /// its sending: its answer would reach nobody.
  bool TakesRequests() const;
  bool MayParse() const;
  /// Parses until a request is whole.
  /// @return whether to go on.
  bool ParseSome(Server::Impl& server);
  void BeginMessage(Server::Impl& server);
  void TakeHead();
  /// Whether a head, the line of a chunk or a trailer is too long.
  bool FramingExceeded(std::size_t consumed);
  bool InChunkLine() const;
  /// Charges the account with what is held of the message that is being parsed.
  /// @return false when there is no room.
  bool ChargeMessage();
  /// Drops the message that is being parsed, and one that was not begun.
  void ForgetUnbegun();
  /// Charges what was read and not parsed yet.
  /// @return false when there is no room.
  bool ChargeUnread();
  void ExpectContinue();
  /// Takes the request that was parsed out of the parser.
  void TakeParsed(Server::Impl& server);
  /// Begins the parsed request if it may begin now.
  /// @return whether it did.
  bool Dispatch(Server::Impl& server);

  void Respond(Pipeline::Ticket ticket, Response response);
  /// @return false when there is no room for the body.
  bool ChargeResponse(Response& response) const;
  /// Refuses a request for want of room.
  static Response RoomRefusal();
  /// Writes the next response whose turn has come, if none is being written.
  void WriteNext();
  void Write(Response response, bool close);
  /// Hands the next bytes of the output to the socket, then writes the following piece.
  void WriteSome(std::size_t bytes);
  /// Writes once, without waiting, and then goes on when the socket takes more.
  void WriteArea();
  void OnAreaWritten(ErrorCode error);
  /// The socket took bytes of the output.
  void OnTaken(std::size_t bytes);
  /// Writes the output in pieces, each when the pacer permits it.
  void WritePiece();
  /// Writes a piece whose time has come, and with it what a late event loop held up.
  void WriteDue(std::size_t piece_bytes);
  /// Bytes that the pacer counts were handed to the socket, or will not be.
  void ReturnPacedBytes(std::size_t bytes);
  void OnWritten(ErrorCode error);
  /// Ends the sending side, and takes what the client still sends, so that no reset overtakes the
  /// answer.
  void Linger();
  /// Ends the sending side of an idle connection and reads nothing more: a request that crosses the
  /// end is neither begun nor thrown away.
  void LingerUnread();
  /// Closes, or takes what the client has sent where its answer is still on its way.
  void FinishLinger();
  void RefuseFor(ErrorCode error);
  /// Ends the connection with an answer of the server's own, once all requests in progress are
  /// answered.
  void Refuse(int status);
  void RefuseForRoom();
  void WriteRefusal();
  /// Ends the connection and returns all that it holds.
  /// @return handlers of clients that go, which are to be called.
  std::vector<std::function<void()>> Release();
  /// Whether the client has taken no bytes of the response being written for too long.
  bool WriteStalls(Instant now) const;
  /// Counts what the client has acknowledged of what was written: the socket takes far more ahead.
  void CountAcknowledged(Instant now);

  boost::asio::ip::tcp::socket socket_;
  const std::weak_ptr<Server::Impl> server_;
  const std::shared_ptr<ByteAccount> account_;
  const std::function<Instant()> clock_;
  ByteCharge unread_charge_;  ///< Of the buffer.
  ReadBuffer buffer_;
  ReadTimes read_times_;
  std::optional<Parser> parser_;
  FramingLimit framing_limit_;
  HeadFields head_;  ///< Of the message that is being parsed.
  HeaderFields head_fields_;
  bool head_is_taken_ = false;
  Pipeline pipeline_;
  std::optional<ParsedRequest> next_;
  RateMeter upload_rate_;               ///< Of the message that is being parsed.
  RateMeter download_rate_;             ///< Of the response being written.
  std::size_t written_bytes_ = 0;       ///< Of all responses.
  std::size_t acknowledged_bytes_ = 0;  ///< Of these.
  Instant acknowledged_checked_at_{};
  ResponseOutput output_;
  std::size_t write_end_ = 0;         ///< Up to here the output may be written now.
  std::size_t paced_bytes_left_ = 0;  ///< Of the output, counted by the pacer.
  boost::asio::steady_timer piece_timer_;
  std::shared_ptr<ByteCharge> message_charge_;  ///< Of the message that is being parsed.
  Instant message_start_{};
  Instant last_activity_{};
  Instant last_written_{};  ///< When the client last took bytes of the response being written.
  Instant deliver_by_{};    ///< Of that response.
  PeerSilence silence_;
  std::optional<int> refusal_status_;  ///< Set when the connection ends with a refusal.
  bool refused_for_room_ = false;
  bool continued_ = false;
  bool writing_ = false;
  bool write_closes_ = false;  ///< The connection ends with the response being written.
  bool lingering_ = false;
  bool leaves_unread_ = false;  ///< While lingering.
  bool awaits_input_ = false;
  bool serves_while_closing_ = false;  ///< Requests are handed on although the server closes.
  bool input_ended_ = false;
  bool closed_ = false;
};

}  // namespace graniteseam::event_http
