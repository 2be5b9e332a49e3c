#include "src/runtime/settings.h"

#include <getopt.h>

#include <algorithm>
#include <iostream>
#include <utility>

#include "graniteseam/version.h"

namespace graniteseam::runtime {
namespace {

constexpr char kFlagPlace[] = "flag";
constexpr int kFirstSettingOption = 1000;
constexpr int kSettingsOption = 1;
constexpr int kCheckOption = 2;
constexpr int kHelpOption = 3;
constexpr int kVersionOption = 4;

std::string FlagName(std::string key) {
  std::replace(key.begin(), key.end(), '_', '-');
  return key;
}

std::vector<option> ReservedOptions() {
  return {{"settings", required_argument, nullptr, kSettingsOption},
          {"check-settings", no_argument, nullptr, kCheckOption},
          {"help", no_argument, nullptr, kHelpOption},
          {"version", no_argument, nullptr, kVersionOption}};
}

}  // namespace

std::string ToString(const SettingFault& fault) {
  std::string text = fault.place + ": ";
  if (!fault.key.empty()) text += fault.key + ": ";
  return text + fault.message + " Remedy: " + fault.remedy;
}

SettingsReader::SettingsReader(std::string program, std::string summary)
    : program_(std::move(program)), summary_(std::move(summary)) {}

void SettingsReader::AllowArguments(std::string synopsis) { synopsis_ = std::move(synopsis); }

void SettingsReader::AddCheck(Check check) { checks_.push_back(std::move(check)); }

void SettingsReader::Add(Setting setting) { settings_.push_back(std::move(setting)); }

std::optional<int> SettingsReader::Read(int argc, char** argv) {
  return Read(argc, argv, std::cout, std::cerr);
}

std::optional<int> SettingsReader::Read(int argc, char** argv, std::ostream& out,
                                        std::ostream& errors) {
  faults_.clear();
  const CommandLine command_line = ReadCommandLine(argc, argv);
  settings_file_ = command_line.settings_file;
  if (command_line.help) {
    out << HelpText();
    return 0;
  }
  if (command_line.version) {
    out << program_ << ' ' << kVersion << '\n';
    return 0;
  }
  if (!command_line.settings_file.empty()) TakeFile(command_line.settings_file);
  for (const FlagValue& flag : command_line.flags) TakeFlag(flag);
  CheckPresence();
  if (faults_.empty()) {
    for (const Check& check : checks_) check(faults_);
  }
  if (!faults_.empty()) {
    for (const SettingFault& fault : faults_) errors << ToString(fault) << '\n';
    return kExitInvalidSettings;
  }
  if (command_line.check_settings) {
    out << "The settings are in order.\n";
    return 0;
  }
  ApplyLogSettings();
  return std::nullopt;
}

SettingsReader::CommandLine SettingsReader::ReadCommandLine(int argc, char** argv) {
  // Names outlive the loop: getopt_long keeps pointers to them.
  std::vector<std::string> names;
  names.reserve(settings_.size());
  std::vector<option> options = ReservedOptions();
  for (std::size_t index = 0; index < settings_.size(); ++index) {
    names.push_back(FlagName(settings_[index].key));
    const bool is_switch = settings_[index].form == SettingForm::kSwitch;
    options.push_back({names.back().c_str(), is_switch ? optional_argument : required_argument,
                       nullptr, kFirstSettingOption + static_cast<int>(index)});
  }
  options.push_back({nullptr, 0, nullptr, 0});

  CommandLine command_line;
  optind = 0;  // Starts the scan anew; glibc's documented way.
  int chosen = 0;
  while ((chosen = getopt_long(argc, argv, ":", options.data(), nullptr)) != -1) {
    TakeOption(chosen, argv, command_line);
  }
  arguments_.assign(argv + optind, argv + argc);
  if (synopsis_.empty()) {
    for (const std::string& argument : arguments_) {
      faults_.push_back({kFlagPlace, argument, "No argument is taken here.",
                         "Write --name value; see --help for the names."});
    }
  }
  return command_line;
}

void SettingsReader::TakeOption(int option, char** argv, CommandLine& command_line) {
  switch (option) {
    case kSettingsOption:
      command_line.settings_file = optarg;
      return;
    case kCheckOption:
      command_line.check_settings = true;
      return;
    case kHelpOption:
      command_line.help = true;
      return;
    case kVersionOption:
      command_line.version = true;
      return;
    case ':':
      faults_.push_back({kFlagPlace, argv[optind - 1], "The flag lacks its value.",
                         "Write the value after the flag."});
      return;
    case '?':
      faults_.push_back({kFlagPlace, argv[optind - 1], "The flag is not known.",
                         "See --help for the flags of this program."});
      return;
    default:
      break;
  }
  Setting& setting = settings_[static_cast<std::size_t>(option - kFirstSettingOption)];
  command_line.flags.push_back({&setting, optarg == nullptr ? "" : optarg});
}

void SettingsReader::TakeFile(const std::string& path) {
  const auto outcome = Attempt([&] { return ReadSettingsFile(path); });
  if (const Error* error = ErrorOf(outcome)) {
    // The message names the file and, where there is one, the line.
    faults_.push_back({"settings", "", error->message, error->remedy});
    return;
  }
  auto values = std::get<std::vector<FileSetting>>(outcome);
  std::sort(values.begin(), values.end(),
            [](const FileSetting& a, const FileSetting& b) { return a.line < b.line; });
  for (const FileSetting& value : values) {
    const std::string place = path + ":" + std::to_string(value.line);
    Setting* const setting = Find(value.key);
    if (setting == nullptr) {
      faults_.push_back({place, value.key, "The key is not known.",
                         "Remove it, or correct its name; see --help for the keys."});
      continue;
    }
    Assign(*setting, value.value, place);
  }
}

void SettingsReader::TakeFlag(const FlagValue& flag) {
  const auto outcome = Attempt([&] { return ParseFlagText(flag.setting->form, flag.text); });
  flag.setting->given = true;
  if (const Error* error = ErrorOf(outcome)) {
    faults_.push_back({kFlagPlace, flag.setting->key, error->message, error->remedy});
    return;
  }
  Assign(*flag.setting, std::get<SettingValue>(outcome), kFlagPlace);
}

void SettingsReader::Assign(Setting& setting, const SettingValue& value, const std::string& place) {
  setting.given = true;
  if (!HasForm(value, setting.form)) {
    const std::string form(FormName(setting.form));
    faults_.push_back(
        {place, setting.key, "The value is not " + form + ".", "Write " + form + "."});
    return;
  }
  const auto outcome = Attempt([&] { return setting.assign(value); });
  if (const Error* error = ErrorOf(outcome)) {
    faults_.push_back({place, setting.key, error->message, error->remedy});
  }
}

void SettingsReader::CheckPresence() {
  for (const Setting& setting : settings_) {
    if (setting.presence != kRequired || setting.given) continue;
    faults_.push_back(
        {"settings", setting.key, "The setting is missing.",
         "Add the key to the settings file, or give --" + FlagName(setting.key) + "."});
  }
}

SettingsReader::Setting* SettingsReader::Find(std::string_view key) {
  const auto found = std::find_if(settings_.begin(), settings_.end(),
                                  [&](const Setting& setting) { return setting.key == key; });
  return found == settings_.end() ? nullptr : &*found;
}

void SettingsReader::ApplyLogSettings() const {
  if (std::none_of(settings_.begin(), settings_.end(),
                   [](const Setting& setting) { return setting.key == "log_format"; })) {
    return;
  }
  ConfigureLogs(static_cast<LogFormat>(log_format_), static_cast<LogLevel>(log_level_));
}

std::string SettingsReader::HelpText() const {
  std::string text =
      "Usage: " + program_ + (synopsis_.empty() ? "" : " " + synopsis_) +
      " [--settings FILE] [--NAME VALUE...]\n\n" + summary_ + "\n\n" +
      "  --settings FILE   TOML file; each flag below overrides the key of its name\n"
      "  --check-settings  check the settings and exit\n"
      "  --help            print this and exit\n"
      "  --version         print the version and exit\n\n";
  for (const Setting& setting : settings_) {
    text += "  --" + FlagName(setting.key) + "  (" + std::string(FormName(setting.form));
    if (setting.presence == kRequired) text += ", required";
    if (!setting.default_text.empty()) text += ", default " + setting.default_text;
    text += ")\n      " + setting.help + "\n";
  }
  text += "\nWrong settings end the program with exit code 2, all faults listed.\n";
  return text;
}

}  // namespace graniteseam::runtime
