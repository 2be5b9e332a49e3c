/// @file
/// The commands of graniteseamctl: one table for running, help and shell completion.
#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/error.h"
#include "src/daemon/operator_cli/options.h"
#include "src/http/operator_client.h"

namespace graniteseam::operator_cli {

/// What a command works with. Lives as long as the command runs.
struct CommandContext {
  const Options& options;
  const std::vector<std::string>& arguments;  ///< Those after the command's words.
  http::OperatorClient& client;
  std::ostream& out;
};

struct Command {
  std::string_view group;      ///< First word, for example "bundle".
  std::string_view action;     ///< Second word, for example "roll".
  std::string_view arguments;  ///< As the help text shows them.
  std::size_t arguments_minimum = 0;
  std::size_t arguments_maximum = 0;
  std::string_view summary;
  Result<void> (*run)(const CommandContext& context) = nullptr;
};

/// All commands, in the order of the help text.
std::span<const Command> Commands();

/// Finds the command that the words name and checks the number of its arguments.
/// @return kInvalidArgument naming what would fit.
Result<const Command*> FindCommand(const std::vector<std::string>& words);

/// The help text's part on commands and exit codes.
std::string CommandsHelp();

/// A bash completion script for the commands and `flags`.
std::string BashCompletion();

// The commands by file.
Result<void> BundleCheck(const CommandContext& context);
Result<void> BundleDigest(const CommandContext& context);
Result<void> BundleSubmit(const CommandContext& context);
Result<void> BundleSign(const CommandContext& context);
Result<void> BundleRoll(const CommandContext& context);
Result<void> BundleStatus(const CommandContext& context);
Result<void> BundleDiff(const CommandContext& context);
Result<void> BundleHistory(const CommandContext& context);

Result<void> FleetStatus(const CommandContext& context);
Result<void> ShardShow(const CommandContext& context);
Result<void> ShardMove(const CommandContext& context);
Result<void> ServerDrain(const CommandContext& context);
Result<void> ServerUndrain(const CommandContext& context);
Result<void> ZoneDrain(const CommandContext& context);
Result<void> ZoneUndrain(const CommandContext& context);

Result<void> ControlAdd(const CommandContext& context);
Result<void> ControlRemove(const CommandContext& context);
Result<void> ControlReplace(const CommandContext& context);

Result<void> RequestExplain(const CommandContext& context);
Result<void> LogTimeline(const CommandContext& context);
Result<void> LogLosses(const CommandContext& context);

Result<void> KeyGenerate(const CommandContext& context);
Result<void> CompletionBash(const CommandContext& context);

}  // namespace graniteseam::operator_cli
