#include "src/daemon/operator_cli/options.h"

namespace graniteseam::operator_cli {

void DeclareOptions(runtime::SettingsReader& reader, Options& options) {
  reader.AddAddressList("control", "Operator addresses of control processes, in any order.",
                        options.control);
  reader.AddText("credential_file", "File whose first line is your credential.",
                 options.credential_file);
  reader.AddText("tls_ca",
                 "Authorities (PEM) of control's certificates; needed beyond this machine.",
                 options.tls_ca);
  reader.AddText("reviewer", "Your name as reviewer, for bundle sign.", options.reviewer);
  reader.AddText("key_file", "File of your private key, for bundle sign and key generate.",
                 options.key_file);
  reader.AddText("digest", "Digest that you mean, where a bundle is named by its version.",
                 options.digest);
  reader.AddSwitch("json", "Print JSON in place of tables; errors too, on standard error.",
                   options.json);
  reader.AddSwitch("wait", "After bundle roll, wait until every process shows the version.",
                   options.wait);
  constexpr Duration kMinimum{100'000};
  constexpr Duration kMaximum{600'000'000};
  reader.AddMilliseconds("time_limit_ms", "Longest time that the command may take.",
                         options.time_limit, kMinimum, kMaximum);
}

}  // namespace graniteseam::operator_cli
