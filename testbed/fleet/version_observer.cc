#include "testbed/fleet/version_observer.h"

#include "src/runtime/clock.h"

namespace graniteseam::testbed {

namespace {

constexpr auto kPeriod = std::chrono::milliseconds(250);

}  // namespace

VersionObserver::VersionObserver(const OperatorConsole& console, RecordFile& records)
    : console_(console), records_(records), thread_([this] { Run(); }) {}

VersionObserver::~VersionObserver() {
  stop_ = true;
  thread_.join();
}

void VersionObserver::Run() {
  while (!stop_) {
    const std::int64_t asked = ToMicros(runtime::BootTimeNow());
    const auto views = console_.BundlesFromEachLeader();
    const std::int64_t seen = ToMicros(runtime::BootTimeNow());
    for (const auto& view : views) {
      records_.Append(
          VersionRecord{VersionRecord::kInForceProcess, view.in_force.value, asked, seen, false});
      for (const auto& process : view.processes) {
        records_.Append(VersionRecord{process.process, process.version.value, asked, seen, false});
      }
    }
    std::this_thread::sleep_for(kPeriod);
  }
}

}  // namespace graniteseam::testbed
