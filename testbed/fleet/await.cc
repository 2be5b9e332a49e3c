#include "testbed/fleet/await.h"

#include <fmt/format.h>

#include <thread>

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

constexpr auto kPeriod = std::chrono::milliseconds(50);

}  // namespace

Result<void> Await(const std::string& what, Duration limit,
                   const std::function<Missing()>& condition) {
  const Instant end = runtime::BootTimeNow() + limit;
  while (true) {
    const Missing missing = condition();
    if (missing.empty()) return {};
    if (runtime::BootTimeNow() >= end) {
      return Fail(ErrorKind::kDeadlineExceeded,
                  fmt::format("Waited in vain for {}: {}.", what, missing),
                  "Look at the logs in the fleet's folder.");
    }
    std::this_thread::sleep_for(kPeriod);
  }
}

}  // namespace graniteseam::testbed
