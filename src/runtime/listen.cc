#include "src/runtime/listen.h"

#include <boost/asio/ip/address.hpp>

namespace graniteseam::runtime {

Result<std::uint16_t> Listen(boost::asio::ip::tcp::acceptor& acceptor, const SocketAddress& address,
                             const std::string& remedy) {
  namespace asio = boost::asio;
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
  if (!error) acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(ErrorKind::kInvalidSettings,
                "Can't listen on " + ToString(address) + ": " + error.message() + ".", remedy);
  }
  return acceptor.local_endpoint(error).port();
}

}  // namespace graniteseam::runtime
