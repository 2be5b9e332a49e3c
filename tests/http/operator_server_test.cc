#include "src/http/operator_server.h"

#include <criterion/criterion.h>
#include <httplib.h>

#include <nlohmann/json.hpp>

#include "src/http/operator_credentials.h"
#include "src/http/operator_requests.h"
#include "tests/support/raw_client.h"

namespace control = graniteseam::control;
namespace http = graniteseam::http;
namespace runtime = graniteseam::runtime;
using graniteseam::Attempt;
using graniteseam::Error;
using graniteseam::ErrorKind;
using graniteseam::ErrorOf;

namespace {

// SHA-256 of "secret".
constexpr char kDigest[] = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

graniteseam::Outcome<control::OperatorRequest> Read(const std::string& method,
                                                    const std::string& path,
                                                    const std::string& body = "") {
  return Attempt([&] { return http::ReadOperatorCall({method, path, "", body}); });
}

http::OperatorServerOptions Options() {
  http::OperatorServerOptions options;
  options.address = {"127.0.0.1", 0};
  options.operators = {{"ana", kDigest}};
  options.body_bytes_maximum = 100'000;
  options.connections_maximum = 8;
  options.exchange_maximum = std::chrono::seconds(2);
  return options;
}

/// A server that answers moves of shard 1 with "not leader", and everything else with index 5.
struct Server {
  Server()
      : server(Options(), metrics,
               {[](const control::OperatorRequest& request) -> control::OperatorAnswer {
                  if (std::holds_alternative<control::MoveShard>(request)) {
                    return Error{ErrorKind::kNotLeader, "Another leads.", "Ask it."};
                  }
                  return control::Accepted{{5}};
                },
                [] { return "127.0.0.1:1234"; }, [] { return graniteseam::consensus::Member{}; },
                [] { return true; }, [] { return false; }}) {
    cr_assert(ErrorOf(Attempt([&] { return server.Start(); })) == nullptr);
  }
  httplib::Client Client() const { return httplib::Client("127.0.0.1", server.port()); }
  httplib::Headers Credential() const { return {{"Authorization", "Bearer secret"}}; }

  runtime::MetricsRegistry metrics;
  http::OperatorServer server;
};

/// Sends bytes and expects this status, or a closed connection when it is empty, while others are
/// served on.
void ExpectStatus(const std::string& bytes, const std::string& status) {
  Server server;
  graniteseam::test::RawClient raw(server.server.port());
  raw.Send(bytes);
  bool closed = false;
  const std::string answer = raw.ReadToEnd(closed);
  cr_assert(closed);
  cr_assert(answer.find(status) != std::string::npos, "answered %s", answer.substr(0, 300).c_str());
  auto client = server.Client();
  const auto live = client.Get("/livez");
  cr_assert(live && live->status == 200);
}

}  // namespace

Test(operator_credentials, knows_operators_by_their_token) {
  const std::map<std::string, std::string> digests{{"ana", kDigest}};
  const http::OperatorCredentials credentials(digests);
  cr_assert(credentials.Identify("Bearer secret") == "ana");
  for (const char* wrong : {"", "Bearer", "Bearer ", "Bearer Secret", "secret", "Basic secret"}) {
    cr_assert(!credentials.Identify(wrong), "took \"%s\"", wrong);
  }
  cr_assert(http::IsCredentialDigest(kDigest));
  cr_assert(!http::IsCredentialDigest("2BB8") && !http::IsCredentialDigest(""));
}

Test(operator_requests, reads_every_call) {
  const std::string digest = R"({"digest":"d"})";
  const auto roll = Read("POST", "/v1/bundles/7/roll", digest);
  cr_assert(std::get<control::RollBundle>(std::get<control::OperatorRequest>(roll)).version.value ==
            7);
  const auto move = Read("POST", "/v1/shards/t/3/move", R"({"target":"s2"})");
  cr_assert(std::get<control::MoveShard>(std::get<control::OperatorRequest>(move)).shard.index ==
            3);
  const auto drain = Read("POST", "/v1/servers/s1/drain", "");
  cr_assert(std::get<control::DrainServer>(std::get<control::OperatorRequest>(drain)).draining);
  const auto undrain = Read("POST", "/v1/servers/s1/undrain", "");
  cr_assert(!std::get<control::DrainServer>(std::get<control::OperatorRequest>(undrain)).draining);
  for (const char* path : {"/v1/bundles", "/v1/fleet", "/v1/shards"}) {
    cr_assert(ErrorOf(Read("GET", path)) == nullptr);
  }
}

Test(operator_requests, refuses_the_rest_with_a_kind) {
  const auto kind = [](const auto& outcome) { return ErrorOf(outcome)->kind; };
  cr_assert(kind(Read("GET", "/")) == ErrorKind::kNotFound);
  cr_assert(kind(Read("GET", "")) == ErrorKind::kNotFound);
  cr_assert(kind(Read("POST", "/v1")) == ErrorKind::kNotFound);
  cr_assert(kind(Read("GET", "/v1/nothing")) == ErrorKind::kNotFound);
  cr_assert(kind(Read("POST", "/v1/bundles/x/roll", R"({"digest":"d"})")) ==
            ErrorKind::kInvalidArgument);
  cr_assert(kind(Read("POST", "/v1/bundles/1/roll", "{")) == ErrorKind::kMalformedMessage);
  cr_assert(kind(Read("POST", "/v1/bundles", R"({"toml":"version = 'x'"})")) ==
            ErrorKind::kInvalidBundle);
}

Test(operator_server, answers_with_a_credential_only) {
  Server server;
  auto client = server.Client();
  auto refused = client.Get("/v1/fleet");
  cr_assert(refused && refused->status == 401);
  cr_assert(nlohmann::json::parse(refused->body)["kind"] == "unauthenticated");
  refused = client.Get("/v1/fleet", {{"Authorization", "Bearer wrong"}});
  cr_assert(refused && refused->status == 401);
  const auto answered = client.Get("/v1/fleet", server.Credential());
  cr_assert(answered && answered->status == 200);
  cr_assert(nlohmann::json::parse(answered->body)["index"] == 5);
}

Test(operator_server, names_the_leader) {
  Server server;
  auto client = server.Client();
  const auto answer = client.Post("/v1/shards/t/1/move", server.Credential(), R"({"target":"s"})",
                                  "application/json");
  cr_assert(answer && answer->status == 421);
  cr_assert(nlohmann::json::parse(answer->body)["leader"] == "127.0.0.1:1234");
}

Test(operator_server, tells_health_and_metrics_without_a_credential) {
  Server server;
  auto client = server.Client();
  cr_assert(client.Get("/livez")->status == 200);
  cr_assert(client.Get("/readyz")->status == 503);
  const auto metrics = client.Get("/metrics");
  cr_assert(metrics->status == 200);
  cr_assert(metrics->body.find("graniteseam_http_requests_total") != std::string::npos);
}

Test(operator_server, serves_the_dashboard_that_loads_nothing_from_elsewhere) {
  Server server;
  auto client = server.Client();
  const auto page = client.Get("/");
  cr_assert(page && page->status == 200);
  cr_assert(page->get_header_value("Content-Security-Policy").find("default-src 'none'") !=
            std::string::npos);
  cr_assert(page->body.find("src=") == std::string::npos);
  cr_assert(page->body.find("innerHTML") == std::string::npos);
}

Test(operator_server, refuses_bodies_that_are_too_long) {
  ExpectStatus(
      "POST /v1/bundles HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Authorization: Bearer secret\r\nContent-Length: 99999999\r\n\r\n" +
          std::string(200'000, 'x'),
      " 413 ");
}

Test(operator_server, refuses_doubled_headers) {
  ExpectStatus(
      "GET /v1/fleet HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Authorization: Bearer secret\r\nAuthorization: Bearer other\r\n\r\n",
      " 400 ");
}

Test(operator_server, refuses_garbage) { ExpectStatus("\x16\x03\x01 nonsense\r\n\r\n", " 400 "); }

Test(operator_server, refuses_unknown_methods) {
  ExpectStatus("BREW /v1/fleet HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", " 400 ");
}

Test(operator_server, callers_that_stop_midway_give_their_threads_back) {
  Server server;
  std::vector<std::unique_ptr<graniteseam::test::RawClient>> slow;
  for (int caller = 0; caller < 16; ++caller) {
    slow.push_back(std::make_unique<graniteseam::test::RawClient>(server.server.port()));
    slow.back()->Send("POST /v1/bundles HTTP/1.1\r\nHost: x\r\nContent-Le");
  }
  auto client = server.Client();
  client.set_read_timeout(60);
  const auto live = client.Get("/livez");
  cr_assert(live && live->status == 200);
}

Test(operator_server, a_caller_that_sends_nothing_holds_up_no_other) {
  Server server;
  const graniteseam::test::RawClient silent(server.server.port());
  cr_assert(silent.connected());
  auto client = server.Client();
  const auto live = client.Get("/livez");
  cr_assert(live && live->status == 200);
}

// Anyone who reached the port could have bodies held, up to the limit on every connection.
Test(operator_server, reads_no_body_of_a_caller_without_a_credential) {
  const std::string head = "POST /v1/bundles HTTP/1.1\r\nHost: x\r\n";
  ExpectStatus(head + "Content-Length: 90000\r\n\r\n" + std::string(1'000, 'x'), " 401 ");
  ExpectStatus(head + "Transfer-Encoding: chunked\r\n\r\n5;" + std::string(1'000, 'x'), " 401 ");
  ExpectStatus(head + "Content-Length: 90000\r\n\r\n" + std::string(90'000, 'x'), " 401 ");
}
