#include "src/daemon/gateway/gateway_settings.h"

#include <criterion/criterion.h>

#include <sstream>

#include "src/event_http/byte_account.h"

using namespace graniteseam;
using namespace graniteseam::daemon;

namespace {

/// The keys at fault when a gateway is given these flags besides the required ones.
std::vector<std::string> Faults(const std::vector<std::string>& flags) {
  GatewaySettings settings;
  runtime::SettingsReader reader("gateway", "Test.");
  DeclareGatewaySettings(reader, settings);
  std::vector<std::string> arguments = {"gateway",
                                        "--id=g",
                                        "--zone=z",
                                        "--caller-address=127.0.0.1:1",
                                        "--status-address=127.0.0.1:2",
                                        "--control=127.0.0.1:3"};
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

}  // namespace

// Anybody who reaches the port of coordinated admission could take the slots of all servers.
Test(gateway_settings, coordination_beyond_loopback_needs_a_secret_or_a_trusted_network) {
  cr_assert(Faults({}).empty());
  cr_assert(Faults({"--coordination-address=127.0.0.1:4"}).empty());
  const std::vector<std::string> at_fault = {"internal_secret_file"};
  cr_assert(Faults({"--coordination-address=10.0.0.1:4"}) == at_fault);
  cr_assert(Faults({"--coordination-address=10.0.0.1:4", "--trusted-network"}).empty());
}

// One body of the largest size that a configuration may allow was refused on a small machine.
Test(gateway_settings, largest_body_fits_beside_the_room_for_small_ones) {
  constexpr std::size_t kLargestBody = std::size_t{64} << 20;
  GatewaySettings settings;
  for (const double memory_mb : {0.0, 120.0, 160.0, 260.0}) {
    settings.memory_mb = memory_mb;
    event_http::ByteAccount account(HeldBytesMaximum(settings));
    event_http::ByteCharge body(account);
    cr_expect(body.Set(kLargestBody, event_http::ChargeSize::kLarge), "%f MB", memory_mb);
  }
}
