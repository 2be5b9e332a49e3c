/// @file
/// Control processes and one router of the platform's programs, as real processes on loopback
/// addresses, and what they hold.
#pragma once

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/machine_fields.h"
#include "platform/names.h"
#include "testbed/fleet/await.h"
#include "testbed/fleet/child_process.h"
#include "testbed/fleet/reserved_port.h"
#include "testbed/registered/http_call.h"
#include "testbed/registered/template.h"
#include "testbed/support/text_file.h"

namespace graniteseam::test {

/// Memory of the machines that a router and a control process run on.
inline constexpr long kRouterMemoryMb = 160;
inline constexpr long kControlMemoryMb = 256;
constexpr long KibOf(long megabytes) { return megabytes * 1'000'000 / 1'024; }
/// Descriptors of either.
inline constexpr std::size_t kDescriptorsMaximum = 4'100;

inline std::string MachineIp(int machine) { return "127.0.81." + std::to_string(machine); }

/// Ports that are free on all machines of the fleet, and at 127.0.0.1, where control listens for
/// operators.
struct FleetPorts {
  std::vector<testbed::ReservedPort> reserved;
  std::vector<std::uint16_t> numbers;

  FleetPorts() {
    constexpr std::size_t kPorts = 5;
    while (numbers.size() < kPorts) {
      auto port = std::get<testbed::ReservedPort>(
          Attempt([] { return testbed::ReservedPort::Reserve(MachineIp(1), "127.0.0.1"); }));
      numbers.push_back(port.address().port);
      reserved.push_back(std::move(port));
    }
  }
};

class Fleet {
 public:
  static constexpr int kControls = 3;

  Fleet() {
    folder_ = std::filesystem::temp_directory_path() /
              ("graniteseam-memory-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (int control = 1; control <= kControls; ++control) StartControl(control, true);
    StartRouter();
  }
  ~Fleet() {
    processes_.clear();
    std::filesystem::remove_all(folder_);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  runtime::SocketAddress Control(int control) const {
    return {MachineIp(control), ports_.numbers[0]};
  }
  /// Where a control process takes the connections of routers.
  runtime::SocketAddress Internal(int control) const {
    return {MachineIp(control), ports_.numbers[2]};
  }
  runtime::SocketAddress Router() const { return {MachineIp(kRouter), ports_.numbers[1]}; }
  runtime::SocketAddress RouterReady() const { return {MachineIp(kRouter), ports_.numbers[4]}; }

  void StartControl(int control, bool first) {
    testbed::FleetMachine fields = Fields(control, first);
    fields.control_address = ToString(Control(control));
    fields.data_folder = folder_ + "/data-" + std::to_string(control);
    fields.memory_mb = kControlMemoryMb;
    Start(control, "control", fields);
  }
  void KillControls() {
    for (int control = 1; control <= kControls; ++control) processes_.erase(control);
  }
  void KillControl(int control) { processes_.erase(control); }
  /// Of a control process that does not run.
  void LoseDisk(int control) {
    std::filesystem::remove_all(folder_ + "/data-" + std::to_string(control));
  }

  bool RouterRuns() { return processes_.at(kRouter).Running(); }
  bool ControlsRun() {
    bool all = true;
    for (int control = 1; control <= kControls; ++control) {
      all = processes_.at(control).Running() && all;
    }
    return all;
  }

  /// The most memory that a machine's process was resident in, in KiB.
  long PeakKib(int machine) const {
    std::ifstream status(ProcessFolder(machine) / "status");
    for (std::string line; std::getline(status, line);) {
      constexpr std::string_view kPeak = "VmHWM:";
      if (line.starts_with(kPeak)) return std::stol(line.substr(kPeak.size()));
    }
    cr_assert_fail("machine %d has no process", machine);
    return 0;
  }
  /// The same of the router.
  long RouterPeakKib() const { return PeakKib(kRouter); }
  /// The same of the control process that took most.
  long ControlPeakKib() const {
    long peak = 0;
    for (int control = 1; control <= kControls; ++control) {
      peak = std::max(peak, PeakKib(control));
    }
    return peak;
  }
  std::size_t RouterDescriptors() const { return Descriptors(kRouter); }
  std::size_t ControlDescriptors() const {
    std::size_t most = 0;
    for (int control = 1; control <= kControls; ++control) {
      most = std::max(most, Descriptors(control));
    }
    return most;
  }

  /// Sends an operator's call to one control process after the other until it is answered for good.
  event_http::Response Operate(const std::string& method, const std::string& body, int base) {
    event_http::Request request;
    request.method = method;
    request.target = "/v1/traffic/configuration";
    request.fields.Add("Host", "control");
    request.fields.Add("If-Match", std::to_string(base));
    request.body = body;
    event_http::Response response;
    int turn = 0;
    AwaitOrFail("an answer to the operator", [&]() -> testbed::Missing {
      const int control = 1 + turn++ % kControls;
      const auto result = caller_.CallFollowing(ToString(Control(control)), request, kCallLimit);
      response = result.response;
      const bool answered = result.end == event_http::CallEnd::kAnswered;
      const bool redirected = response.status / 100 == 3;  // The leader changed meanwhile.
      const bool final = answered && response.status < 500 && !redirected;
      return final ? "" : "status " + std::to_string(response.status);
    });
    return response;
  }

  /// Sends ordinary requests to the router, one after the other, until one is served.
  void AwaitServed(const std::string& path) {
    AwaitOrFail(path + " to be served", [&]() -> testbed::Missing {
      event_http::Request request;
      request.method = "GET";
      request.target = path;
      request.fields.Add("Host", "a.example");
      request.fields.Add(names_.attempt_id, "ordinary-" + std::to_string(++attempts_));
      request.fields.Add(names_.time_left_ms, "2000");
      const auto result = caller_.Call(ToString(Router()), request, kCallLimit);
      const bool served =
          result.end == event_http::CallEnd::kAnswered && result.response.status == 200;
      return served ? "" : "status " + std::to_string(result.response.status);
    });
  }

  void AwaitOrFail(const std::string& what,
                   const std::function<testbed::Missing()>& condition) const {
    const auto waited = Attempt([&] { return testbed::Await(what, kPatience, condition); });
    const Error* error = ErrorOf(waited);
    cr_assert(error == nullptr, "%s", error == nullptr ? "" : error->message.c_str());
  }

 private:
  static constexpr int kRouter = kControls + 1;
  static constexpr Duration kPatience{60'000'000};
  static constexpr Duration kCallLimit{20'000'000};

  testbed::FleetMachine Fields(int machine, bool first) const {
    testbed::FleetMachine fields;
    fields.number = static_cast<std::uint32_t>(machine);
    fields.ip = MachineIp(machine);
    fields.first_start = first;
    for (int control = 1; control <= kControls; ++control) {
      fields.seeds.push_back(ToString(Control(control)));
    }
    fields.first_port = ports_.numbers[2];
    fields.last_port = ports_.numbers[3];
    return fields;
  }

  void StartRouter() {
    testbed::FleetMachine fields = Fields(kRouter, true);
    fields.front_address = ToString(Router());
    fields.ready_address = MachineIp(kRouter) + ":" + std::to_string(ports_.numbers[4]);
    fields.memory_mb = kRouterMemoryMb;
    Start(kRouter, "router", fields);
  }

  void Start(int machine, const std::string& program, const testbed::FleetMachine& fields) {
    const std::string source = std::get<std::string>(Attempt([&] {
      return testbed::ReadTextFile(GRANITESEAM_SOURCE_DIR "/platform/" + program +
                                   ".toml.template");
    }));
    const std::string settings = folder_ + "/" + std::to_string(machine) + ".toml";
    const auto written = Attempt([&] {
      return testbed::WriteTextFile(settings,
                                    testbed::FillTemplate(source, platform::FieldsOf(fields)));
    });
    cr_assert(ErrorOf(written) == nullptr);
    testbed::Command command;
    command.words = {GRANITESEAM_BINARY_DIR "/bin/graniteseam-platform-" + program};
    command.environment = {{platform::kSettingsVariable, settings}};
    command.log = folder_ + "/" + std::to_string(machine) + ".log";
    auto process = Attempt([&] { return testbed::ChildProcess::Start(command); });
    cr_assert(ErrorOf(process) == nullptr);
    processes_.emplace(machine, std::move(std::get<testbed::ChildProcess>(process)));
  }

  std::filesystem::path ProcessFolder(int machine) const {
    return "/proc/" + std::to_string(processes_.at(machine).id());
  }

  std::size_t Descriptors(int machine) const {
    const std::filesystem::directory_iterator open(ProcessFolder(machine) / "fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
  }

  const daemon::ExchangeNames names_ = platform::RequestNames();
  FleetPorts ports_;
  std::string folder_;
  std::map<int, testbed::ChildProcess> processes_;
  testbed::HttpCaller caller_;
  int attempts_ = 0;
};

}  // namespace graniteseam::test
