#include <criterion/criterion.h>

#include <sstream>
#include <string>
#include <vector>

#include "src/daemon/control/control_settings.h"

namespace program = graniteseam::daemon;
namespace runtime = graniteseam::runtime;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Reading {
  std::vector<runtime::SettingFault> faults;
  graniteseam::Duration replace_after{};
};

Reading ReadWith(const std::vector<std::string>& flags) {
  program::ControlSettings settings;
  runtime::SettingsReader reader("graniteseam-control", "Test.");
  program::DeclareControlSettings(reader, settings);
  std::vector<std::string> arguments = {"graniteseam-control",
                                        "--id=1",
                                        "--zone=z",
                                        "--data-folder=/nonexistent",
                                        "--peer-address=127.0.0.1:1",
                                        "--http-address=127.0.0.1:2",
                                        "--self-repair"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  std::vector<char*> pointers;
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  std::ostringstream out;
  reader.Read(static_cast<int>(arguments.size()), pointers.data(), out, out);
  return {reader.faults(), settings.node.membership.replace_after};
}

}  // namespace

// Guards against voters that are replaced later than the next machines may be lost.
Test(replacement_time, silent_voters_are_replaced_within_a_third_of_it) {
  const Reading unset = ReadWith({});
  cr_assert(unset.faults.empty() && unset.replace_after == seconds(6));
  const Reading set = ReadWith({"--replacement-time-ms=6000"});
  cr_assert(set.faults.empty() && set.replace_after == seconds(2));
}

// Guards against control processes that do not start where machines are replaced in less time than
// a voter's loss takes to be told from a delay.
Test(replacement_time, voters_are_not_replaced_while_they_count_as_reachable) {
  const Reading short_time = ReadWith({"--replacement-time-ms=1000"});
  cr_assert(short_time.faults.empty());
  cr_assert(short_time.replace_after == seconds(1));
  cr_assert(ReadWith({"--replacement-time-ms=3003"}).replace_after == milliseconds(1'001));
}

Test(replacement_time, voters_are_not_replaced_within_two_elections) {
  const Reading long_elections =
      ReadWith({"--replacement-time-ms=4000", "--election-timeout-maximum-ms=1100"});
  cr_assert(long_elections.faults.empty());
  cr_assert(long_elections.replace_after == milliseconds(2'200));
}
