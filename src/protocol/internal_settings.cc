#include "src/protocol/internal_settings.h"

#include <algorithm>

#include "src/protocol/internal_tls.h"

namespace graniteseam::protocol {
namespace {

constexpr char kKey[] = "internal_secret_file";

bool OnlyLoopback(const runtime::SocketAddress* own,
                  const std::vector<runtime::SocketAddress>* peers) {
  if (own != nullptr && !own->ip.empty() && !runtime::IsLoopback(*own)) return false;
  return peers == nullptr || std::all_of(peers->begin(), peers->end(), runtime::IsLoopback);
}

}  // namespace

void AddInternalSecuritySettings(runtime::SettingsReader& reader, InternalSecurity& security,
                                 const runtime::SocketAddress* own,
                                 const std::vector<runtime::SocketAddress>* peers) {
  reader.AddText(kKey,
                 "File with the secret that control processes and routers share, one a line; the "
                 "first dials, all are accepted.",
                 security.secret_file);
  reader.AddSwitch("trusted_network",
                   "Nobody but this system reaches its internal addresses: they may do without a "
                   "secret beyond loopback.",
                   security.trusted_network);
  reader.AddCheck([&security, own, peers](std::vector<runtime::SettingFault>& faults) {
    if (security.secret_file.empty()) {
      if (security.trusted_network || OnlyLoopback(own, peers)) return;
      faults.push_back(
          {"settings", kKey, "An internal address is not a loopback address and no secret is set.",
           "Set internal_secret_file, or trusted_network if no other process can reach it."});
      return;
    }
    const auto keys = Attempt([&] { return ReadSecretFile(security.secret_file); });
    if (const Error* error = ErrorOf(keys)) {
      faults.push_back({"settings", kKey, error->message, error->remedy});
    }
  });
}

}  // namespace graniteseam::protocol
