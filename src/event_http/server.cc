#include "src/event_http/server.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "src/event_http/server_connection.h"
#include "src/event_http/server_impl.h"
#include "src/runtime/listen.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

}  // namespace

// --- Server::Impl ---

Result<void> Server::Impl::Start() {
  BOOST_LEAF_ASSIGN(port_,
                    runtime::Listen(acceptor_, options_.address,
                                    "Choose an address of this machine whose port is free."));
  ErrorCode ignored;
  acceptor_.non_blocking(true, ignored);
  asio::post(context_, [self = shared_from_this()] {
    self->Accept();
    self->Sweep();
  });
  return {};
}

void Server::Impl::Accept() {
  if (closing_) return;
  acceptor_.async_wait(Tcp::acceptor::wait_read, [self = shared_from_this()](ErrorCode error) {
    if (self->closing_) return;
    if (!error) self->TakeQueued();
    self->Accept();
  });
}

void Server::Impl::TakeQueued() {
  ErrorCode error;
  while (!error) {
    Tcp::socket socket = acceptor_.accept(error);
    if (!error) Take(std::move(socket));
  }
}

void Server::Impl::Take(Tcp::socket socket) {
  if (!closing_ && connections_.size() >= options_.connections_maximum) CloseRested();
  // The last ones of the queue are taken in any case: they end at once.
  if (!closing_ && connections_.size() >= options_.connections_maximum) return;
  const auto connection = std::make_shared<ServerConnection>(std::move(socket), shared_from_this());
  connections_.insert(connection);
  connection->Start();
  close_counts_.accepted += closing_ ? 1 : 0;
}

void Server::Impl::CloseRested() {
  std::shared_ptr<ServerConnection> longest;
  for (const auto& connection : connections_) {
    if (!connection->resting()) continue;
    if (longest && longest->last_activity() <= connection->last_activity()) continue;
    longest = connection;
  }
  if (longest) longest->CloseUnlessArrived(ArrivedRequests::kServe);
}

void Server::Impl::Sweep() {
  const Instant now = options_.clock();
  account_->Sweep(now);
  const auto connections = connections_;
  for (const auto& connection : connections) connection->Sweep(now);
  sweep_.expires_after(ByteAccount::kSweepInterval);
  sweep_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (!error) self->Sweep();
  });
}

std::size_t Server::Impl::busy() const {
  if (closing_) return connections_.size();
  std::size_t busy = 0;
  for (const auto& connection : connections_) busy += connection->unfinished() ? 1 : 0;
  return busy;
}

void Server::Impl::Close(ArrivedRequests arrived) {
  closing_ = true;
  // Before a client can see that its connection has ended, and connects anew.
  TakeQueued();
  ErrorCode ignored;
  acceptor_.close(ignored);
  const auto connections = connections_;
  for (const auto& connection : connections) connection->CloseUnlessArrived(arrived);
}

void Server::Impl::Stop() {
  closing_ = true;
  ErrorCode ignored;
  acceptor_.close(ignored);
  sweep_.cancel();
  const auto connections = connections_;
  for (const auto& connection : connections) connection->Drop();
}

std::size_t Server::Impl::unwritten_bytes() const {
  std::size_t bytes = 0;
  for (const auto& connection : connections_) bytes += connection->unwritten_bytes();
  return bytes;
}

void Server::Impl::WriteBulkBy(Instant end) {
  pacer_.EndBy(end);
  if (!pacer_.GivesUp(options_.clock())) return;
  for (const auto& connection : connections_) connection->EndPieceWait();
}

// --- Server ---

Server::Server(asio::io_context& context, ServerOptions options, Handler handler)
    : impl_(std::make_shared<Impl>(context, std::move(options), std::move(handler))) {}
Server::~Server() { impl_->Stop(); }

Result<void> Server::Start() { return impl_->Start(); }
std::uint16_t Server::port() const { return impl_->port(); }
void Server::SetLimits(const ServerLimits& limits) { impl_->SetLimits(limits); }
void Server::BeginDrain() { impl_->BeginDrain(); }
void Server::Close(ArrivedRequests arrived) { impl_->Close(arrived); }
CloseCounts Server::close_counts() const { return impl_->close_counts(); }
std::size_t Server::connections() const { return impl_->connections(); }
std::size_t Server::busy() const { return impl_->busy(); }
std::size_t Server::unwritten_bytes() const { return impl_->unwritten_bytes(); }
std::uint64_t Server::refusals_for_room() const { return impl_->refusals_for_room(); }
void Server::WriteBulkBy(Instant end) { impl_->WriteBulkBy(end); }

}  // namespace graniteseam::event_http
