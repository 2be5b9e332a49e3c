/// @file
/// Fills the gaps of a settings template as docs/design/platform.md describes: {{a.b}}, {{a.0}},
/// {{#a}} .. {{.}} .. {{,}} .. {{/a}} for lists, and {{#a}} .. {{a}} .. {{/a}} for a part that is
/// left out where the field is missing.
#pragma once

#include <string>

namespace graniteseam::testbed {

/// @param fields_json one JSON object.
/// @return the filled text; a gap whose field is missing yields nothing.
std::string FillTemplate(const std::string& text, const std::string& fields_json);

}  // namespace graniteseam::testbed
