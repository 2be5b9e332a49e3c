/// @file
/// Settings of a program: keys of a TOML file, each with a flag of the same name that overrides it.
/// All faults are reported at once, each with its place, key and remedy.
///
///     SettingsReader reader("graniteseam-router", "Routes requests to the servers that own
///     keys."); reader.AddText("id", "This router's id.", options.id, SettingsReader::kRequired);
///     reader.AddAddress("http_address", "Address for callers.", options.http_address);
///     if (const std::optional<int> exit_code = reader.Read(argc, argv)) return *exit_code;
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "src/runtime/log.h"
#include "src/runtime/setting_value.h"
#include "src/runtime/socket_address.h"

namespace graniteseam::runtime {

/// Exit code of every program whose settings or flags are wrong.
inline constexpr int kExitInvalidSettings = 2;

/// One thing wrong with the settings.
struct SettingFault {
  std::string place;  ///< "file:line", or "flag" for one given on the command line.
  std::string key;    ///< As written in the file; empty for a fault of the whole.
  std::string message;
  std::string remedy;

  bool operator==(const SettingFault&) const = default;
};

/// Returns "place: key: message Remedy: remedy".
std::string ToString(const SettingFault& fault);

/// Declares a program's settings, then reads them into the variables they were declared with.
/// Defaults are what the variables hold at declaration. Not thread safe; use once.
class SettingsReader {
 public:
  enum Presence { kOptional, kRequired };
  /// Looks at the assigned variables and reports what does not fit together.
  using Check = std::function<void(std::vector<SettingFault>&)>;

  /// @param summary one sentence on what the program does, for --help.
  SettingsReader(std::string program, std::string summary);

  void AddSwitch(std::string key, std::string help, bool& target);
  void AddInteger(std::string key, std::string help, std::int64_t& target, std::int64_t minimum,
                  std::int64_t maximum, Presence presence = kOptional);
  void AddNumber(std::string key, std::string help, double& target, double minimum, double maximum);
  /// A length of time in whole milliseconds; by custom the key ends in "_ms".
  void AddMilliseconds(std::string key, std::string help, Duration& target, Duration minimum,
                       Duration maximum);
  void AddText(std::string key, std::string help, std::string& target,
               Presence presence = kOptional);
  /// One of `names`; `target` is set to its position.
  void AddChoice(std::string key, std::string help, std::size_t& target,
                 std::span<const std::string_view> names);
  void AddAddress(std::string key, std::string help, SocketAddress& target,
                  Presence presence = kOptional);
  void AddAddressList(std::string key, std::string help, std::vector<SocketAddress>& target,
                      Presence presence = kOptional);
  void AddTextList(std::string key, std::string help, TextList& target,
                   Presence presence = kOptional);
  void AddTextTable(std::string key, std::string help, TextTable& target);
  /// The keys `log_format` and `log_level`; applied by Read().
  void AddLogSettings();
  /// Runs after all values were taken, and only when none had a fault.
  void AddCheck(Check check);
  /// Takes words that are no flags, for example a subcommand; without this they are faults.
  void AllowArguments(std::string synopsis);

  /// Reads file and flags; prints help, version or all faults.
  /// @return nullopt when the program shall run, otherwise its exit code.
  std::optional<int> Read(int argc, char** argv);
  std::optional<int> Read(int argc, char** argv, std::ostream& out, std::ostream& errors);

  /// What was wrong at the last Read().
  const std::vector<SettingFault>& faults() const { return faults_; }
  const std::vector<std::string>& arguments() const { return arguments_; }
  /// The settings file that the last Read() was given; empty for none.
  const std::string& settings_file() const { return settings_file_; }

 private:
  struct Setting {
    std::string key;
    std::string help;
    SettingForm form = SettingForm::kText;
    Presence presence = kOptional;
    std::string default_text;
    std::function<Result<void>(const SettingValue&)> assign;
    bool given = false;
  };
  struct FlagValue {
    Setting* setting = nullptr;
    std::string text;
  };
  /// What the command line asked for besides settings.
  struct CommandLine {
    bool help = false;
    bool version = false;
    bool check_settings = false;
    std::string settings_file;
    std::vector<FlagValue> flags;
  };

  void Add(Setting setting);
  CommandLine ReadCommandLine(int argc, char** argv);
  void TakeOption(int option, char** argv, CommandLine& command_line);
  void TakeFile(const std::string& path);
  void TakeFlag(const FlagValue& flag);
  void Assign(Setting& setting, const SettingValue& value, const std::string& place);
  void CheckPresence();
  Setting* Find(std::string_view key);
  void ApplyLogSettings() const;
  std::string HelpText() const;

  std::string program_;
  std::string summary_;
  std::string synopsis_;
  std::vector<Setting> settings_;
  std::vector<Check> checks_;
  std::vector<SettingFault> faults_;
  std::vector<std::string> arguments_;
  std::string settings_file_;
  std::size_t log_format_ = 0;
  std::size_t log_level_ = static_cast<std::size_t>(LogLevel::kInfo);
};

}  // namespace graniteseam::runtime
