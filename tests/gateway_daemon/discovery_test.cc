// How a gateway finds control by settings that are read again.
#include <criterion/criterion.h>
#include <fcntl.h>

#include <functional>
#include <thread>

#include "src/daemon/gateway/gateway_process.h"
#include "src/protocol/internal_server.h"
#include "src/runtime/clock.h"
#include "tests/gateway_daemon/gateway_stand_ins.h"

using namespace graniteseam;
using graniteseam::test::FreePort;

namespace {

bool Within(std::chrono::seconds limit, const std::function<bool()>& condition) {
  const Instant end = runtime::BootTimeNow() + limit;
  while (!condition()) {
    if (runtime::BootTimeNow() >= end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

}  // namespace

// A gateway whose control processes were all gone looked at its settings after a signal alone.
Test(discovery, gateway_without_control_says_so_and_connects_by_settings_read_again,
     .timeout = 60) {
  runtime::MetricsRegistry metrics;
  runtime::EventLoop loop;
  protocol::InternalServer control(
      {{"127.0.0.1", 0}, "1", {}, 100, {}}, loop, metrics,
      {[](const auto&, const auto&) {}, [](const auto&) {}, [](auto, const auto&) {}, [](auto) {}});
  const auto listening = Attempt([&] { return control.Start(); });
  cr_assert(ErrorOf(listening) == nullptr);
  daemon::GatewaySettings settings;
  settings.id = "g-1";
  settings.zone = "z";
  settings.caller_address = {"127.0.0.1", FreePort()};
  settings.status_address = {"127.0.0.1", FreePort()};
  settings.control = {{"127.0.0.1", 1}};
  settings.stop_limit = std::chrono::milliseconds(100);
  daemon::GatewayProcess process(settings, {}, open("/dev/null", O_WRONLY));
  const auto started = Attempt([&] { return process.Start(); });
  cr_assert(ErrorOf(started) == nullptr);
  cr_assert(process.LacksControl());
  settings.control = {{"127.0.0.1", control.port()}};
  process.Reload(settings);
  cr_assert(Within(std::chrono::seconds(20), [&] { return !process.LacksControl(); }));
  process.Stop();
  loop.Stop();
}
