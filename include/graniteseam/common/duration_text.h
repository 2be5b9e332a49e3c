/// @file
/// Conversion of durations to numbers and log text.
#pragma once

#include <chrono>
#include <string>

#include "graniteseam/common/time.h"

namespace graniteseam {

inline double ToSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

/// Formats a duration in whole milliseconds with the unit, for log lines.
inline std::string InMs(Duration span) { return std::to_string(span.count() / 1000) + " ms"; }

}  // namespace graniteseam
