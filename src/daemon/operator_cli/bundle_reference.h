/// @file
/// How commands name a bundle: by its file, or by its version at the control group.
#pragma once

#include <string>

#include "graniteseam/bundle/bundle.h"
#include "graniteseam/common/error.h"
#include "src/daemon/operator_cli/command.h"

namespace graniteseam::operator_cli {

/// A bundle read from a file.
struct LocalBundle {
  bundle::Bundle bundle;
  std::string digest;
  std::string source_text;
};

/// Reads and checks a bundle file; the digest must be --digest, if that is given.
Result<LocalBundle> ReadBundleFile(const CommandContext& context, const std::string& path);

struct BundleReference {
  BundleVersion version;
  std::string digest;  ///< Empty when only the version was given.
};

/// Whether an argument is a version: all digits. Write ./7 for a file of that name.
bool IsVersion(const std::string& argument);

/// Reads FILE or VERSION.
Result<BundleReference> ResolveReference(const CommandContext& context,
                                         const std::string& argument);

/// Fetches a version's record from control.
/// @return kNotFound when control does not keep the version.
Result<bundle::BundleRecord> FindRecord(const control::BundlesView& view, BundleVersion version);

}  // namespace graniteseam::operator_cli
