/// @file
/// What a client pool keeps, and what its connections ask of it.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/event_http/client_pool.h"

namespace graniteseam::event_http {

class ClientConnection;

class ClientPool::Impl : public std::enable_shared_from_this<ClientPool::Impl> {
 public:
  Impl(boost::asio::io_context& context, ClientPoolOptions options)
      : context_(context), options_(std::move(options)), sweep_(context) {}

  void Begin() { Sweep(); }
  CallNumber Start(Call call, Handler handler);
  void Abandon(CallNumber number);
  void Distrust(CallNumber number);
  void Stop();

  const ClientPoolOptions& options() const { return options_; }
  ClientPoolCounts& counts() { return counts_; }
  void Rest(const std::shared_ptr<ClientConnection>& connection);
  void Remove(const std::shared_ptr<ClientConnection>& connection);
  void Finished(CallNumber number) { open_.erase(number); }

 private:
  std::shared_ptr<ClientConnection> TakeResting(const Call& call);
  void Sweep();

  boost::asio::io_context& context_;
  const ClientPoolOptions options_;
  boost::asio::steady_timer sweep_;
  CallNumber last_number_;
  ConnectionNumber last_connection_;
  /// Calls and their connections, which are null until the call begins.
  std::map<CallNumber, std::shared_ptr<ClientConnection>> open_;
  /// Resting connections by address, the one used last at the end.
  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>> resting_;
  ClientPoolCounts counts_;
};

}  // namespace graniteseam::event_http
