#include "testbed/registered/template.h"

#include <nlohmann/json.hpp>

namespace graniteseam::testbed {

namespace {

using nlohmann::json;

const json* Find(const json& fields, const std::string& path) {
  const json* at = &fields;
  std::size_t start = 0;
  while (start <= path.size()) {
    const std::size_t dot = std::min(path.find('.', start), path.size());
    const std::string name = path.substr(start, dot - start);
    if (at->is_array()) {
      at = &at->at(std::stoul(name));
    } else if (at->contains(name)) {
      at = &at->at(name);
    } else {
      return nullptr;
    }
    start = dot + 1;
  }
  return at;
}

std::string TextOf(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

auto FillGap(std::string& text, std::string const& gap, std::string const& by) -> void {
  std::size_t const at = text.find(gap);
  if (at != std::string::npos) text.replace(at, gap.size(), by);
}

std::string FillList(const std::string& inner, const json& list) {
  std::string text;
  for (std::size_t index = 0; index < list.size(); ++index) {
    std::string once = inner;
    FillGap(once, "{{.}}", TextOf(list[index]));
    FillGap(once, "{{,}}", index + 1 < list.size() ? "," : "");
    text += once;
  }
  return text;
}

}  // namespace

std::string FillTemplate(const std::string& text, const std::string& fields_json) {
  const json fields = json::parse(fields_json);
  std::string filled;
  std::size_t position = 0;
  for (;;) {
    const std::size_t open = text.find("{{", position);
    if (open == std::string::npos) return filled + text.substr(position);
    filled += text.substr(position, open - position);
    const std::size_t close = text.find("}}", open);
    const std::string gap = text.substr(open + 2, close - open - 2);
    position = close + 2;
    if (gap.front() != '#') {
      const json* value = Find(fields, gap);
      if (value != nullptr) filled += TextOf(*value);
      continue;
    }
    const std::string end = "{{/" + gap.substr(1) + "}}";
    const std::size_t finish = text.find(end, position);
    const json* value = Find(fields, gap.substr(1));
    std::string inner = text.substr(position, finish - position);
    if (value != nullptr && value->is_array()) {
      filled += FillList(inner, *value);
    } else if (value != nullptr) {
      FillGap(inner, "{{.}}", TextOf(*value));
      filled += FillTemplate(inner, fields_json);
    }
    position = finish + end.size();
  }
}

}  // namespace graniteseam::testbed
