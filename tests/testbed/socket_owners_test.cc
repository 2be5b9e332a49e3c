#include "testbed/fleet/socket_owners.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <boost/asio.hpp>

using namespace graniteseam;
using namespace graniteseam::testbed;
using Tcp = boost::asio::ip::tcp;

namespace {

runtime::SocketAddress AddressOf(const Tcp::endpoint& end) {
  return {end.address().to_string(), end.port()};
}

/// A connection of this process to itself.
struct OwnConnection {
  boost::asio::io_context context;
  Tcp::acceptor acceptor{context, Tcp::endpoint(boost::asio::ip::make_address("127.0.9.21"), 0)};
  Tcp::socket client{context};
  Tcp::socket server{context};

  OwnConnection() {
    client.connect(acceptor.local_endpoint());
    acceptor.accept(server);
  }
  ConnectionEnds ends() const {
    return {AddressOf(client.local_endpoint()), AddressOf(client.remote_endpoint())};
  }
};

}  // namespace

Test(socket_owners, names_the_process_that_opened_a_connection) {
  const OwnConnection connection;
  SocketOwners owners;
  cr_assert(owners.IpOf(connection.ends()).empty(), "no process is known");
  owners.Add(::getpid(), "127.0.78.5");
  cr_assert(owners.IpOf(connection.ends()) == "127.0.78.5");
}

Test(socket_owners, names_none_for_a_connection_that_is_not_there) {
  const OwnConnection connection;
  SocketOwners owners;
  owners.Add(::getpid(), "127.0.78.5");
  ConnectionEnds other = connection.ends();
  ++other.client.port;
  cr_assert(owners.IpOf(other).empty());
}
