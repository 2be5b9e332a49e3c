#include "src/runtime/setting_value.h"

#include <algorithm>
#include <charconv>

namespace graniteseam::runtime {
namespace {

/// Reads the whole text as a number of type T.
template <class T>
bool ParseNumeric(const std::string& text, T& value) {
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  return error == std::errc() && end == last;
}

bool ParseSwitch(const std::string& text, bool& value) {
  value = text.empty() || text == "true";
  return value || text == "false";
}

TextList SplitAtCommas(const std::string& text) {
  TextList parts;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t comma = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, comma - begin));
    begin = comma + 1;
  }
  return parts;
}

bool ParseTable(const std::string& text, TextTable& table) {
  for (const std::string& part : SplitAtCommas(text)) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) return false;
    table[part.substr(0, equals)] = part.substr(equals + 1);
  }
  return true;
}

/// Fills the member of `value` that its form names.
bool ParseInto(SettingValue& value, const std::string& text) {
  switch (*value.form) {
    case SettingForm::kSwitch:
      return ParseSwitch(text, value.enabled);
    case SettingForm::kInteger:
      return ParseNumeric(text, value.integer);
    case SettingForm::kNumber:
      return ParseNumeric(text, value.number);
    case SettingForm::kText:
      value.text = text;
      return true;
    case SettingForm::kTextList:
      value.texts = SplitAtCommas(text);
      return true;
    case SettingForm::kTextTable:
      return ParseTable(text, value.table);
  }
  return false;
}

}  // namespace

std::string_view FormName(SettingForm form) {
  switch (form) {
    case SettingForm::kSwitch:
      return "true or false";
    case SettingForm::kInteger:
      return "an integer";
    case SettingForm::kNumber:
      return "a number";
    case SettingForm::kText:
      return "a text";
    case SettingForm::kTextList:
      return "a list of texts";
    case SettingForm::kTextTable:
      return "a table of texts";
  }
  return "a value";
}

Result<SettingValue> ParseFlagText(SettingForm form, const std::string& text) {
  SettingValue value;
  value.form = form;
  if (ParseInto(value, text)) return value;
  const std::string name(FormName(form));
  return Fail(ErrorKind::kInvalidArgument, "\"" + text + "\" is not " + name + ".",
              "Write " + name + ".");
}

bool HasForm(const SettingValue& value, SettingForm form) {
  if (value.form == form) return true;
  return form == SettingForm::kNumber && value.form == SettingForm::kInteger;
}

double NumberOf(const SettingValue& value) {
  return value.form == SettingForm::kInteger ? static_cast<double>(value.integer) : value.number;
}

}  // namespace graniteseam::runtime
