// The Add...() functions of SettingsReader: each checks and assigns values of one type.
#include <fmt/core.h>

#include <algorithm>
#include <utility>

#include "src/runtime/settings.h"

namespace graniteseam::runtime {
namespace {

std::string JoinNames(std::span<const std::string_view> names) {
  std::string joined;
  for (const std::string_view name : names) {
    if (!joined.empty()) joined += ", ";
    joined += name;
  }
  return joined;
}

template <class T>
Result<T> CheckRange(T value, T minimum, T maximum) {
  if (value >= minimum && value <= maximum) return value;
  return Fail(ErrorKind::kInvalidArgument, fmt::format("{} is out of range.", value),
              fmt::format("Write a value from {} to {}.", minimum, maximum));
}

}  // namespace

void SettingsReader::AddSwitch(std::string key, std::string help, bool& target) {
  auto assign = [&target](const SettingValue& value) -> Result<void> {
    target = value.enabled;
    return {};
  };
  Add({std::move(key), std::move(help), SettingForm::kSwitch, kOptional, target ? "true" : "false",
       assign});
}

void SettingsReader::AddInteger(std::string key, std::string help, std::int64_t& target,
                                std::int64_t minimum, std::int64_t maximum, Presence presence) {
  auto assign = [&target, minimum, maximum](const SettingValue& value) -> Result<void> {
    BOOST_LEAF_ASSIGN(target, CheckRange(value.integer, minimum, maximum));
    return {};
  };
  const std::string default_text = presence == kRequired ? "" : std::to_string(target);
  Add({std::move(key), std::move(help), SettingForm::kInteger, presence, default_text, assign});
}

void SettingsReader::AddNumber(std::string key, std::string help, double& target, double minimum,
                               double maximum) {
  auto assign = [&target, minimum, maximum](const SettingValue& value) -> Result<void> {
    BOOST_LEAF_ASSIGN(target, CheckRange(NumberOf(value), minimum, maximum));
    return {};
  };
  Add({std::move(key), std::move(help), SettingForm::kNumber, kOptional, fmt::format("{}", target),
       assign});
}

void SettingsReader::AddMilliseconds(std::string key, std::string help, Duration& target,
                                     Duration minimum, Duration maximum) {
  const auto to_ms = [](Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  };
  auto assign = [&target, low = to_ms(minimum),
                 high = to_ms(maximum)](const SettingValue& value) -> Result<void> {
    BOOST_LEAF_AUTO(milliseconds, CheckRange(value.integer, low, high));
    target = std::chrono::milliseconds(milliseconds);
    return {};
  };
  Add({std::move(key), std::move(help), SettingForm::kInteger, kOptional,
       std::to_string(to_ms(target)), assign});
}

void SettingsReader::AddText(std::string key, std::string help, std::string& target,
                             Presence presence) {
  auto assign = [&target, presence](const SettingValue& value) -> Result<void> {
    const std::string& text = value.text;
    if (presence == kRequired && text.empty()) {
      return Fail(ErrorKind::kInvalidArgument, "The value is empty.", "Write a value.");
    }
    target = text;
    return {};
  };
  Add({std::move(key), std::move(help), SettingForm::kText, presence, target, assign});
}

void SettingsReader::AddChoice(std::string key, std::string help, std::size_t& target,
                               std::span<const std::string_view> names) {
  auto assign = [&target, names](const SettingValue& value) -> Result<void> {
    const std::string& text = value.text;
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
      return Fail(ErrorKind::kInvalidArgument, "\"" + text + "\" is no choice.",
                  "Write one of: " + JoinNames(names) + ".");
    }
    target = static_cast<std::size_t>(found - names.begin());
    return {};
  };
  Add({std::move(key), std::move(help) + " One of: " + JoinNames(names) + ".", SettingForm::kText,
       kOptional, std::string(names[target]), assign});
}

void SettingsReader::AddAddress(std::string key, std::string help, SocketAddress& target,
                                Presence presence) {
  auto assign = [&target](const SettingValue& value) -> Result<void> {
    BOOST_LEAF_ASSIGN(target, ParseSocketAddress(value.text));
    return {};
  };
  const std::string default_text = target.ip.empty() ? "" : ToString(target);
  Add({std::move(key), std::move(help), SettingForm::kText, presence, default_text, assign});
}

void SettingsReader::AddAddressList(std::string key, std::string help,
                                    std::vector<SocketAddress>& target, Presence presence) {
  auto assign = [&target, presence](const SettingValue& value) -> Result<void> {
    std::vector<SocketAddress> addresses;
    for (const std::string& text : value.texts) {
      BOOST_LEAF_AUTO(address, ParseSocketAddress(text));
      addresses.push_back(address);
    }
    if (presence == kRequired && addresses.empty()) {
      return Fail(ErrorKind::kInvalidArgument, "The list is empty.", "Name one address or more.");
    }
    target = std::move(addresses);
    return {};
  };
  Add({std::move(key), std::move(help), SettingForm::kTextList, presence, "", assign});
}

void SettingsReader::AddTextList(std::string key, std::string help, TextList& target,
                                 Presence presence) {
  auto assign = [&target](const SettingValue& value) -> Result<void> {
    target = value.texts;
    return {};
  };
  Add({std::move(key), std::move(help), SettingForm::kTextList, presence, "", assign});
}

void SettingsReader::AddTextTable(std::string key, std::string help, TextTable& target) {
  auto assign = [&target](const SettingValue& value) -> Result<void> {
    target = value.table;
    return {};
  };
  Add({std::move(key), std::move(help), SettingForm::kTextTable, kOptional, "", assign});
}

void SettingsReader::AddLogSettings() {
  AddChoice("log_format", "Form of the log lines.", log_format_, kLogFormatNames);
  AddChoice("log_level", "Lowest level that is logged.", log_level_, kLogLevelNames);
}

}  // namespace graniteseam::runtime
