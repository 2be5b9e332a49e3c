#include <ostream>

#include "graniteseam/bundle/signature.h"
#include "src/daemon/operator_cli/command.h"
#include "src/daemon/operator_cli/files.h"
#include "src/daemon/operator_cli/json_output.h"

namespace graniteseam::operator_cli {

Result<void> KeyGenerate(const CommandContext& context) {
  const std::string& path = context.options.key_file;
  if (path.empty()) {
    return Fail(ErrorKind::kInvalidArgument, "The private key needs a file.",
                "Give --key-file FILE; the file must not exist yet.");
  }
  BOOST_LEAF_AUTO(keys, bundle::GenerateKeyPair());
  BOOST_LEAF_CHECK(WriteSecretFile(path, keys.private_key_base64 + "\n"));
  if (context.options.json) {
    PrintJson(context.out, KeyAnswer{keys.public_key_base64});
  } else {
    context.out << keys.public_key_base64 << "\n";
  }
  return {};
}

}  // namespace graniteseam::operator_cli
