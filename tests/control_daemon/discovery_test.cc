// How a control process that knows no member finds the group by settings that are read again.
#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "src/daemon/control/control_process.h"
#include "src/runtime/clock.h"
#include "tests/support/raw_client.h"

using namespace graniteseam;
using graniteseam::test::RawClient;

namespace {

/// Two ports that were free a moment ago.
std::pair<std::uint16_t, std::uint16_t> FreePorts() {
  boost::asio::io_context context;
  using boost::asio::ip::tcp;
  const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
  const tcp::acceptor first(context, any);
  const tcp::acceptor second(context, any);
  return {first.local_endpoint().port(), second.local_endpoint().port()};
}

/// A folder for everything, which is removed with this object. The event log goes to a file in it.
class Folder {
 public:
  Folder()
      : path_(std::filesystem::temp_directory_path() /
              ("graniteseam-discovery-" + std::to_string(runtime::RandomBits()))) {
    std::filesystem::create_directory(path_);
    dup2(open((path_ / "events").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600), STDOUT_FILENO);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  std::string Of(const std::string& name) const { return path_ / name; }
  bool LogHas(const std::string& part) const {
    std::ostringstream text;
    text << std::ifstream(path_ / "events").rdbuf();
    return text.str().find(part) != std::string::npos;
  }

 private:
  std::filesystem::path path_;
};

consensus::Member SeedAt(std::uint16_t port) {
  const runtime::SocketAddress address{"127.0.0.1", port};
  return {daemon::IdOfAddress(address), {}, ToString(address), {}};
}

daemon::ControlSettings SettingsOf(const std::string& folder, std::uint16_t port,
                                   std::uint16_t seed) {
  daemon::ControlSettings settings;
  settings.zone = "z";
  settings.data_folder = folder;
  settings.peer_address = {"127.0.0.1", port};
  settings.http_address = settings.registry_address = {"127.0.0.1", 0};
  settings.first_voters = {SeedAt(seed)};
  settings.node.membership.enabled = true;
  settings.voters = 1;
  return settings;
}

/// The head of the answer to a read of the configuration.
std::string Read(const daemon::ControlProcess& process) {
  RawClient client(process.registry_port());
  client.Send("GET /v1/traffic/configuration HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  bool closed = false;
  return client.ReadToEnd(closed);
}

template <class Condition>
bool Within(std::chrono::seconds limit, Condition condition) {
  const Instant end = runtime::BootTimeNow() + limit;
  while (!condition()) {
    if (runtime::BootTimeNow() >= end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

void Start(daemon::ControlProcess& process) {
  const auto started = Attempt([&] { return process.Start(); });
  cr_assert(ErrorOf(started) == nullptr);
}

}  // namespace

// A process whose seeds had all been replaced stayed outside the group, whatever its settings said
// later.
Test(discovery, process_without_a_living_seed_joins_by_seeds_that_are_read_again, .timeout = 120) {
  const Folder folder;
  const auto [member_port, new_port] = FreePorts();
  runtime::StopSignals stop;
  daemon::ControlSettings founding = SettingsOf(folder.Of("member"), member_port, member_port);
  founding.initialise = true;
  daemon::ControlProcess member(founding, stop);
  Start(member);
  cr_assert(Within(std::chrono::seconds(20),
                   [&] { return Read(member).find("HTTP/1.1 200 ") != std::string::npos; }));
  constexpr std::uint16_t kNobody = 1;
  daemon::ControlProcess joining(SettingsOf(folder.Of("joining"), new_port, kNobody), stop);
  Start(joining);
  cr_assert(Within(std::chrono::seconds(20), [&] { return joining.LacksLeader(); }));
  cr_assert(Read(joining).find("HTTP/1.1 503 ") != std::string::npos);
  joining.Reload(SettingsOf(folder.Of("joining"), new_port, member_port));
  cr_assert(Within(std::chrono::seconds(20),
                   [&] { return Read(joining).find("HTTP/1.1 307 ") != std::string::npos; }));
  cr_assert_not(joining.LacksLeader());
  for (const char* const event : {"announces", "announcement_received", "seeds_changed"}) {
    cr_assert(folder.LogHas(event), "no line \"%s\"", event);
  }
  joining.Stop();
  member.Stop();
}
