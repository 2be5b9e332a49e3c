// The callers' port, with callers that behave and callers that do not.
#include "src/http/caller_server.h"

#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/http/socket_connect.h"
#include "src/runtime/clock.h"

using namespace std::chrono_literals;
using namespace graniteseam;
using routing::RequestOutcome;

namespace {

constexpr char kHead[] = "Graniteseam-Group: hostels\r\nGraniteseam-Request: r1\r\n";

/// A server whose handler answers with method, key and body of the request.
class EchoServer {
 public:
  explicit EchoServer(std::size_t connections_maximum = 4096)
      : server_(
            Options(connections_maximum),
            [this](http::CallerMessage&& message) {
              ++handled;
              while (hold) std::this_thread::sleep_for(1ms);
              http::CallerReply reply;
              reply.status = 200;
              reply.outcome = RequestOutcome::kAnswered;
              reply.content_type = "text/plain";
              reply.body = message.forwarded.method + " " + message.request.key.value_or("-") +
                           " " + message.forwarded.body;
              return reply;
            },
            [](const ServiceName&) { return std::size_t{1000}; },
            [this](routing::RequestNumber) { gone = true; }) {
    server_.AddPage("/readyz", [] { return http::PlainPage{503, "text/plain", "not ready\n"}; });
    port_ = std::get<std::uint16_t>(Attempt([&] { return server_.Bind({"127.0.0.1", 0}); }));
    serving_ = std::thread([this] { server_.Serve(); });
  }
  ~EchoServer() {
    hold = false;
    server_.Stop();
    serving_.join();
  }

  /// Sends bytes on a new connection and returns all that comes back until it is closed, or until
  /// `enough` was read.
  std::string Send(const std::string& bytes, const std::string& enough = {}) const {
    const int descriptor = Connect();
    ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    const std::string answer = ReadAll(descriptor, enough);
    ::close(descriptor);
    return answer;
  }
  int Connect() const {
    const int descriptor =
        http::ConnectWithin({"127.0.0.1", port_}, runtime::BootTimeNow() + Duration(10s));
    cr_assert_geq(descriptor, 0);
    return descriptor;
  }
  static std::string ReadAll(int descriptor, const std::string& enough) {
    http::BoundedStream stream(descriptor, Duration(100ms));
    stream.Begin(runtime::BootTimeNow() + Duration(20s), 1 << 20);
    std::string text;
    char byte = 0;
    while ((enough.empty() || text.find(enough) == std::string::npos) &&
           stream.read(&byte, 1) == 1) {
      text += byte;
    }
    return text;
  }
  http::CallerServer& server() { return server_; }

  std::atomic<int> handled{0};
  std::atomic<bool> hold{false};
  std::atomic<bool> gone{false};

 private:
  static http::CallerServerOptions Options(std::size_t connections_maximum) {
    http::CallerServerOptions options;
    options.router = {"router-1"};
    options.connections_maximum = connections_maximum;
    options.read_maximum = Duration(500ms);
    return options;
  }
  http::CallerServer server_;
  std::uint16_t port_ = 0;
  std::thread serving_;
};

std::string Request(const std::string& method, const std::string& path,
                    const std::string& headers = {}, const std::string& body = {}) {
  return method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + kHead + headers + "\r\n" + body;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

void ExpectRefused(const std::string& bytes, const std::string& status) {
  EchoServer server;
  const std::string answer = server.Send(bytes);
  cr_assert(Has(answer, "HTTP/1.1 " + status), "%s", answer.c_str());
  cr_assert(Has(answer, "Graniteseam-Outcome: not_run"), "%s", answer.c_str());
  cr_assert(Has(answer, "application/problem+json"), "%s", answer.c_str());
  cr_assert_eq(server.handled, 0);
}

}  // namespace

Test(caller_server, answers_with_the_documented_headers) {
  EchoServer server;
  const std::string answer = server.Send(
      Request("GET", "/v1/services/readings/keys/meter%2D1/now?x=1", "Range: bytes=0-1\r\n"),
      "GET meter-1 ");
  cr_assert(Has(answer, "HTTP/1.1 200"), "%s", answer.c_str());
  cr_assert(Has(answer, "Graniteseam-Outcome: answered"));
  cr_assert(Has(answer, "Graniteseam-Request: r1"));
  cr_assert(Has(answer, "Graniteseam-Router: router-1"));
  cr_assert(Has(answer, "\r\n\r\nGET meter-1 "), "ranges are the server's matter");
}

Test(caller_server, takes_bodies_whole_and_unread) {
  EchoServer server;
  const std::string multipart =
      "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n1\r\n--b--";
  const std::string answer =
      server.Send(Request("POST", "/v1/services/archive/x",
                          "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: " +
                              std::to_string(multipart.size()) + "\r\n",
                          multipart),
                  "--b--");
  cr_assert(Has(answer, "POST - " + multipart), "%s", answer.c_str());
  const std::string chunked =
      server.Send(Request("PUT", "/v1/services/archive/x", "Transfer-Encoding: chunked\r\n",
                          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
                  "abcde");
  cr_assert(Has(chunked, "PUT - abcde"), "%s", chunked.c_str());
}

Test(caller_server, serves_several_requests_on_one_connection) {
  EchoServer server;
  const std::string one = Request("GET", "/v1/services/readings/keys/a");
  const std::string two = Request("DELETE", "/v1/services/readings/keys/b");
  const std::string answer = server.Send(one + two, "DELETE b ");
  cr_assert(Has(answer, "GET a "), "%s", answer.c_str());
  cr_assert(Has(answer, "DELETE b "), "%s", answer.c_str());
}

Test(caller_server, refuses_what_is_no_http) { ExpectRefused("garbage\r\n\r\n", "400"); }

Test(caller_server, refuses_two_lengths) {
  ExpectRefused(Request("POST", "/v1/services/archive/x",
                        "Content-Length: 3\r\nContent-Length: 5\r\n", "abcde"),
                "400");
}

Test(caller_server, refuses_a_length_beside_chunks) {
  ExpectRefused(Request("POST", "/v1/services/archive/x",
                        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
                "400");
}

Test(caller_server, refuses_a_body_with_get) {
  ExpectRefused(Request("GET", "/v1/services/archive/x", "Content-Length: 30\r\n",
                        "GET /v1/services/x HTTP/1.1\r\n\r\n"),
                "400");
}

Test(caller_server, refuses_a_header_given_twice) {
  EchoServer server;
  const std::string answer = server.Send(
      Request("GET", "/v1/services/archive/x", "Graniteseam-Group: other\r\n"), "remedy");
  cr_assert(Has(answer, "HTTP/1.1 400"), "%s", answer.c_str());
}

Test(caller_server, refuses_a_body_that_is_too_long) {
  ExpectRefused(Request("POST", "/v1/services/archive/x", "Content-Length: 100000\r\n",
                        std::string(100'000, 'x')),
                "413");
}

// Guards against lines of chunks and trailers that are kept for as long as a caller sends them.
Test(caller_server, bounds_chunk_extensions_and_trailers) {
  const std::string framing = "Transfer-Encoding: chunked\r\n";
  const std::string much(200'000, 'x');
  ExpectRefused(Request("PUT", "/v1/services/archive/x", framing, "5;" + much), "413");
  ExpectRefused(
      Request("PUT", "/v1/services/archive/x", framing, "5\r\nabcde\r\n0\r\nX-Trailer: " + much),
      "4");
}

Test(caller_server, claims_nothing_about_earlier_sendings_of_an_operation) {
  EchoServer server;
  const std::string answer = server.Send(Request(
      "POST", "/v1/services/archive/x",
      "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\nContent-Length: 10\r\n", "half"));
  cr_assert(Has(answer, "HTTP/1.1 400"), "%s", answer.c_str());
  cr_assert(Has(answer, "Graniteseam-Outcome: outcome_unknown"), "%s", answer.c_str());
}

Test(caller_server, never_forwards_half_a_body) {
  ExpectRefused(Request("POST", "/v1/services/archive/x", "Content-Length: 10\r\n", "half"), "400");
}

Test(caller_server, bounds_the_head) {
  EchoServer server;
  std::string endless = "GET /v1/services/archive/x HTTP/1.1\r\n";
  for (int i = 0; i < 20'000; ++i) endless += "X-Header: value\r\n";
  const std::string answer = server.Send(endless);
  cr_assert(answer.empty() || Has(answer, "HTTP/1.1 400"), "%s", answer.c_str());
  cr_assert_eq(server.handled, 0);
}

Test(caller_server, a_caller_that_stalls_holds_up_nobody) {
  EchoServer server;
  const int stalled = server.Connect();
  ::send(stalled, "GET /v1", 7, MSG_NOSIGNAL);
  const std::string answer = server.Send(Request("GET", "/v1/services/readings/keys/a"), "GET a ");
  cr_assert(Has(answer, "200"));
  // Its own connection ends when the time for reading a request is over.
  EchoServer::ReadAll(stalled, {});
  ::close(stalled);
}

Test(caller_server, names_unknown_paths_and_shows_its_pages) {
  EchoServer server;
  cr_assert(Has(server.Send(Request("GET", "/other"), "remedy"), "HTTP/1.1 404"));
  cr_assert(Has(server.Send(Request("GET", "/readyz"), "not ready"), "HTTP/1.1 503"));
}

Test(caller_server, notices_that_a_caller_went_away) {
  EchoServer server;
  server.hold = true;
  const int descriptor = server.Connect();
  const std::string bytes = Request("GET", "/v1/services/readings/keys/a");
  ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  while (server.handled == 0) std::this_thread::sleep_for(1ms);
  cr_assert_not(server.gone);
  ::close(descriptor);
  while (!server.gone) std::this_thread::sleep_for(1ms);
}

Test(caller_server, a_drain_cuts_off_nothing_in_flight) {
  EchoServer server;
  server.hold = true;
  const int descriptor = server.Connect();
  const std::string bytes = Request("GET", "/v1/services/readings/keys/a");
  ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  while (server.handled == 0) std::this_thread::sleep_for(1ms);
  server.server().BeginDrain();
  server.server().Stop();
  server.hold = false;
  const std::string answer = EchoServer::ReadAll(descriptor, {});
  ::close(descriptor);
  cr_assert(Has(answer, "GET a "), "%s", answer.c_str());
}

/// An answer that a drain overtook said nothing of the connection's end: what its caller sent next
/// met the end and got nothing.
Test(caller_server, answer_made_during_a_drain_ends_its_connection) {
  EchoServer server;
  server.hold = true;
  const int descriptor = server.Connect();
  const std::string bytes = Request("GET", "/v1/services/readings/keys/a");
  ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  while (server.handled == 0) std::this_thread::sleep_for(1ms);
  server.server().BeginDrain();
  server.hold = false;
  const std::string answer = EchoServer::ReadAll(descriptor, "GET a ");
  ::close(descriptor);
  cr_assert(Has(answer, "Connection: close"), "%s", answer.c_str());
  cr_assert_not(Has(answer, "Keep-Alive"), "%s", answer.c_str());
}

/// A connection that waited for a thread as the server stopped was reset with its request unread.
Test(caller_server, request_of_a_connection_that_waits_for_a_thread_is_answered_at_the_stop) {
  EchoServer server(1);
  const int kept = server.Connect();
  const std::string bytes = Request("GET", "/v1/services/readings/keys/a");
  ::send(kept, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  EchoServer::ReadAll(kept, "GET a ");
  const int waiting = server.Connect();
  ::send(waiting, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  // Until it is accepted.
  std::this_thread::sleep_for(50ms);
  server.server().BeginDrain();
  server.server().Stop();
  const std::string answer = EchoServer::ReadAll(waiting, {});
  cr_assert(Has(answer, "HTTP/1.1 200"), "Instead of an answer: %s", answer.c_str());
  cr_assert(Has(answer, "Connection: close"), "%s", answer.c_str());
  ::close(waiting);
  ::close(kept);
}

/// Connections that the kernel had taken and the server had not accepted were reset with their
/// requests unread.
Test(caller_server, requests_in_the_queue_of_the_listener_are_answered_at_a_drain) {
  constexpr std::size_t kCallers = 400;
  EchoServer server;
  const std::string bytes = Request("GET", "/v1/services/readings/keys/a");
  std::vector<int> callers;
  for (std::size_t n = 0; n < kCallers; ++n) {
    callers.push_back(server.Connect());
    ::send(callers.back(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  server.server().BeginDrain();
  std::size_t answered = 0;
  for (const int caller : callers) {
    answered += Has(EchoServer::ReadAll(caller, "GET a "), "GET a ") ? 1 : 0;
    ::close(caller);
  }
  cr_assert_eq(answered, kCallers, "%zu of %zu", answered, kCallers);
}
