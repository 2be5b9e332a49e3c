/// @file
/// Values of settings as a file or a flag gives them, before they are checked and assigned.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/error.h"

namespace graniteseam::runtime {

/// The form in which a setting is written.
enum class SettingForm { kSwitch, kInteger, kNumber, kText, kTextList, kTextTable };

using TextList = std::vector<std::string>;
using TextTable = std::map<std::string, std::string>;

/// One value; only the member that `form` names is meaningful. A plain struct: g++ 12 warns falsely
/// about moves of a variant with these members.
struct SettingValue {
  std::optional<SettingForm> form;  ///< Absent: a form that no setting takes, for example a date.
  bool enabled = false;
  std::int64_t integer = 0;
  double number = 0;
  std::string text;
  TextList texts;
  TextTable table;
};

/// How messages call a form, for example "a list of texts".
std::string_view FormName(SettingForm form);

/// Reads a flag's text as a value of the form. Lists are separated by commas; a table is written
/// as a list of name=value.
/// @return kInvalidArgument when the text has another form.
Result<SettingValue> ParseFlagText(SettingForm form, const std::string& text);

/// Whether the value has the form. An integer also passes as a number.
bool HasForm(const SettingValue& value, SettingForm form);

/// The value of a setting of form kNumber.
double NumberOf(const SettingValue& value);

/// One key of a settings file.
struct FileSetting {
  std::string key;
  std::size_t line = 0;  ///< Counted from 1.
  SettingValue value;
};

/// A settings file longer than this is refused.
inline constexpr std::size_t kSettingsBytesMaximum = std::size_t{1} << 20;

/// Reads a file, at most one byte more than kSettingsBytesMaximum.
/// @return nullopt when it can not be read.
std::optional<std::string> ReadWholeFile(const std::string& path);

/// Reads the top-level keys of a TOML file.
/// @return kInvalidSettings when the file can not be read or is no TOML; the message names the
/// line.
Result<std::vector<FileSetting>> ReadSettingsFile(const std::string& path);

}  // namespace graniteseam::runtime
