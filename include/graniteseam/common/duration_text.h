/// @file
/// Durations as numbers and text for people.
#pragma once

#include <chrono>
#include <string>

#include "graniteseam/common/time.h"

namespace graniteseam {

inline double ToSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

/// Whole milliseconds with their unit, for log lines.
inline std::string InMs(Duration span) { return std::to_string(span.count() / 1000) + " ms"; }

}  // namespace graniteseam
