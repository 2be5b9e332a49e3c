// graniteseam-router: takes callers' requests to the servers that own their keys.
#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/daemon/router/router_metrics.h"
#include "src/http/caller_server.h"
#include "src/http/request_driver.h"
#include "src/protocol/internal_settings.h"
#include "src/protocol/router_control_client.h"
#include "src/runtime/clock.h"
#include "src/runtime/log.h"
#include "src/runtime/metrics.h"
#include "src/runtime/settings.h"
#include "src/runtime/stop_signals.h"

namespace graniteseam {
namespace {

struct RouterSettings {
  std::string id;
  std::string zone;
  runtime::SocketAddress http_address;
  std::vector<runtime::SocketAddress> control;
  protocol::InternalSecurity security;
  http::TlsFiles caller_tls;
  http::TlsFiles server_tls;
  std::int64_t connections_maximum = 4096;
  Duration drain{1'000'000};
  Duration stop_maximum{35'000'000};
};

std::optional<int> ReadSettings(int argc, char** argv, RouterSettings& settings) {
  runtime::SettingsReader reader("graniteseam-router",
                                 "Takes callers' requests to the servers that own their keys.");
  using Presence = runtime::SettingsReader::Presence;
  reader.AddText("id", "This router's name, unique in the fleet.", settings.id,
                 Presence::kRequired);
  reader.AddText("zone", "The zone it runs in.", settings.zone, Presence::kRequired);
  reader.AddAddress("http_address", "Address for callers, /livez, /readyz and /metrics.",
                    settings.http_address, Presence::kRequired);
  reader.AddAddressList("control", "Addresses of control processes (their peer_address).",
                        settings.control, Presence::kRequired);
  constexpr std::int64_t kConnectionsMaximum = 65'536;
  reader.AddInteger("connections_maximum", "Callers' connections at once; one thread each.",
                    settings.connections_maximum, 1, kConnectionsMaximum);
  reader.AddMilliseconds("drain_ms",
                         "How long a stop goes on answering on open connections, so that callers "
                         "see it and go elsewhere.",
                         settings.drain, Duration{0}, Duration{60'000'000});
  reader.AddMilliseconds("stop_maximum_ms", "How long a stop waits for requests in flight.",
                         settings.stop_maximum, Duration{0}, Duration{600'000'000});
  protocol::AddInternalSecuritySettings(reader, settings.security, nullptr, &settings.control);
  http::AddServerTlsSettings(reader, settings.caller_tls, &settings.http_address);
  http::AddUpstreamTlsSettings(reader, settings.server_tls);
  reader.AddLogSettings();
  return reader.Read(argc, argv);
}

/// Null when no files are set.
Result<std::shared_ptr<http::TlsContext>> LoadTls(http::TlsContext::Side side,
                                                  const http::TlsFiles& files) {
  if (files.Empty()) return std::shared_ptr<http::TlsContext>();
  return http::TlsContext::Load(side, files);
}

struct RouterTls {
  std::shared_ptr<http::TlsContext> callers;
  std::shared_ptr<http::TlsContext> servers;
};

Result<RouterTls> LoadRouterTls(const RouterSettings& settings) {
  RouterTls tls;
  BOOST_LEAF_ASSIGN(tls.callers, LoadTls(http::TlsContext::Side::kServer, settings.caller_tls));
  BOOST_LEAF_ASSIGN(tls.servers, LoadTls(http::TlsContext::Side::kClient, settings.server_tls));
  return tls;
}

/// Answers on open connections go on for the drain, then requests in flight are finished.
void StopInOrder(const RouterSettings& settings, http::CallerServer& server,
                 http::RequestDriver& driver, std::atomic<bool>& stopping) {
  stopping = true;
  server.BeginDrain();
  std::this_thread::sleep_for(settings.drain);
  driver.PrepareStop();
  server.Stop();
  const Instant give_up = runtime::BootTimeNow() + settings.stop_maximum;
  constexpr Duration kLook{10'000};
  while (runtime::BootTimeNow() < give_up) {
    const routing::RouterStatus status = driver.Status();
    // Completions that the journal did not take would leave operations without their answer.
    if (status.requests == 0 && status.journal_idle && server.connections() == 0) return;
    std::this_thread::sleep_for(kLook);
  }
}

int Run(const RouterSettings& settings, const RouterTls& tls, runtime::StopSignals& stop_signals) {
  const runtime::Logger log("router");
  runtime::MetricsRegistry metrics;
  daemon::RouterMetrics router_metrics(metrics);
  std::atomic<bool> stopping{false};

  http::RequestDriverOptions driver_options;
  driver_options.node.router = {settings.id};
  driver_options.node.zone = {settings.zone};
  driver_options.seed = runtime::RandomBits();
  driver_options.upstream.tls = tls.servers;
  // Null until the client stands; what is sent before is asked for again on the first connection.
  std::atomic<protocol::RouterControlClient*> control{nullptr};
  http::RequestDriver driver(
      driver_options,
      [&control](control::RouterToControl message) {
        if (protocol::RouterControlClient* client = control) client->Send(std::move(message));
      },
      [&router_metrics](routing::AttemptEnd end) { router_metrics.OnAttempt(end); });

  http::CallerServerOptions server_options;
  server_options.router = {settings.id};
  server_options.tls = tls.callers;
  server_options.connections_maximum = static_cast<std::size_t>(settings.connections_maximum);
  http::CallerServer server(
      server_options,
      [&](http::CallerMessage&& message) {
        const Instant start = runtime::BootTimeNow();
        const ServiceName service = message.request.service;
        http::CallerReply reply = driver.Handle(std::move(message));
        router_metrics.OnRequest(service, reply.outcome, runtime::BootTimeNow() - start);
        return reply;
      },
      [&driver](const ServiceName& service) { return driver.BodyBytesMaximum(service); },
      [&driver](routing::RequestNumber request) { driver.OnCallerGone(request); });
  server.AddPage("/livez", [] { return http::PlainPage{200, "text/plain", "live\n"}; });
  server.AddPage("/readyz", [&] {
    const bool ready = !stopping && driver.Ready();
    return ready ? http::PlainPage{200, "text/plain", "ready\n"}
                 : http::PlainPage{503, "text/plain", "not ready\n"};
  });
  server.AddPage("/metrics", [&] {
    router_metrics.Update(driver.Status(), driver.idle_connections());
    return http::PlainPage{200, runtime::kMetricsContentType, metrics.Text()};
  });
  const Outcome<std::uint16_t> port = Attempt([&] { return server.Bind(settings.http_address); });
  if (const Error* error = ErrorOf(port)) {
    log.Error(*error);
    return 1;
  }
  protocol::RouterControlClientOptions control_options;
  control_options.router = {settings.id};
  control_options.control = settings.control;
  control_options.security = settings.security;
  auto client = std::make_unique<protocol::RouterControlClient>(
      control_options, metrics,
      [&driver](const control::ControlToRouter& message, const std::string& /*from*/) {
        driver.OnControlMessage(message);
      },
      [&driver](bool connected) {
        if (connected) driver.OnControlConnected();
      });
  control = client.get();
  driver.Start();
  driver.OnControlConnected();
  std::thread serving([&server] { server.Serve(); });
  log.Info("Listening for callers on {}:{}.", settings.http_address.ip,
           std::get<std::uint16_t>(port));
  log.Info("Ready.");
  stop_signals.Wait();
  log.Info("Stopping; requests in flight are finished.");
  StopInOrder(settings, server, driver, stopping);
  serving.join();
  driver.Stop();
  control = nullptr;
  client.reset();
  log.Info("Stopped.");
  return 0;
}

}  // namespace

int Main(int argc, char** argv) {
  RouterSettings settings;
  if (const std::optional<int> exit_code = ReadSettings(argc, argv, settings)) return *exit_code;
  runtime::StopSignals stop_signals;
  const auto tls = Attempt([&] { return LoadRouterTls(settings); });
  if (const Error* error = ErrorOf(tls)) {
    runtime::Logger("router").Error(*error);
    return runtime::kExitInvalidSettings;
  }
  return Run(settings, std::get<RouterTls>(tls), stop_signals);
}

}  // namespace graniteseam

int main(int argc, char** argv) { return graniteseam::Main(argc, argv); }
