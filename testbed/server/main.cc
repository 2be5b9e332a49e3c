/// @file
/// graniteseam-testbed-server: stands in for a user's server.
#include <httplib.h>

#include <nlohmann/json.hpp>

#include "src/runtime/clock.h"
#include "src/runtime/log.h"
#include "src/runtime/stop_signals.h"
#include "testbed/server/hints.h"
#include "testbed/server/lease_messages.h"
#include "testbed/server/options.h"
#include "testbed/server/ownership.h"
#include "testbed/server/request_handler.h"
#include "testbed/support/http_listener.h"
#include "testbed/support/program_run.h"
#include "testbed/support/record_file.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kDrainCheckPeriod{20'000};
/// How long a leaving pooled server sees no request before it believes that the routers know.
constexpr Duration kQuietBeforeStop{1'500'000};
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

/// The stand-in server: endpoints, and the order of its stop.
class StandInServer {
 public:
  StandInServer(const ServerOptions& options, RecordFile& records)
      : options_(options),
        ownership_(ServerId{options.id}, Incarnation{runtime::RandomBits() >> 1}, records),
        handler_(options, ownership_, runtime::BootTimeNow()),
        hints_(options.hint_lag),
        listener_(static_cast<std::size_t>(options.connections)) {
    AddEndpoints();
  }

  Result<runtime::SocketAddress> Start() { return listener_.Start(options_.http_address); }

  /// Asks to be drained, waits until its work has gone elsewhere, and stops. No request in flight
  /// is cut off.
  void Stop() {
    ownership_.SetLeaving();
    const Instant asked = runtime::BootTimeNow();
    while (!Drained(asked) && runtime::BootTimeNow() < asked + options_.drain_limit) {
      std::this_thread::sleep_for(kDrainCheckPeriod);
    }
    handler_.Close();
    listener_.Stop();
  }

 private:
  void AddEndpoints() {
    auto& server = listener_.server();
    server.Post("/graniteseam/v1/lease",
                [this](const auto& request, auto& response) { TakeLease(request, response); });
    server.Get("/graniteseam/v1/health",
               [this](const auto&, auto& response) { TellHealth(response); });
    server.Get("/graniteseam/v1/load", [this](const auto&, auto& response) { TellLoad(response); });
    const auto run = [this](const auto& request, auto& response) {
      handler_.Handle(request, response);
    };
    constexpr auto kAnyPath = "/v1/services/.*";
    server.Get(kAnyPath, run);
    server.Post(kAnyPath, run);
    server.Put(kAnyPath, run);
    server.Delete(kAnyPath, run);
  }

  void TakeLease(const httplib::Request& request, httplib::Response& response) {
    const auto parsed = Attempt([&] { return ParseLeaseRequest(request.body); });
    if (const auto* error = ErrorOf(parsed)) {
      response.status = kBadRequest;
      response.set_content(ToString(*error) + "\n", "text/plain");
      return;
    }
    const auto& message = std::get<lease::LeaseRequest>(parsed);
    if (message.server.value != options_.id) {
      response.status = kConflict;
      response.set_content("This is server " + options_.id + ".\n", "text/plain");
      return;
    }
    auto answer = ownership_.Take(message);
    answer.load = CurrentHint().load;
    response.set_content(FormatLeaseAnswer(answer), "application/json");
  }

  Hint CurrentHint() {
    const Instant now = runtime::BootTimeNow();
    const Hint truth{.healthy = !handler_.Cold(now) && ownership_.LeaseValid(now),
                     .load = handler_.slots().Load(),
                     .in_flight = handler_.slots().Busy()};
    Hint told = hints_.Exchange(truth, now);
    if (options_.always_healthy) told.healthy = true;
    if (options_.claimed_load_percent >= 0) {
      told.load = static_cast<double>(options_.claimed_load_percent) / 100.0;
    }
    return told;
  }

  void TellHealth(httplib::Response& response) {
    if (!CurrentHint().healthy) response.status = kUnavailable;
  }

  void TellLoad(httplib::Response& response) {
    const Hint hint = CurrentHint();
    const nlohmann::json body = {{"load", hint.load}, {"in_flight", hint.in_flight}};
    response.set_content(body.dump(), "application/json");
  }

  bool Drained(Instant asked) const {
    if (handler_.slots().Busy() > 0) return false;
    const Instant now = runtime::BootTimeNow();
    if (!ownership_.LeaseValid(now)) return true;
    if (options_.keyed && ownership_.HoldsShards()) return false;
    return std::max(handler_.last_arrival(), asked) + kQuietBeforeStop <= now;
  }

  const ServerOptions options_;
  Ownership ownership_;
  RequestHandler handler_;
  LaggingHints hints_;
  HttpListener listener_;
};

Result<void> RunServer(const ServerOptions& options, runtime::StopSignals& stop,
                       const runtime::Logger& log) {
  BOOST_LEAF_AUTO(records, RecordFile::Open(options.record));
  StandInServer server(options, records);
  BOOST_LEAF_AUTO(address, server.Start());
  log.Info("Server {} listens on {}.", options.id, runtime::ToString(address));
  log.Info("Ready.");
  stop.Wait();
  log.Info("Server {} drains.", options.id);
  server.Stop();
  log.Info("Server {} stopped.", options.id);
  return {};
}

}  // namespace

}  // namespace graniteseam::testbed

int main(int argc, char** argv) {
  graniteseam::testbed::ServerOptions options;
  if (const auto code = graniteseam::testbed::ReadServerOptions(argc, argv, options)) return *code;
  return graniteseam::testbed::run_program("testbed-server", [&](auto& stop, const auto& log) {
    return graniteseam::testbed::RunServer(options, stop, log);
  });
}
