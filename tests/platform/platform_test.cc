// The platform's programs as real processes, with workers, callers and operators as stand-ins: from
// the first start on, through the loss of a leader, a drain and a change of configuration.
#include <criterion/criterion.h>
#include <sys/signal.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "platform/machine_fields.h"
#include "platform/names.h"
#include "src/runtime/clock.h"
#include "testbed/fleet/await.h"
#include "testbed/fleet/child_process.h"
#include "testbed/fleet/reserved_port.h"
#include "testbed/registered/http_call.h"
#include "testbed/registered/template.h"
#include "testbed/registered/worker.h"
#include "testbed/support/text_file.h"

using namespace graniteseam;
using namespace graniteseam::testbed;
using nlohmann::json;

namespace {

constexpr Duration kPatience{60'000'000};
constexpr Duration kCallLimit{3'000'000};
constexpr int kControls = 3;
constexpr int kRouters = 2;

std::string Ip(int machine) { return "127.0.77." + std::to_string(machine); }

/// The address at which control listens for operators, whatever its machine.
constexpr char kLocalIp[] = "127.0.0.1";

/// Ports that are free on all machines of the fleet, and at kLocalIp: another process's connection
/// may hold one there.
struct Ports {
  std::vector<ReservedPort> reserved;
  std::vector<std::uint16_t> numbers;

  Ports() {
    while (numbers.size() < 5) {
      auto port =
          std::get<ReservedPort>(Attempt([] { return ReservedPort::Reserve(Ip(1), kLocalIp); }));
      numbers.push_back(port.address().port);
      reserved.push_back(std::move(port));
    }
  }
};

class PlatformFleet {
 public:
  PlatformFleet() {
    folder_ = std::filesystem::temp_directory_path() /
              ("graniteseam-platform-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (int control = 1; control <= kControls; ++control) StartControl(control, true);
    for (int router = 1; router <= kRouters; ++router) StartRouter(kControls + router);
    for (int worker = 1; worker <= 3; ++worker) AddWorker("keyed", worker, true);
    for (int worker = 1; worker <= 2; ++worker) AddWorker("pool", worker, false);
  }
  ~PlatformFleet() {
    workers_.clear();
    processes_.clear();
    std::filesystem::remove_all(folder_);
  }

  std::vector<std::string> Registries() const {
    std::vector<std::string> addresses;
    for (int control = 1; control <= kControls; ++control) {
      addresses.push_back(Ip(control) + ":" + std::to_string(ports_.numbers[0]));
    }
    return addresses;
  }
  std::string RouterLog(int router) const {
    const std::string path = folder_ + "/" + std::to_string(kControls + router) + ".log";
    return std::get<std::string>(Attempt([&] { return ReadTextFile(path); }));
  }
  std::string RouterAddress(int router) const {
    return Ip(kControls + router) + ":" + std::to_string(ports_.numbers[1]);
  }

  void StartControl(int control, bool first) {
    FleetMachine fields = Fields(control, first);
    fields.control_address = Ip(control) + ":" + std::to_string(ports_.numbers[0]);
    fields.data_folder = folder_ + "/data-" + std::to_string(control);
    Start(control, "control", fields);
  }
  void Kill(int machine) { processes_.erase(machine); }
  Worker& worker(const std::string& id) { return *workers_.at(id); }

  /// Sends an operator's call to one control after the other until it is answered for good.
  event_http::Response Operate(const std::string& method, const std::string& body, int base) {
    event_http::Request request;
    request.method = method;
    request.target = "/v1/traffic/configuration";
    request.fields.Add("Host", "control");
    request.fields.Add("If-Match", std::to_string(base));
    request.body = body;
    event_http::Response response;
    std::size_t turn = 0;
    AwaitOrFail("an answer to the operator", [&]() -> Missing {
      const auto registries = Registries();
      const auto result =
          caller_.CallFollowing(registries[turn++ % registries.size()], request, kCallLimit);
      response = result.response;
      const bool answered = result.end == event_http::CallEnd::kAnswered;
      return answered && response.status < 500 ? "" : "answer " + std::to_string(response.status);
    });
    return response;
  }

  /// The statistics of all control processes, one after the other.
  std::string ControlMetrics() {
    std::string all;
    for (const std::string& registry : Registries()) {
      event_http::Request request;
      request.method = "GET";
      request.target = "/metrics";
      request.fields.Add("Host", "control");
      all += caller_.Call(registry, request, kCallLimit).response.body;
    }
    return all;
  }

  /// One attempt of a caller.
  event_http::CallResult Ask(int router, const std::string& method, const std::string& path,
                             std::optional<std::uint32_t> key = {}) {
    event_http::Request request;
    request.method = method;
    request.target = path;
    request.fields.Add("Host", "a.example");
    last_id_ = "attempt-" + std::to_string(++attempts_);
    request.fields.Add(names_.attempt_id, last_id_);
    request.fields.Add(names_.time_left_ms, "2000");
    if (key) request.fields.Add(names_.key, std::to_string(*key));
    if (method == "POST") request.body = "order";
    return caller_.Call(RouterAddress(router), request, kCallLimit);
  }

  /// Asks, and notes whether a refusal promised that the request did not run.
  int AskAndNote(int router, const std::string& method, const std::string& path,
                 std::optional<std::uint32_t> key = {}) {
    const auto result = Ask(router, method, path, key);
    const int status = result.end == event_http::CallEnd::kAnswered ? result.response.status : 0;
    if (status == 503) promised_.insert(last_id_);
    if (status == 200) {
      cr_assert(*result.response.fields.Find(names_.attempt_id) == last_id_);
      cr_assert(result.response.fields.Find(names_.seal) != nullptr);
    }
    return status;
  }

  void AwaitServed(int router, const std::string& path, std::optional<std::uint32_t> key = {}) {
    AwaitOrFail(path + " to be served", [&]() -> Missing {
      const int status = AskAndNote(router, "GET", path, key);
      return status == 200 ? "" : "status " + std::to_string(status);
    });
  }

  void AwaitOrFail(const std::string& what, const std::function<Missing()>& condition) const {
    const auto waited = Attempt([&] { return testbed::Await(what, kPatience, condition); });
    const Error* error = ErrorOf(waited);
    cr_assert(error == nullptr, "%s", error == nullptr ? "" : error->message.c_str());
  }

  /// At most one run of each attempt on the unsafe route, none after a promise, and never two
  /// owners at work on a key.
  void CheckRuns() const {
    std::map<std::string, int> runs_of;
    std::map<std::uint32_t, std::vector<WorkerRun>> runs_of_key;
    for (const auto& [id, worker] : workers_) {
      for (const WorkerRun& run : worker->runs()) {
        ++runs_of[run.attempt];
        if (run.key) runs_of_key[*run.key].push_back(run);
      }
    }
    for (const std::string& attempt : unsafe_) cr_assert(runs_of[attempt] <= 1);
    for (const std::string& attempt : promised_) cr_assert(runs_of[attempt] == 0);
    for (const auto& [key, runs] : runs_of_key) {
      for (const WorkerRun& a : runs) {
        for (const WorkerRun& b : runs) {
          const bool together = a.begun < b.ended && b.begun < a.ended;
          cr_assert(a.worker == b.worker || !together, "two owners ran key %u", key);
          cr_assert(a.worker == b.worker || a.fence != b.fence);
        }
      }
    }
  }

  void NoteUnsafe() { unsafe_.insert(last_id_); }

 private:
  FleetMachine Fields(int machine, bool first) const {
    FleetMachine fields;
    fields.number = static_cast<std::uint32_t>(machine);
    fields.ip = Ip(machine);
    fields.first_start = first;
    fields.seeds = Registries();
    fields.first_port = ports_.numbers[2];
    fields.last_port = ports_.numbers[3];
    return fields;
  }

  void Start(int machine, const std::string& program, const FleetMachine& fields) {
    const std::string source = std::get<std::string>(Attempt([&] {
      return ReadTextFile(GRANITESEAM_SOURCE_DIR "/platform/" + program + ".toml.template");
    }));
    const std::string settings = folder_ + "/" + std::to_string(machine) + ".toml";
    const auto written = Attempt(
        [&] { return WriteTextFile(settings, FillTemplate(source, platform::FieldsOf(fields))); });
    cr_assert(ErrorOf(written) == nullptr);
    Command command;
    command.words = {GRANITESEAM_BINARY_DIR "/bin/graniteseam-platform-" + program};
    command.environment = {{platform::kSettingsVariable, settings}};
    command.log = folder_ + "/" + std::to_string(machine) + ".log";
    auto process = Attempt([&] { return ChildProcess::Start(command); });
    cr_assert(ErrorOf(process) == nullptr);
    processes_.emplace(machine, std::move(std::get<ChildProcess>(process)));
  }

  void StartRouter(int machine) {
    FleetMachine fields = Fields(machine, true);
    fields.front_address = Ip(machine) + ":" + std::to_string(ports_.numbers[1]);
    fields.ready_address = Ip(machine) + ":" + std::to_string(ports_.numbers[4]);
    Start(machine, "router", fields);
  }

  void AddWorker(const std::string& service, int number, bool keyed) {
    WorkerOptions options;
    options.id = service + "-" + std::to_string(number);
    options.service = service;
    options.zone = "z" + std::to_string(number % 3);
    options.keyed = keyed;
    options.registries = Registries();
    options.names = names_;
    options.owner_names = platform::OwnerNames();
    workers_[options.id] = std::make_unique<Worker>(options);
  }

  const daemon::ExchangeNames names_ = platform::RequestNames();
  Ports ports_;
  std::string folder_;
  std::map<int, ChildProcess> processes_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  HttpCaller caller_;
  int attempts_ = 0;
  std::string last_id_;
  std::set<std::string> promised_;
  std::set<std::string> unsafe_;
};

/// The first line of a log with all of the texts; empty when there is none.
std::string LineWith(const std::string& log, const std::vector<std::string>& texts) {
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const auto has = [&](const std::string& text) { return line.find(text) != std::string::npos; };
    if (std::all_of(texts.begin(), texts.end(), has)) return line;
  }
  return "";
}

/// A configuration with a safe and an unsafe route to "pool" and a keyed one.
std::string ConfigurationText(int version, const std::string& further_prefix) {
  const auto route = [](const std::string& name, const std::string& prefix, const std::string& kind,
                        const std::string& service) {
    return json{{"name", name},  {"host", "a.example"},   {"path_prefix", prefix},
                {"kind", kind},  {"timeout_ms", 2000},    {"target_latency_ms", 500},
                {"priority", 1}, {"attempts_maximum", 2}, {"service", service}};
  };
  json routes = {route("safe", "/safe/", "safe", "pool"),
                 route("unsafe", "/unsafe/", "unsafe", "pool"),
                 route("keyed", "/keyed/", "safe", "keyed")};
  if (!further_prefix.empty()) routes.push_back(route("more", further_prefix, "safe", "pool"));
  return json{{"version", version},
              {"routes", routes},
              {"services", {{{"name", "pool"}}, {{"name", "keyed"}, {"keyed", true}}}},
              {"limits", {{"idle_timeout_ms", 15000}}}}
      .dump();
}

}  // namespace

Test(platform, whole_path_through_a_leaders_loss_a_drain_and_a_change, .timeout = 280) {
  PlatformFleet fleet;
  const std::string first = ConfigurationText(5, "");
  cr_assert(fleet.Operate("PUT", first, 0).status == 200);
  for (int router = 1; router <= kRouters; ++router) {
    fleet.AwaitServed(router, "/safe/x");
    fleet.AwaitServed(router, "/keyed/x", 4'711);
  }

  // Sent again: the same answer. Another change on the same version, and an invalid one: refused.
  cr_assert(fleet.Operate("PUT", first, 0).status == 200);
  cr_assert(fleet.Operate("PUT", ConfigurationText(6, "/no/"), 0).status == 412);
  cr_assert(fleet.Operate("PUT", first.substr(0, 40), 5).status == 400);
  cr_assert(json::parse(fleet.Operate("GET", "", 5).body) == json::parse(first));

  // The leader is lost while requests go on, and comes back; the group goes on without it.
  for (int control = 1; control <= kControls; ++control) {
    fleet.Kill(control);
    for (int request = 0; request < 30; ++request) {
      const int router = 1 + request % kRouters;
      fleet.AskAndNote(router, "POST", "/unsafe/x");
      fleet.NoteUnsafe();
      fleet.AskAndNote(router, "GET", "/keyed/x", static_cast<std::uint32_t>(request * 2'111));
    }
    fleet.StartControl(control, false);
    fleet.AwaitServed(1, "/keyed/x", 9);
    cr_assert(json::parse(fleet.Operate("GET", "", 5).body) == json::parse(first));
  }

  // A worker that drains gets nothing any more, and its keys go to others.
  Worker& draining = fleet.worker("keyed-1");
  draining.Drain();
  fleet.AwaitOrFail("the drain to be acknowledged", [&]() -> Missing {
    return draining.drain_acknowledged() ? "" : "acknowledgement";
  });
  for (std::uint32_t key = 0; key < 65'536; key += 4'096) fleet.AwaitServed(2, "/keyed/x", key);
  cr_assert(draining.arrivals_after_drain(std::chrono::seconds(2)).empty());

  // A change is in force at every router, soon after it was accepted.
  cr_assert(fleet.Operate("PUT", ConfigurationText(8, "/more/"), 5).status == 200);
  for (int router = 1; router <= kRouters; ++router) fleet.AwaitServed(router, "/more/x");
  fleet.CheckRuns();

  // A gateway told what each request waited for.
  const std::string answer =
      LineWith(fleet.RouterLog(1), {"\"event\":\"answer\"", "\"outcome\":\"relayed\""});
  for (const std::string told :
       {"\"connection_wait_us\":", "\"sent_after_us\":", "\"target_us\":500000", "\"age_us\":0"}) {
    cr_assert(answer.find(told) != std::string::npos, "%s: %s", told.c_str(), answer.c_str());
  }

  // Control told what it did.
  const std::string metrics = fleet.ControlMetrics();
  for (const std::string told :
       {"graniteseam_control_leader_changes_total{role=\"leads\"}",
        "graniteseam_control_range_orders_total{kind=\"grant\"}",
        "graniteseam_control_range_order_ends_total{result=\"done\"}",
        "graniteseam_control_registry_seconds_count{call=\"heartbeat\",result=\"accepted\"}",
        "graniteseam_control_registry_seconds_count{call=\"change_configuration\","
        "result=\"accepted\"}"}) {
    cr_assert(metrics.find(told) != std::string::npos, "%s", told.c_str());
  }
}
