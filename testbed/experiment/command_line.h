/// @file
/// Flags and subcommands of graniteseam-experiment.
#pragma once

#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "testbed/measurement/experiment.h"

namespace graniteseam::testbed {

enum class Subcommand { kRun, kList, kCompare, kHelp, kVersion };

struct CommandLine {
  Subcommand subcommand = Subcommand::kHelp;
  std::vector<std::string> arguments;  ///< The experiment's name, or the two files to compare.
  RunOptions options;
  Driver driver = Driver::kFleet;
  bool baseline = false;
  bool quiet = false;        ///< No progress.
  std::string json_file;     ///< Empty for none.
  std::string plot_folder;   ///< Empty for none.
  std::string command_text;  ///< The command as typed, for the report.
};

/// @return kInvalidArgument when the command line is not understood.
Result<CommandLine> ParseCommandLine(int argument_count, char** arguments);

std::string_view HelpText();

}  // namespace graniteseam::testbed
