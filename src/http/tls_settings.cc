// The settings of TLS; see tls.h.
#include "src/http/tls.h"

namespace graniteseam::http {
namespace {

using runtime::SettingFault;

void CheckLoads(TlsContext::Side side, const TlsFiles& files, const std::string& key,
                std::vector<SettingFault>& faults) {
  const auto loaded = Attempt([&] { return TlsContext::Load(side, files); });
  if (const Error* error = ErrorOf(loaded)) {
    faults.push_back({"settings", key, error->message, error->remedy});
  }
}

void CheckServer(const TlsFiles& files, const runtime::SocketAddress& own,
                 std::vector<SettingFault>& faults) {
  if (!files.Empty()) {
    return CheckLoads(TlsContext::Side::kServer, files, "http_tls_certificate", faults);
  }
  if (runtime::IsLoopback(own)) return;
  faults.push_back({"settings", "http_tls_certificate",
                    "Plain HTTP would be served beyond this machine.",
                    "Set http_tls_certificate and http_tls_key, or use a loopback address."});
}

}  // namespace

void AddServerTlsSettings(runtime::SettingsReader& reader, TlsFiles& files,
                          const runtime::SocketAddress* own) {
  reader.AddText("http_tls_certificate", "Certificate (PEM, with its chain) of the HTTP port.",
                 files.certificate);
  reader.AddText("http_tls_key", "Private key (PEM) of that certificate.", files.key);
  reader.AddText("http_tls_client_ca",
                 "Authorities (PEM) of callers; when set, callers need a certificate.",
                 files.authorities);
  reader.AddCheck(
      [&files, own](std::vector<SettingFault>& faults) { CheckServer(files, *own, faults); });
}

void AddUpstreamTlsSettings(runtime::SettingsReader& reader, TlsFiles& files) {
  reader.AddText("server_tls_ca",
                 "Authorities (PEM) of the users' servers; needed for servers beyond loopback.",
                 files.authorities);
  reader.AddText("server_tls_certificate", "Certificate (PEM) shown to the users' servers.",
                 files.certificate);
  reader.AddText("server_tls_key", "Private key (PEM) of that certificate.", files.key);
  reader.AddCheck([&files](std::vector<SettingFault>& faults) {
    if (!files.Empty()) CheckLoads(TlsContext::Side::kClient, files, "server_tls_ca", faults);
  });
}

}  // namespace graniteseam::http
