#include "tests/control/ranged_group.h"

#include <criterion/criterion.h>

#include <string>

namespace graniteseam::test {
namespace {

constexpr Duration kSecond{1'000'000};

}  // namespace

auto report_of(ControlHarness& harness, std::string_view name, bool draining)
    -> control::ReportInstance {
  traffic::InstanceReport report;
  report.id = {std::string(name)};
  report.service = kRanged;
  report.address = "10.0.0." + std::string(name.substr(2)) + ":80";
  report.sequence = ToMicros(harness.now());
  report.draining = draining;
  return {report};
}

auto is_accepted(control::OperatorAnswer const& answer) -> bool {
  return std::holds_alternative<control::Accepted>(answer) ||
         std::holds_alternative<control::KeyLeases>(answer);
}

auto report_instances(ControlHarness& harness) -> void {
  for (auto const* name : {"i-1", "i-2"}) {
    cr_assert(is_accepted(harness.Ask(report_of(harness, name, false))));
  }
}

auto start_ranges(ControlHarness& harness, traffic::LeaseForm form) -> void {
  cr_assert(harness.RunUntil([&] { return harness.Leader().has_value(); }, 5 * kSecond));
  control::ChangeConfiguration change;
  change.change.version = {1};
  change.change.whole = true;
  traffic::Service service;
  service.name = kRanged;
  service.keyed = true;
  service.lease_form = form;
  change.change.services = {service};
  cr_assert(is_accepted(harness.Ask(change)));
  report_instances(harness);
  harness.RunFor(3 * kSecond);
}

}  // namespace graniteseam::test
