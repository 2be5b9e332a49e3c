// How a connection writes its responses.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "src/event_http/server_connection.h"
#include "src/event_http/server_statuses.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;

/// Of one write, so that other connections have their turn between two.
constexpr std::size_t kWriteBytes = 65'536;
/// Shorter responses are not charged.
constexpr std::size_t kSmallResponseBytes = 65'536;

}  // namespace

void ServerConnection::Respond(Pipeline::Ticket ticket, Response response) {
  if (closed_ || !pipeline_.IsOpen(ticket)) return;
  if (!ChargeResponse(response)) response = RoomRefusal();
  pipeline_.Finish(ticket, std::move(response));
  WriteNext();
}

/// Large responses that are made here are charged as those of servers are. Only reads have such.
bool ServerConnection::ChargeResponse(Response& response) const {
  const std::size_t bytes = response.body.size();
  if (response.charge || bytes <= kSmallResponseBytes) return true;
  const auto charge = MakeCharge(account_);
  if (!charge->Set(bytes, ChargeSize::kLarge, this)) return false;
  response.charge = charge;
  return true;
}

void ServerConnection::WriteNext() {
  if (writing_) return;
  auto ready = pipeline_.TakeReady();
  if (!ready) return;
  const auto server = server_.lock();
  // The caller sends again what came behind the answer that ends the connection, so it is the last
  // answer in progress. After a close, what was sent ahead is refused instead.
  if (server && server->draining() && !server->closing() && !refusal_status_) {
    pipeline_.EndWithLast();
  }
  // What the client sent ahead of a request that ran alone is answered before the connection ends.
  const bool leaves = !server || server->draining() || server->closing();
  ErrorCode ignored;
  const bool nothing_behind = ready->last && !next_ && !parser_ && !refusal_status_ &&
                              buffer_.empty() && (!leaves || socket_.available(ignored) == 0);
  const bool close = ready->ends_connection || (leaves && nothing_behind);
  Write(std::move(ready->response), close);
}

void ServerConnection::Write(Response response, bool close) {
  const bool bulk = response.bulk;
  deliver_by_ = response.deliver_by;
  writing_ = true;
  write_closes_ = close;
  output_ = {std::move(response), close};
  last_activity_ = last_written_ = clock_();
  download_rate_.Start(last_written_);
  const auto server = server_.lock();
  if (!bulk || !server || !server->pacer().Paces(output_.size())) return WriteSome(output_.size());
  paced_bytes_left_ = output_.size();
  server->pacer().Add(paced_bytes_left_);
  WritePiece();
}

void ServerConnection::WriteSome(std::size_t bytes) {
  write_end_ = output_.taken() + bytes;
  WriteArea();
}

/// No operation that is pending refers to the output, so that it can be freed at any time.
void ServerConnection::WriteArea() {
  ErrorCode error;
  const std::size_t most = std::min(kWriteBytes, write_end_ - output_.taken());
  const std::size_t taken = socket_.write_some(output_.Next(most), error);
  if (error == asio::error::would_block) {
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](ErrorCode failure) {
                         if (self->closed_) return;
                         failure ? self->OnWritten(failure) : self->WriteArea();
                       });
    return;
  }
  if (!error) OnTaken(taken);
  // Not from within the caller, which may be the handler of a request.
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), error] { self->OnAreaWritten(error); });
}

void ServerConnection::OnTaken(std::size_t bytes) {
  output_.Take(bytes);
  written_bytes_ += bytes;
  last_activity_ = last_written_ = clock_();
  CountAcknowledged(last_written_);
}

void ServerConnection::OnAreaWritten(ErrorCode error) {
  if (closed_) return;
  if (error || output_.left() == 0) return OnWritten(error);
  output_.taken() < write_end_ ? WriteArea() : WritePiece();
}

void ServerConnection::WritePiece() {
  const auto server = server_.lock();
  if (!server) return Close();
  const std::size_t bytes = std::min(WritePacer::kPieceBytes, output_.left());
  piece_timer_.expires_after(server->pacer().Reserve(bytes, clock_()));
  // The timer is cancelled when there is nothing to wait for any more.
  piece_timer_.async_wait([self = shared_from_this(), bytes](ErrorCode) {
    if (!self->closed_) self->WriteDue(bytes);
  });
}

void ServerConnection::WriteDue(std::size_t piece_bytes) {
  const auto server = server_.lock();
  if (!server) return Close();
  const std::size_t left = output_.left() - piece_bytes;
  const std::size_t bytes = piece_bytes + server->pacer().MakeUp(left, clock_());
  ReturnPacedBytes(bytes);
  WriteSome(bytes);
}

void ServerConnection::ReturnPacedBytes(std::size_t bytes) {
  paced_bytes_left_ -= bytes;
  if (const auto server = server_.lock()) server->pacer().Remove(bytes);
}

void ServerConnection::OnWritten(ErrorCode error) {
  if (closed_) return;
  writing_ = false;
  output_.Clear();
  last_activity_ = clock_();
  // A message that is being parsed has its time from here on.
  message_start_ = last_activity_;
  upload_rate_.Start(last_activity_);
  if (error) return Close();
  // A client that ended its sending has nothing left that could reset the answer.
  if (write_closes_) return input_ended_ ? Close() : Linger();
  WriteNext();
  if (writing_) return Advance();
  // Nobody waits for responses that were not made yet.
  if (input_ended_) return Close();
  if (pipeline_.empty() && refusal_status_) return WriteRefusal();
  const auto server = server_.lock();
  // The server was closed amid an answer that did not say so.
  if (server && server->closing() && pipeline_.empty()) {
    const bool idle = buffer_.empty() && !next_ && !parser_;
    return idle ? CloseUnlessArrived(ArrivedRequests::kRefuse) : Refuse(kServiceUnavailable);
  }
  Advance();
}

}  // namespace graniteseam::event_http
