/// @file
/// Whole small text files.
#pragma once

#include <string>

#include "graniteseam/common/error.h"

namespace graniteseam::testbed {

/// @return kStorageIo when the file can't be written.
Result<void> WriteTextFile(const std::string& path, const std::string& text);

/// @return kNotFound when the file can't be read.
Result<std::string> ReadTextFile(const std::string& path);

}  // namespace graniteseam::testbed
