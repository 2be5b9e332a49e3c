#include "src/protocol/internal_settings.h"

#include <algorithm>

#include "src/protocol/internal_tls.h"

namespace graniteseam::protocol {
namespace {

constexpr char kKey[] = "internal_secret_file";

bool OnlyLoopback(const platform::SocketAddress* own,
                  const std::vector<platform::SocketAddress>* peers) {
  if (own != nullptr && !platform::IsLoopback(*own)) return false;
  return peers == nullptr || std::all_of(peers->begin(), peers->end(), platform::IsLoopback);
}

}  // namespace

void AddInternalSecuritySettings(platform::SettingsReader& reader, InternalSecurity& security,
                                 const platform::SocketAddress* own,
                                 const std::vector<platform::SocketAddress>* peers) {
  reader.AddText(kKey,
                 "File with the secret that control processes and routers share, one a line; the "
                 "first dials, all are accepted.",
                 security.secret_file);
  reader.AddCheck([&security, own, peers](std::vector<platform::SettingFault>& faults) {
    if (security.secret_file.empty()) {
      if (OnlyLoopback(own, peers)) return;
      faults.push_back({"settings", kKey, "An internal address is not on loopback.",
                        "Set internal_secret_file, or use loopback addresses only."});
      return;
    }
    const auto keys = Attempt([&] { return ReadSecretFile(security.secret_file); });
    if (const Error* error = ErrorOf(keys)) {
      faults.push_back({"settings", kKey, error->message, error->remedy});
    }
  });
}

}  // namespace graniteseam::protocol
