#include "testbed/fleet/link_layer.h"

#include <criterion/criterion.h>

#include <atomic>
#include <boost/asio.hpp>
#include <thread>
#include <utility>

#include "testbed/fleet/reserved_port.h"

using graniteseam::Attempt;
using graniteseam::Duration;
using graniteseam::ErrorOf;
using namespace graniteseam::testbed;
using Tcp = boost::asio::ip::tcp;

namespace {

const std::string kClient = "127.0.9.2";
const std::string kServer = "127.0.9.3";

/// A relay in front of one listening socket, and a client that goes through it.
struct LinkFixture {
  std::atomic<bool> cut_to_server = false;
  std::atomic<bool> cut_to_client = false;
  std::atomic<int> asked = 0;  ///< How often the relay asked for a link's state.
  boost::asio::io_context context;
  Tcp::acceptor acceptor{context};
  Tcp::socket client{context};
  Tcp::socket server{context};
  ReservedPort port;
  LinkLayer links;

  explicit LinkFixture(LinkOptions options = {})
      : port(std::get<ReservedPort>(
            Attempt([] { return ReservedPort::Reserve(kServer, LinkLayer::RelayIp(kServer)); }))),
        links(
            [this](const std::string& from, const std::string& to) {
              const bool known =
                  (from == kClient && to == kServer) || (from == kServer && to == kClient);
              cr_assert(known);
              ++asked;
              return LinkState{from == kClient ? cut_to_server.load() : cut_to_client.load(),
                               Duration(0)};
            },
            [](const ConnectionEnds& ends) { return ends.client.ip; }, std::move(options)) {
    const Tcp::endpoint real(boost::asio::ip::make_address(kServer), port.address().port);
    acceptor.open(real.protocol());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    acceptor.bind(real);
    acceptor.listen();
    const auto added = Attempt([this] { return links.AddEndpoint(port.address()); });
    cr_assert(ErrorOf(added) == nullptr);
    Connect(client);
    acceptor.accept(server);
  }

  void Connect(Tcp::socket& socket) {
    socket.open(Tcp::v4());
    socket.bind(Tcp::endpoint(boost::asio::ip::make_address(kClient), 0));
    socket.connect(Tcp::endpoint(boost::asio::ip::make_address(LinkLayer::RelayIp(kServer)),
                                 port.address().port));
  }
};

std::string ReadOne(Tcp::socket& socket) {
  char letter = 0;
  boost::asio::read(socket, boost::asio::buffer(&letter, 1));
  return {letter};
}

void Write(Tcp::socket& socket, const std::string& text) {
  boost::asio::write(socket, boost::asio::buffer(text));
}

}  // namespace

Test(link_layer, carries_both_ways) {
  LinkFixture link;
  Write(link.client, "a");
  cr_assert(ReadOne(link.server) == "a");
  Write(link.server, "b");
  cr_assert(ReadOne(link.client) == "b");
}

Test(link_layer, cut_holds_bytes_one_way_and_delivers_them_when_healed) {
  LinkFixture link;
  link.cut_to_server = true;
  Write(link.client, "a");
  Write(link.server, "b");
  cr_assert(ReadOne(link.client) == "b");
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  cr_assert(link.server.available() == 0);
  link.cut_to_server = false;
  cr_assert(ReadOne(link.server) == "a");
}

Test(link_layer, connection_made_while_the_link_is_cut_is_never_led_on) {
  LinkFixture link;
  link.cut_to_client = true;
  Tcp::socket late(link.context);
  const int asked_before = link.asked;
  link.Connect(late);
  Write(late, "a");
  // Both directions were looked at: the relay has taken the connection while the link was cut.
  while (link.asked < asked_before + 2) std::this_thread::yield();
  link.cut_to_client = false;
  // Closed at last, so that its client connects anew.
  boost::system::error_code error;
  char letter = 0;
  boost::asio::read(late, boost::asio::buffer(&letter, 1), error);
  cr_assert(error);
  link.acceptor.non_blocking(true);
  Tcp::socket none(link.context);
  link.acceptor.accept(none, error);
  cr_assert(error == boost::asio::error::would_block);
}

Test(link_layer, bytes_arrive_when_the_link_has_carried_them) {
  std::atomic<bool> asked = false;
  LinkOptions options;
  options.arrival = [&](const std::string& from, const std::string& to, std::size_t bytes,
                        graniteseam::Instant now) {
    cr_assert(from == kClient && to == kServer && bytes == 1);
    asked = true;
    return now + std::chrono::milliseconds(60);
  };
  LinkFixture link(options);
  const auto begun = std::chrono::steady_clock::now();
  Write(link.client, "a");
  cr_assert(ReadOne(link.server) == "a");
  cr_assert(asked);
  cr_assert(std::chrono::steady_clock::now() - begun >= std::chrono::milliseconds(60));
}

// TCP doubles the time between retransmissions, so that a connection may be silent for as long
// after a cut as the cut was; a relay that delivers at once never shows it.
Test(link_layer, connection_resumes_only_when_its_bytes_are_sent_again) {
  LinkOptions options;
  options.retransmits = true;
  LinkFixture link(options);
  link.cut_to_server = true;
  const auto lost = std::chrono::steady_clock::now();
  Write(link.client, "a");
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  link.cut_to_server = false;
  cr_assert(ReadOne(link.server) == "a");
  cr_assert(std::chrono::steady_clock::now() - lost >= std::chrono::milliseconds(600));
}

Test(link_layer, end_of_a_connection_is_passed_on) {
  LinkFixture link;
  Write(link.client, "a");
  link.client.close();
  cr_assert(ReadOne(link.server) == "a");
  boost::system::error_code error;
  char letter = 0;
  boost::asio::read(link.server, boost::asio::buffer(&letter, 1), error);
  cr_assert(error == boost::asio::error::eof);
}
