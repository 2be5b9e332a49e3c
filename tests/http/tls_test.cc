#include "src/http/tls.h"

#include <criterion/criterion.h>
#include <httplib.h>

#include <atomic>
#include <fstream>
#include <sstream>
#include <thread>

#include "src/http/lease_client.h"
#include "src/http/operator_client.h"
#include "src/http/operator_server.h"
#include "src/http/upstream_connection.h"
#include "src/runtime/clock.h"
#include "tests/http/test_certificate.h"
#include "tests/support/raw_client.h"

namespace http = graniteseam::http;
namespace runtime = graniteseam::runtime;
using graniteseam::Attempt;
using graniteseam::ErrorOf;
using graniteseam::http::TlsContext;
using graniteseam::test::TestCertificate;

namespace {

// SHA-256 of "secret".
constexpr char kDigest[] = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

std::shared_ptr<TlsContext> Load(TlsContext::Side side, const http::TlsFiles& files) {
  const auto loaded = Attempt([&] { return TlsContext::Load(side, files); });
  cr_assert(ErrorOf(loaded) == nullptr);
  return std::get<std::shared_ptr<TlsContext>>(loaded);
}

/// An operators' port with TLS.
struct Server {
  explicit Server(const TestCertificate& certificate)
      : server(Options(certificate), metrics,
               {[](const graniteseam::control::OperatorRequest& /*request*/)
                    -> graniteseam::control::OperatorAnswer {
                  return graniteseam::control::Accepted{{5}};
                },
                [] { return std::string(); }, [] { return graniteseam::consensus::Member{}; },
                [] { return true; }, [] { return true; }}) {
    cr_assert(ErrorOf(Attempt([&] { return server.Start(); })) == nullptr);
  }
  static http::OperatorServerOptions Options(const TestCertificate& certificate) {
    http::OperatorServerOptions options;
    options.address = {"127.0.0.1", 0};
    options.operators = {{"ana", kDigest}};
    options.tls = Load(TlsContext::Side::kServer, certificate.ServerFiles());
    return options;
  }
  runtime::SocketAddress address() const { return {"127.0.0.1", server.port()}; }
  /// Whether a call by someone who trusts this certificate alone is answered.
  bool Answers(const TestCertificate& trusted) const {
    http::OperatorClientOptions options;
    options.control = {address()};
    options.credential = "secret";
    options.authorities_file = trusted.certificate();
    http::OperatorClient client(options);
    const auto answer = Attempt([&] {
      return client.CallOne(address(), {"GET", "/v1/fleet", ""});
    });
    return ErrorOf(answer) == nullptr;
  }

  runtime::MetricsRegistry metrics;
  http::OperatorServer server;
};

/// The faults of a program with an HTTP port.
std::vector<runtime::SettingFault> ReadSettings(std::vector<std::string> arguments) {
  http::TlsFiles files;
  runtime::SocketAddress address;
  runtime::SettingsReader reader("program", "Tests TLS.");
  reader.AddAddress("http_address", "Address.", address);
  http::AddServerTlsSettings(reader, files, &address);
  arguments.insert(arguments.begin(), "program");
  std::vector<char*> pointers;
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  std::ostringstream out;
  reader.Read(static_cast<int>(arguments.size()), pointers.data(), out, out);
  return reader.faults();
}

}  // namespace

Test(tls, operators_are_served_and_strangers_are_not_trusted) {
  const TestCertificate own("own");
  const TestCertificate other("other");
  const Server server(own);
  cr_assert(server.Answers(own));
  cr_assert(!server.Answers(other));
}

Test(tls, plain_bytes_at_a_tls_port_are_refused_and_others_served) {
  const TestCertificate own("plain");
  const Server server(own);
  graniteseam::test::RawClient raw(server.server.port());
  raw.Send("GET /livez HTTP/1.1\r\nHost: x\r\n\r\n");
  bool closed = false;
  cr_assert(raw.ReadToEnd(closed).find("200") == std::string::npos);
  cr_assert(closed);
  cr_assert(server.Answers(own));
}

Test(tls, new_certificates_are_taken_without_a_restart_and_faulty_ones_are_not) {
  const TestCertificate own("reload");
  const TestCertificate old_one("reload-old");
  std::filesystem::copy_file(own.certificate(), old_one.certificate(),
                             std::filesystem::copy_options::overwrite_existing);
  const Server server(own);
  cr_assert(server.Answers(own));
  own.Write();
  // The old certificate is served until the change is seen.
  while (!server.Answers(own)) std::this_thread::sleep_for(std::chrono::milliseconds(50));
  cr_assert(!server.Answers(old_one));
  const TestCertificate kept("reload-kept");
  std::filesystem::copy_file(own.certificate(), kept.certificate(),
                             std::filesystem::copy_options::overwrite_existing);
  std::ofstream(own.certificate()) << "nonsense";
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  cr_assert(server.Answers(kept));
}

Test(tls, files_that_do_not_fit_are_refused) {
  const TestCertificate one("fit-one");
  const TestCertificate two("fit-two");
  const http::TlsFiles mixed{one.certificate(), two.key(), ""};
  cr_assert(ErrorOf(Attempt([&] { return TlsContext::Load(TlsContext::Side::kServer, mixed); })));
  const http::TlsFiles missing{"/nonexistent", two.key(), ""};
  cr_assert(ErrorOf(Attempt([&] { return TlsContext::Load(TlsContext::Side::kServer, missing); })));
  const http::TlsFiles untrusting{"", "", ""};
  cr_assert(
      ErrorOf(Attempt([&] { return TlsContext::Load(TlsContext::Side::kClient, untrusting); })));
}

Test(tls, plain_http_is_refused_beyond_loopback) {
  const TestCertificate own("settings");
  cr_assert(ReadSettings({"--http-address", "127.0.0.1:80"}).empty());
  const auto faults = ReadSettings({"--http-address", "10.0.0.1:80"});
  cr_assert(faults.size() == 1 && faults[0].key == "http_tls_certificate");
  cr_assert(ReadSettings({"--http-address", "10.0.0.1:80", "--http-tls-certificate",
                          own.certificate(), "--http-tls-key", own.key()})
                .empty());
  const runtime::SocketAddress far{"192.0.2.1", 80};
  const auto deadline = runtime::BootTimeNow() + std::chrono::seconds(1);
  cr_assert(http::UpstreamConnection::Open(far, deadline) == nullptr);
}

Test(tls, servers_are_reached_over_tls_by_lease_client_and_upstream_connection) {
  const TestCertificate own("upstream");
  httplib::SSLServer stand_in(own.certificate().c_str(), own.key().c_str());
  stand_in.Post("/graniteseam/v1/lease", [](const auto& /*request*/, auto& response) {
    response.set_content(
        R"({"server":"s1","incarnation":1,"reading_us":2,"accepted":true,"shard_set_version":0,
            "released":[],"leaving":false,"load":0})",
        "application/json");
  });
  stand_in.Get("/x", [](const auto& /*request*/, auto& response) {
    response.set_content(std::string(100'000, 'y'), "text/plain");
  });
  const int port = stand_in.bind_to_any_port("127.0.0.1");
  std::thread serving([&] { stand_in.listen_after_bind(); });
  while (!stand_in.is_running()) std::this_thread::yield();
  const auto trusting = Load(TlsContext::Side::kClient, own.ClientFiles());

  const runtime::SocketAddress address{"127.0.0.1", static_cast<std::uint16_t>(port)};
  const auto deadline = runtime::BootTimeNow() + std::chrono::seconds(60);
  {
    const auto connection = http::UpstreamConnection::Open(address, deadline, trusting.get());
    cr_assert(connection != nullptr);
    for (int exchange = 0; exchange < 3; ++exchange) {
      cr_assert(connection->Reusable());
      httplib::Request request;
      request.method = "GET";
      request.path = "/x";
      httplib::Response response;
      cr_assert(connection->Exchange(request, response, deadline, 1'000'000) ==
                http::ExchangeEnd::kWhole);
      cr_assert(response.body == std::string(100'000, 'y'));
    }
  }
  const TestCertificate other("upstream-other");
  const auto distrusting = Load(TlsContext::Side::kClient, other.ClientFiles());
  cr_assert(http::UpstreamConnection::Open(address, deadline, distrusting.get()) == nullptr);

  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  std::atomic<bool> answered{false};
  http::LeaseClientOptions options;
  options.tls = trusting;
  http::LeaseClient client(
      options, loop, metrics,
      [&](const graniteseam::lease::LeaseAnswer& /*answer*/) { answered = true; });
  graniteseam::lease::LeaseRequest request;
  request.server.value = "s1";
  client.Send(ToString(address), request);
  while (!answered) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  loop.Stop();
  stand_in.stop();
  serving.join();
}
