/// @file
/// The implementation of Server: the port, its connections and what they share.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "src/event_http/byte_account.h"
#include "src/event_http/read_buffer.h"
#include "src/event_http/server.h"
#include "src/event_http/write_pacer.h"

namespace graniteseam::event_http {

class ServerConnection;

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(boost::asio::io_context& context, ServerOptions options, Handler handler)
      : context_(context),
        options_(std::move(options)),
        handler_(std::move(handler)),
        account_(options_.account
                     ? options_.account
                     : std::make_shared<ByteAccount>(options_.body_bytes_total, options_.clock)),
        read_area_(ReadBuffer::kReadBytes),
        pacer_(options_.bulk_bytes_per_second),
        acceptor_(context),
        sweep_(context) {}

  Result<void> Start();
  std::uint16_t port() const { return port_; }
  void BeginDrain() { draining_ = true; }
  void Close(ArrivedRequests arrived);
  void Stop();

  const ServerOptions& options() const { return options_; }
  const ServerLimits& limits() const { return limits_; }
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  bool draining() const { return draining_; }
  bool closing() const { return closing_; }
  CloseCounts& close_counts() { return close_counts_; }
  void Handle(const std::shared_ptr<Exchange>& exchange) { handler_(exchange); }
  /// Whether the request may run in parallel with others of its connection.
  bool MayRunBeside(const Request& request) const {
    return options_.may_run_beside && options_.may_run_beside(request);
  }
  WritePacer& pacer() { return pacer_; }
  void Remove(const std::shared_ptr<ServerConnection>& connection) {
    connections_.erase(connection);
  }
  std::size_t connections() const { return connections_.size(); }
  std::size_t busy() const;
  std::size_t unwritten_bytes() const;
  void WriteBulkBy(Instant end);

  void CountRefusalForRoom() { ++refusals_for_room_; }
  std::uint64_t refusals_for_room() const { return refusals_for_room_; }
  void OnEviction(const Eviction& eviction) const {
    if (options_.on_eviction) options_.on_eviction(eviction);
  }
  const std::shared_ptr<ByteAccount>& account() const { return account_; }
  /// Where a connection reads to, without waiting.
  std::vector<char>& read_area() { return read_area_; }

 private:
  void Accept();
  /// Takes all connections of the listener's queue.
  void TakeQueued();
  void Take(boost::asio::ip::tcp::socket socket);
  /// Closes the connection that has rested longest, if one does.
  void CloseRested();
  void Sweep();

  boost::asio::io_context& context_;
  const ServerOptions options_;
  const Handler handler_;
  const std::shared_ptr<ByteAccount> account_;
  std::vector<char> read_area_;
  ServerLimits limits_;
  WritePacer pacer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_;
  std::set<std::shared_ptr<ServerConnection>> connections_;
  std::uint64_t refusals_for_room_ = 0;
  std::uint16_t port_ = 0;
  bool draining_ = false;
  bool closing_ = false;
  CloseCounts close_counts_;
};

}  // namespace graniteseam::event_http
