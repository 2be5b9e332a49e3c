// Bodies in chunks whose bytes come one by one, from a caller and from a server.
#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

#include "tests/gateway_daemon/gateway_stand_ins.h"
#include "tests/gateway_daemon/scripted_server.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr char kChunkedBodies[][32] = {"0\r\n\r\n", "0\r\nT: 1\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"};

/// Sends so slowly that the other side reads mostly one byte at a time.
template <class SendBytes>
void SendOneByOne(const std::string& bytes, const SendBytes& send) {
  for (const char byte : bytes) {
    send(std::string(1, byte));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

struct Fixture {
  std::atomic<int> next_body{0};  ///< Place in kChunkedBodies of the server's next answer.
  ScriptedServer worker{[this](const ServedConnection& connection, const TakenRequest& request) {
    if (request.method == "POST") return connection.Send(WholeAnswer(request));
    connection.Send("HTTP/1.1 200 OK\r\nAttempt: " + request.id +
                    "\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    SendOneByOne(kChunkedBodies[next_body], [&](const auto& bytes) { connection.Send(bytes); });
    return true;
  }};
  ControlStandIn control{{worker.address()}};
  RunningGateway gateway{"g-1", control.server.port()};

  Fixture() {
    while (!Ask("POST", "Content-Length: 0\r\n", "").starts_with("HTTP/1.1 200 ")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  std::string Ask(const std::string& method, const std::string& fields, const std::string& body) {
    RawClient client(gateway.settings.caller_address.port);
    client.Send(method + " / HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nConnection: close\r\n" + fields +
                "\r\n");
    SendOneByOne(body, [&](const auto& bytes) { client.Send(bytes); });
    bool closed = false;
    return client.ReadToEnd(closed);
  }
};

}  // namespace

/// Guards against a process that ends itself when the last chunk is the first one and its end comes
/// in a read of its own.
Test(split_chunks, request_is_served, .timeout = 60) {
  Fixture fixture;
  for (const auto* const body : kChunkedBodies) {
    const std::string answer = fixture.Ask("POST", "Transfer-Encoding: chunked\r\n", body);
    cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.c_str());
  }
}

/// The same of an answer.
Test(split_chunks, answer_is_relayed, .timeout = 60) {
  Fixture fixture;
  for (std::size_t i = 0; i < std::size(kChunkedBodies); ++i) {
    fixture.next_body = static_cast<int>(i);
    const std::string answer = fixture.Ask("GET", "", "");
    cr_assert(answer.starts_with("HTTP/1.1 200 "), "%s", answer.c_str());
  }
}
