#include "src/event_http/client_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "src/event_http/client_connection.h"
#include "src/event_http/client_pool_impl.h"

namespace graniteseam::event_http {
namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds kSweepInterval{500};

}  // namespace

CallNumber ClientPool::Impl::Start(Call call, Handler handler) {
  const CallNumber number = last_number_ = last_number_.Next();
  ++counts_.calls;
  open_[number] = nullptr;
  // Posted, so that no handler runs before the caller knows the number.
  asio::post(context_, [self = shared_from_this(), number, call = std::move(call),
                        handler = std::move(handler)]() mutable {
    const auto found = self->open_.find(number);
    if (found == self->open_.end()) return;
    std::shared_ptr<ClientConnection> connection = self->TakeResting(call);
    if (!connection) {
      self->last_connection_ = self->last_connection_.Next();
      connection = std::make_shared<ClientConnection>(self->context_, self->last_connection_,
                                                      call.address, self);
    }
    // TakeResting() closes connections, which leaves this entry where it is.
    found->second = connection;
    connection->Start(number, std::move(call), std::move(handler));
  });
  return number;
}

/// A connection whose end, or bytes of no request, arrived and were not read yet is closed.
std::shared_ptr<ClientConnection> ClientPool::Impl::TakeResting(const Call& call) {
  if (call.needs_new_connection) return nullptr;
  for (;;) {
    const auto found = resting_.find(call.address);
    if (found == resting_.end() || found->second.empty()) return nullptr;
    const auto usable =
        std::find_if(found->second.rbegin(), found->second.rend(), [&](const auto& resting) {
          const auto& avoided = call.avoided_connections;
          return std::find(avoided.begin(), avoided.end(), resting->number()) == avoided.end();
        });
    if (usable == found->second.rend()) return nullptr;
    std::shared_ptr<ClientConnection> connection = *usable;
    const Duration limit = std::min(call.rested_maximum, connection->rest_limit());
    if (connection->Rested() > limit) return nullptr;
    found->second.erase(std::next(usable).base());
    if (connection->Silent()) return connection;
    connection->Drop();
  }
}

void ClientPool::Impl::Abandon(CallNumber number) {
  const auto found = open_.find(number);
  if (found == open_.end()) return;
  const auto connection = found->second;
  open_.erase(found);
  if (connection) connection->Drop();
}

void ClientPool::Impl::Distrust(CallNumber number) {
  std::shared_ptr<ClientConnection> distrusted;
  for (const auto& [address, connections] : resting_) {
    for (const auto& connection : connections) {
      if (connection->last_call() == number) distrusted = connection;
    }
  }
  if (distrusted) distrusted->Drop();
}

void ClientPool::Impl::Rest(const std::shared_ptr<ClientConnection>& connection) {
  auto& resting = resting_[connection->address()];
  resting.push_back(connection);
  if (resting.size() <= options_.resting_maximum) return;
  const auto oldest = resting.front();
  oldest->Drop();
}

void ClientPool::Impl::Remove(const std::shared_ptr<ClientConnection>& connection) {
  const auto found = resting_.find(connection->address());
  if (found == resting_.end()) return;
  std::erase(found->second, connection);
  if (found->second.empty()) resting_.erase(found);
}

void ClientPool::Impl::Sweep() {
  std::vector<std::shared_ptr<ClientConnection>> old;
  for (const auto& [address, connections] : resting_) {
    for (const auto& connection : connections) {
      if (connection->Rested() > connection->rest_limit()) old.push_back(connection);
    }
  }
  for (const auto& connection : old) connection->Drop();
  std::vector<std::shared_ptr<ClientConnection>> calling;
  for (const auto& [number, connection] : open_) {
    if (connection) calling.push_back(connection);
  }
  const Instant now = runtime::BootTimeNow();
  for (const auto& connection : calling) connection->EndIfVanished(now);
  sweep_.expires_after(kSweepInterval);
  sweep_.async_wait([weak = weak_from_this()](ErrorCode error) {
    const auto self = weak.lock();
    if (self && !error) self->Sweep();
  });
}

void ClientPool::Impl::Stop() {
  sweep_.cancel();
  std::vector<std::shared_ptr<ClientConnection>> all;
  for (const auto& [number, connection] : open_) {
    if (connection) all.push_back(connection);
  }
  for (const auto& [address, connections] : resting_) {
    all.insert(all.end(), connections.begin(), connections.end());
  }
  for (const auto& connection : all) connection->Drop();
  open_.clear();
}

ClientPool::ClientPool(asio::io_context& context, ClientPoolOptions options)
    : impl_(std::make_shared<Impl>(context, std::move(options))) {
  impl_->Begin();
}
ClientPool::~ClientPool() { impl_->Stop(); }

CallNumber ClientPool::Start(Call call, Handler handler) {
  return impl_->Start(std::move(call), std::move(handler));
}
void ClientPool::Abandon(CallNumber call) { impl_->Abandon(call); }
void ClientPool::Distrust(CallNumber call) { impl_->Distrust(call); }
const ClientPoolCounts& ClientPool::counts() const { return impl_->counts(); }

}  // namespace graniteseam::event_http
