/// @file
/// graniteseam-hollow-nodes: many hollow servers or routers in one process, steered over HTTP by
/// the scale run (testbed/experiment/control_scale.cc).
#include <nlohmann/json.hpp>
#include <thread>

#include "src/runtime/clock.h"
#include "src/runtime/log.h"
#include "src/runtime/settings.h"
#include "src/runtime/stop_signals.h"
#include "testbed/hollow/hollow_router.h"
#include "testbed/hollow/hollow_server.h"
#include "testbed/support/http_listener.h"
#include "testbed/support/program_run.h"

namespace graniteseam::testbed {

namespace {

constexpr Duration kDrivePeriod{50'000};
constexpr std::size_t kAdminConnections = 4;
constexpr int kNotFound = 404;
constexpr char kJson[] = "application/json";

struct HollowOptions {
  runtime::SocketAddress admin_address{"127.0.0.1", 0};
  std::int64_t servers = 0;
  std::int64_t routers = 0;
  std::int64_t first = 0;
  std::string service = "hollow";
  std::string group = "hollow";
  std::vector<runtime::SocketAddress> control;
  double requests_per_second = 20.0;
};

std::optional<int> ReadOptions(int argc, char** argv, HollowOptions& options) {
  using runtime::SettingsReader;
  constexpr std::int64_t kNodesMaximum = 10'000;
  constexpr double kRateMaximum = 10'000.0;
  SettingsReader reader("graniteseam-hollow-nodes",
                        "Holds many servers or routers that do no work, for the scale run.");
  reader.AddAddress("admin_address", "Where the scale run steers it.", options.admin_address);
  reader.AddInteger("servers", "Hollow servers.", options.servers, 0, kNodesMaximum);
  reader.AddInteger("routers", "Hollow routers.", options.routers, 0, kNodesMaximum);
  reader.AddInteger("first", "Number of the first one.", options.first, 0, kNodesMaximum);
  reader.AddText("service", "Keyed service of the bundle.", options.service);
  reader.AddText("group", "Group that its requests name.", options.group);
  reader.AddAddressList("control", "Control processes, for routers.", options.control);
  reader.AddNumber("requests_per_second", "Of each router, answered in place.",
                   options.requests_per_second, 0.001, kRateMaximum);
  reader.AddLogSettings();
  return reader.Read(argc, argv);
}

ZoneName ZoneOf(std::int64_t number) {
  constexpr std::int64_t kZones = 3;
  return ZoneName{"zone-" + std::to_string(number % kZones + 1)};
}

/// All hollow nodes of this process.
class HollowNodes {
 public:
  explicit HollowNodes(const HollowOptions& options) : options_(options) {}

  Result<void> Start() {
    for (std::int64_t index = 0; index < options_.servers; ++index) {
      const ServerId id{"h-" + std::to_string(options_.first + index)};
      servers_.push_back(std::make_unique<HollowServer>(id, events_));
      BOOST_LEAF_CHECK(servers_.back()->Start());
    }
    for (std::int64_t index = 0; index < options_.routers; ++index) {
      HollowRouterOptions router;
      router.id = RouterId{"hr-" + std::to_string(options_.first + index)};
      router.zone = ZoneOf(index);
      router.control = options_.control;
      router.service = ServiceName{options_.service};
      router.group = GroupName{options_.group};
      router.requests_per_second = options_.requests_per_second;
      routers_.push_back(std::make_unique<HollowRouter>(std::move(router), metrics_, events_));
    }
    return {};
  }

  void Drive() {
    for (const auto& router : routers_) router->Drive();
  }

  void Serve(httplib::Server& server) {
    const auto get = [&](const char* path, auto answer) {
      server.Get(path, [answer](const httplib::Request& request, httplib::Response& response) {
        const nlohmann::json json = answer(request);
        if (json.is_null()) response.status = kNotFound;
        response.set_content(json.dump(), kJson);
      });
    };
    get("/machines", [this](const httplib::Request&) { return Machines(); });
    get("/events", [this](const httplib::Request&) { return events_.Take(); });
    get("/stats", [this](const httplib::Request&) { return Stats(); });
    get("/kill", [this](const httplib::Request& request) {
      return Kill(request.get_param_value("server"));
    });
    get("/start", [this](const httplib::Request& request) {
      return StartAgain(request.get_param_value("server"));
    });
    get("/shift", [this](const httplib::Request&) {
      const std::uint64_t seed = runtime::RandomBits();
      for (const auto& router : routers_) router->ShiftKeys(seed);
      return nlohmann::json::object();
    });
    server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
      response.set_content(metrics_.Text(), runtime::kMetricsContentType);
    });
  }

 private:
  HollowServer* Find(const std::string& id) const {
    for (const auto& server : servers_) {
      if (server->id().value == id) return server.get();
    }
    return nullptr;
  }

  nlohmann::json Machines() const {
    nlohmann::json machines = nlohmann::json::array();
    for (std::size_t index = 0; index < servers_.size(); ++index) {
      machines.push_back({{"server", servers_[index]->id().value},
                          {"service", options_.service},
                          {"address", runtime::ToString(servers_[index]->address())},
                          {"zone", ZoneOf(static_cast<std::int64_t>(index)).value},
                          {"leaving", false}});
    }
    return machines;
  }

  nlohmann::json Stats() const {
    HollowServerStats sum;
    for (const auto& server : servers_) {
      const HollowServerStats stats = server->Stats();
      sum.exchanges += stats.exchanges;
      sum.bytes += stats.bytes;
      sum.lapses += stats.lapses;
      sum.shards += stats.shards;
    }
    std::size_t ready = 0;
    for (const auto& router : routers_) ready += router->Ready() ? 1 : 0;
    return {{"servers", servers_.size()}, {"exchanges", sum.exchanges}, {"bytes", sum.bytes},
            {"lapses", sum.lapses},       {"shards", sum.shards},       {"routers_ready", ready}};
  }

  nlohmann::json Kill(const std::string& id) const {
    HollowServer* server = Find(id);
    if (server == nullptr) return nullptr;
    const Instant at = runtime::BootTimeNow();
    nlohmann::json shards = nlohmann::json::array();
    for (const auto& grant : server->Kill()) shards.push_back(grant.shard.index);
    return {{"at_us", ToMicros(at)}, {"shards", std::move(shards)}};
  }

  nlohmann::json StartAgain(const std::string& id) const {
    HollowServer* server = Find(id);
    if (server == nullptr) return nullptr;
    const auto started = Attempt([&] { return server->Start(); });
    return ErrorOf(started) == nullptr ? nlohmann::json::object() : nlohmann::json();
  }

  const HollowOptions& options_;
  EventLog events_;
  runtime::MetricsRegistry metrics_;
  std::vector<std::unique_ptr<HollowServer>> servers_;
  std::vector<std::unique_ptr<HollowRouter>> routers_;
};

Result<void> RunNodes(const HollowOptions& options, runtime::StopSignals& stop,
                      const runtime::Logger& log) {
  HollowNodes nodes(options);
  BOOST_LEAF_CHECK(nodes.Start());
  HttpListener admin(kAdminConnections);
  nodes.Serve(admin.server());
  BOOST_LEAF_AUTO(address, admin.Start(options.admin_address));
  log.Info("Steered at {}.", runtime::ToString(address));
  log.Info("Ready.");
  while (!stop.WaitFor(kDrivePeriod)) nodes.Drive();
  return {};
}

}  // namespace

}  // namespace graniteseam::testbed

int main(int argc, char** argv) {
  graniteseam::testbed::HollowOptions options;
  if (const auto code = graniteseam::testbed::ReadOptions(argc, argv, options)) return *code;
  return graniteseam::testbed::run_program("hollow-nodes", [&](auto& stop, const auto& log) {
    return graniteseam::testbed::RunNodes(options, stop, log);
  });
}
