/// @file
/// One line of an event log as JSON. Include it in .cc files only: nlohmann's header is heavy.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace graniteseam::operator_cli {

/// Reads the event in a line. What stands before the object, such as another program's time stamp,
/// is passed over.
/// @return a value that is no object when the line holds no event.
inline auto event_in(std::string const& line) -> nlohmann::json {
  auto const begin = line.find('{');
  if (begin == std::string::npos) return {};
  auto object = nlohmann::json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(),
                                      nullptr, /*allow_exceptions=*/false);
  if (!object.is_object() || !object.contains("event")) return {};
  return object;
}

}  // namespace graniteseam::operator_cli
