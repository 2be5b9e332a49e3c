#include "src/daemon/control/control_settings.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <sstream>

namespace program = graniteseam::daemon;
namespace runtime = graniteseam::runtime;
using graniteseam::Attempt;
using graniteseam::ErrorOf;

namespace {

/// The keys at fault when graniteseam-control is given these flags besides the required ones.
std::vector<std::string> Faults(std::vector<std::string> flags) {
  program::ControlSettings settings;
  runtime::SettingsReader reader("graniteseam-control", "Test.");
  program::DeclareControlSettings(reader, settings);
  std::vector<std::string> arguments = {"graniteseam-control", "--id=1", "--zone=z",
                                        "--data-folder=/nonexistent"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  std::vector<char*> pointers;
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  std::ostringstream out;
  reader.Read(static_cast<int>(arguments.size()), pointers.data(), out, out);
  std::vector<std::string> keys;
  for (const runtime::SettingFault& fault : reader.faults()) keys.push_back(fault.key);
  return keys;
}

std::vector<std::string> WithAddresses(std::vector<std::string> flags) {
  flags.insert(flags.end(), {"--peer-address=127.0.0.1:1", "--http-address=127.0.0.1:2"});
  return Faults(std::move(flags));
}

}  // namespace

Test(control_settings, reads_first_voters) {
  const auto read = Attempt([] { return program::ParseFirstVoter("2@istanbul-1@127.0.0.1:7"); });
  cr_assert(ErrorOf(read) == nullptr);
  const auto& member = std::get<graniteseam::consensus::Member>(read);
  cr_assert(member.id.value == 2 && member.zone.value == "istanbul-1");
  cr_assert(member.address == "127.0.0.1:7");
  for (const char* wrong : {"", "2", "2@z", "0@z@127.0.0.1:1", "x@z@127.0.0.1:1", "1@@127.0.0.1:1",
                            "1@z@localhost:1"}) {
    cr_assert(ErrorOf(Attempt([&] { return program::ParseFirstVoter(wrong); })) != nullptr,
              "took \"%s\"", wrong);
  }
}

Test(control_settings, plain_settings_on_loopback_are_in_order) {
  cr_assert(WithAddresses({}).empty());
  cr_assert(WithAddresses({"--initialise", "--bootstrap=1@z@127.0.0.1:1"}).empty());
  cr_assert(WithAddresses({"--metrics-address=10.0.0.1:3"}).empty());
}

Test(control_settings, voters_follow_from_the_losses_that_are_to_be_survived) {
  program::ControlSettings settings;
  cr_assert(settings.WantedVoters() == 3);
  settings.voters = 7;
  cr_assert(settings.WantedVoters() == 7);
  settings.losses_tolerated = 1;
  cr_assert(settings.WantedVoters() == 3);
  // With three voters, two disks that are lost at once take the quorum and what it acknowledged.
  settings.losses_tolerated = 2;
  cr_assert(settings.WantedVoters() == 5);
  cr_assert(WithAddresses({"--losses-tolerated=2"}).empty());
  cr_assert(WithAddresses({"--losses-tolerated=5"}) ==
            std::vector<std::string>({"losses_tolerated"}));
}

Test(control_settings, ports_beyond_loopback_need_protection) {
  const auto keys = Faults({"--peer-address=10.0.0.1:1", "--http-address=10.0.0.1:2"});
  cr_assert(keys == std::vector<std::string>({"internal_secret_file", "http_tls_certificate"}));
}

Test(control_settings, what_does_not_fit_together_is_refused) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"--initialise", "initialise"},
      {"--bootstrap=1@z", "bootstrap"},
      {"--operators=ana=short", "operators.ana"},
      {"--leader-lease-ms=250", "leader_lease_ms"},
      {"--election-timeout-maximum-ms=250", "election_timeout_maximum_ms"},
      {"--heartbeat-interval-ms=150", "heartbeat_interval_ms"},
      {"--metrics-address=somewhere", "metrics_address"},
      {"--server-tls-certificate=/nonexistent", "server_tls_ca"},
      {"--internal-secret-file=/nonexistent", "internal_secret_file"}};
  for (const auto& [flag, key] : cases) {
    cr_assert(WithAddresses({flag}) == std::vector<std::string>({key}), "%s", flag.c_str());
  }
}
