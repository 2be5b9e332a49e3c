#include "src/daemon/operator_cli/bundle_reference.h"

#include <algorithm>

#include "src/daemon/operator_cli/control_calls.h"
#include "src/daemon/operator_cli/files.h"

namespace graniteseam::operator_cli {

Result<LocalBundle> ReadBundleFile(const CommandContext& context, const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  BOOST_LEAF_AUTO(bundle, bundle::ParseBundle(text, path));
  const std::string digest = bundle::Digest(bundle);
  if (!context.options.digest.empty() && context.options.digest != digest) {
    return Fail(ErrorKind::kInvalidArgument,
                path + " has digest " + digest + ", not that of --digest.",
                "Check that it is the file you mean.");
  }
  return LocalBundle{bundle, digest, text};
}

bool IsVersion(const std::string& argument) {
  return std::all_of(argument.begin(), argument.end(), [](char c) { return c >= '0' && c <= '9'; });
}

Result<BundleReference> ResolveReference(const CommandContext& context,
                                         const std::string& argument) {
  if (IsVersion(argument)) {
    BOOST_LEAF_AUTO(version, ParseNumber(argument, "version"));
    return BundleReference{{version}, context.options.digest};
  }
  BOOST_LEAF_AUTO(local, ReadBundleFile(context, argument));
  return BundleReference{local.bundle.version, local.digest};
}

Result<bundle::BundleRecord> FindRecord(const control::BundlesView& view, BundleVersion version) {
  const auto found =
      std::find_if(view.bundles.begin(), view.bundles.end(),
                   [&](const bundle::BundleRecord& record) { return record.version == version; });
  if (found != view.bundles.end()) return *found;
  return Fail(ErrorKind::kNotFound,
              "Control keeps no version " + std::to_string(version.value) + ".",
              "See `graniteseamctl bundle status` for the versions it keeps.");
}

}  // namespace graniteseam::operator_cli
