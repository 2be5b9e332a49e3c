// The only file of this component that sees toml++.
#include <toml++/toml.h>

#include <fstream>
#include <iterator>
#include <optional>

#include "src/runtime/setting_value.h"

namespace graniteseam::runtime {
namespace {

/// Leaves the form absent when an element is no text.
void ConvertArray(const toml::array& array, SettingValue& value) {
  for (const toml::node& node : array) {
    const auto text = node.value_exact<std::string>();
    if (!text) return;
    value.texts.push_back(*text);
  }
  value.form = SettingForm::kTextList;
}

/// Leaves the form absent when a value is no text.
void ConvertTable(const toml::table& table, SettingValue& value) {
  for (const auto& [key, node] : table) {
    const auto text = node.value_exact<std::string>();
    if (!text) return;
    value.table[std::string(key.str())] = *text;
  }
  value.form = SettingForm::kTextTable;
}

SettingValue ConvertNode(const toml::node& node) {
  SettingValue value;
  if (const auto* enabled = node.as_boolean()) {
    value.form = SettingForm::kSwitch;
    value.enabled = enabled->get();
  } else if (const auto* integer = node.as_integer()) {
    value.form = SettingForm::kInteger;
    value.integer = integer->get();
  } else if (const auto* number = node.as_floating_point()) {
    value.form = SettingForm::kNumber;
    value.number = number->get();
  } else if (const auto* text = node.as_string()) {
    value.form = SettingForm::kText;
    value.text = text->get();
  } else if (const auto* array = node.as_array()) {
    ConvertArray(*array, value);
  } else if (const auto* table = node.as_table()) {
    ConvertTable(*table, value);
  }
  return value;
}

Result<toml::table> ParseToml(const std::string& text, const std::string& path) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& fault) {
    return Fail(ErrorKind::kInvalidSettings,
                path + ":" + std::to_string(fault.source().begin.line) + ": " +
                    std::string(fault.description()),
                "Correct the TOML syntax.");
  }
}

}  // namespace

std::optional<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::string text(kSettingsBytesMaximum + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) return std::nullopt;
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

Result<std::vector<FileSetting>> ReadSettingsFile(const std::string& path) {
  const std::optional<std::string> text = ReadWholeFile(path);
  if (!text) {
    return Fail(ErrorKind::kInvalidSettings, path + ": The file can not be read.",
                "Name a readable TOML file after --settings.");
  }
  if (text->size() > kSettingsBytesMaximum) {
    return Fail(ErrorKind::kInvalidSettings, path + ": The file is longer than 1 MiB.",
                "Name a settings file after --settings.");
  }
  BOOST_LEAF_AUTO(table, ParseToml(*text, path));
  std::vector<FileSetting> settings;
  for (const auto& [key, node] : table) {
    settings.push_back({std::string(key.str()), key.source().begin.line, ConvertNode(node)});
  }
  return settings;
}

}  // namespace graniteseam::runtime
