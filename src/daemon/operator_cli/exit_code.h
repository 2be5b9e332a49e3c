/// @file
/// Exit codes of graniteseamctl. They are an interface: scripts branch on them.
#pragma once

#include <span>
#include <string_view>

#include "graniteseam/common/error.h"

namespace graniteseam::operator_cli {

enum class ExitCode {
  kDone = 0,
  kInternal = 1,
  kInvalidUse = 2,
  kInvalidBundle = 3,
  kVersionConflict = 4,
  kFailedPrecondition = 5,
  kNotAllowed = 6,
  kNotFound = 7,
  kUnavailable = 8,
  kOutcomeUnknown = 9,
  kTooLarge = 10,
  kControlTrouble = 11,
};

struct ExitCodeEntry {
  ExitCode code;
  std::string_view meaning;
};

/// All codes in ascending order, for the help text and the operators' page.
std::span<const ExitCodeEntry> ExitCodes();

/// The code with which a command that failed ends.
ExitCode ExitCodeOf(ErrorKind kind);

}  // namespace graniteseam::operator_cli
