/// @file
/// What a control process holds of its log when operators change a large configuration.
#include <criterion/criterion.h>

#include "tests/control/control_harness.h"

using namespace graniteseam;
using namespace graniteseam::test;

namespace {

constexpr std::size_t kMegabyte = 1UL << 20U;

/// Replaces the whole configuration by one of about `bytes`.
control::ChangeConfiguration Change(std::uint64_t version, std::size_t bytes) {
  constexpr std::size_t kRouteBytes = 64UL << 10U;
  control::ChangeConfiguration request;
  request.change.base = {version - 1};
  request.change.version = {version};
  request.change.whole = true;
  request.change.digest = "change-" + std::to_string(version);
  traffic::Service service;
  service.name = {"texts"};
  request.change.services = {service};
  for (std::size_t number = 0; number < bytes / kRouteBytes; ++number) {
    traffic::Route route;
    route.name = {"r-" + std::to_string(number)};
    route.path_prefix = "/" + std::to_string(number) + "/";
    route.timeout_ms = 1'000;
    route.split = {{{"texts"}, 1}};
    route.source = std::string(kRouteBytes, 'x');
    request.change.routes.push_back(std::move(route));
  }
  return request;
}

void ApplyChanges(ControlHarness& harness, std::uint64_t count, std::size_t bytes) {
  for (std::uint64_t version = 1; version <= count; ++version) {
    const auto answer = harness.Ask(Change(version, bytes));
    const auto* error = std::get_if<Error>(&answer);
    cr_assert_null(error, "%s", error != nullptr ? error->message.c_str() : "");
  }
}

std::size_t LogBytes(const Disk& disk) {
  std::size_t bytes = 0;
  for (const auto& entry : disk.entries) bytes += entry.payload.size();
  return bytes;
}

}  // namespace

// Snapshots were taken each 10,000 entries only, so that 180 changes of a large configuration left
// a log of 100 MB, and no process could read it at a start.
Test(log_size, log_is_compacted_by_bytes) {
  ControlHarness harness;
  ApplyChanges(harness, 30, kMegabyte);
  harness.RunFor(std::chrono::seconds(2));
  constexpr std::size_t kLogBytesMaximum = 12 * kMegabyte;
  for (std::size_t index = 0; index < 3; ++index) {
    cr_assert(harness.disk(index).snapshot.has_value());
    cr_expect_leq(LogBytes(harness.disk(index)), kLogBytesMaximum);
    cr_expect_leq(harness.node(index).consensus().log_bytes(), kLogBytesMaximum);
  }
}

// A snapshot as large as the log before it was written for each 8 MiB of the log.
Test(log_size, state_larger_than_the_bound_is_not_saved_more_often_than_it_changes) {
  ControlHarness harness;
  ApplyChanges(harness, 1, 12 * kMegabyte);
  harness.RunFor(std::chrono::seconds(2));
  const auto first = harness.disk(0).snapshot->last_index;
  control::ChangeConfiguration patch = Change(2, kMegabyte);
  patch.change.whole = false;
  for (std::uint64_t version = 2; version <= 11; ++version) {
    patch.change.base = {version - 1};
    patch.change.version = {version};
    patch.change.digest = "patch-" + std::to_string(version);
    cr_assert(std::holds_alternative<control::Accepted>(harness.Ask(patch)));
  }
  cr_expect(harness.disk(0).snapshot->last_index == first);
}

// Changes were appended without a bound while no quorum answered.
Test(log_size, changes_without_a_quorum_are_refused_beyond_a_bound) {
  ControlHarness harness;
  ApplyChanges(harness, 1, kMegabyte);
  const std::size_t leader = *harness.Leader();
  for (std::size_t index = 0; index < 3; ++index) {
    if (index != leader) harness.StopControl(index);
  }
  const Error* refused = nullptr;
  for (std::uint64_t number = 0; number < 30 && refused == nullptr; ++number) {
    auto change = Change(2, kMegabyte);
    change.change.digest = "racer-" + std::to_string(number);
    harness.Submit(leader, change);
    harness.RunFor(std::chrono::milliseconds(1));
    const auto* answer = harness.LastAnswer();
    if (answer != nullptr) refused = std::get_if<Error>(answer);
    cr_assert_leq(harness.node(leader).consensus().uncommitted_bytes(), 10 * kMegabyte);
  }
  cr_assert_not_null(refused);
  cr_expect(refused->kind == ErrorKind::kUnavailable);
  cr_expect(refused->message.find("wait for a quorum") != std::string::npos);
}

// A configuration that no control process can hold was taken, and ended them all.
Test(log_size, configuration_larger_than_the_limit_is_refused) {
  ControlHarness harness;
  ApplyChanges(harness, 1, 15 * kMegabyte);
  const auto answer = harness.Ask(Change(2, 17 * kMegabyte));
  const auto* error = std::get_if<Error>(&answer);
  cr_assert_not_null(error);
  cr_expect(error->kind == ErrorKind::kTooLarge);
  cr_expect(error->message.find("memory_mb") != std::string::npos);
  cr_expect_not(error->remedy.empty());
  cr_expect(std::holds_alternative<control::Accepted>(harness.Ask(Change(2, 15 * kMegabyte))));
}
