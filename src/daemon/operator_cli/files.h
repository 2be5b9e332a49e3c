/// @file
/// Reading and writing of the small files that operators name.
#pragma once

#include <string>

#include "graniteseam/common/error.h"

namespace graniteseam::operator_cli {

/// Reads a whole file.
/// @return kInvalidArgument when it can't be read, kTooLarge above 2 MiB.
Result<std::string> ReadFile(const std::string& path);

/// Returns a file's first line without spaces around it; for credentials and keys.
Result<std::string> ReadFirstLine(const std::string& path);

/// Creates a file that only its owner may read, and syncs it.
/// @return kFailedPrecondition when the file exists: a key is never overwritten.
Result<void> WriteSecretFile(const std::string& path, const std::string& text);

}  // namespace graniteseam::operator_cli
