#include "src/daemon/operator_cli/command.h"

#include <algorithm>
#include <sstream>

#include "src/daemon/operator_cli/exit_code.h"

namespace graniteseam::operator_cli {
namespace {

/// Files that one call may name.
constexpr std::size_t kLogsMaximum = 2'000;

constexpr Command kCommands[] = {
    {"bundle", "check", "FILE", 1, 1, "Check a bundle without sending it.", BundleCheck},
    {"bundle", "digest", "FILE", 1, 1, "Print a bundle's digest.", BundleDigest},
    {"bundle", "submit", "FILE", 1, 1, "Submit a bundle for review.", BundleSubmit},
    {"bundle", "sign", "FILE|VERSION", 1, 1,
     "Sign a bundle as --reviewer with --key-file; a VERSION needs --digest.", BundleSign},
    {"bundle", "roll", "FILE|VERSION", 1, 1, "Put a signed bundle in force.", BundleRoll},
    {"bundle", "status", "", 0, 0, "Show versions, and the one in force in each process.",
     BundleStatus},
    {"bundle", "diff", "FILE|VERSION [FILE|VERSION]", 1, 2,
     "Show what differs, from the second (the one in force if left out) to the first.", BundleDiff},
    {"bundle", "history", "[VERSION]", 0, 1, "List the bundles kept, or print one as submitted.",
     BundleHistory},
    {"fleet", "status", "", 0, 0, "Show control members, leader, servers and routers.",
     FleetStatus},
    {"shard", "show", "[SERVICE]", 0, 1, "Show who owns which shard.", ShardShow},
    {"shard", "move", "SERVICE SHARD SERVER", 3, 3, "Move a shard to a server.", ShardMove},
    {"server", "drain", "SERVER", 1, 1, "Give a server no new work and move its shards away.",
     ServerDrain},
    {"server", "undrain", "SERVER", 1, 1, "Let a drained server take work again.", ServerUndrain},
    {"zone", "drain", "ZONE", 1, 1,
     "Give a zone's instances no new work and move their keys to other zones.", ZoneDrain},
    {"zone", "undrain", "ZONE", 1, 1, "Let a drained zone's instances take work again.",
     ZoneUndrain},
    {"control", "add", "ADDRESS", 1, 1,
     "Add the control process at an operator address as a voter, once it has caught up.",
     ControlAdd},
    {"control", "remove", "ID", 1, 1, "Take a member out of the control group.", ControlRemove},
    {"control", "replace", "ID ADDRESS", 2, 2,
     "Add the process at ADDRESS, then take the member ID out.", ControlReplace},
    {"request", "explain", "ID LOG...", 2, kLogsMaximum,
     "Tell from event logs what became of a request, and why.", RequestExplain},
    {"log", "timeline", "LOG...", 1, kLogsMaximum,
     "Show changes of belief of all processes in the order of their times.", LogTimeline},
    {"log", "losses", "FILE...", 1, kLogsMaximum,
     "Count late, refused and failed requests in gateways' event logs by their causes.", LogLosses},
    {"key", "generate", "", 0, 0, "Draw a reviewer's key: private into --key-file, public printed.",
     KeyGenerate},
    {"completion", "bash", "", 0, 0, "Print a completion script for bash.", CompletionBash},
};

std::string WordsOf(const Command& command) {
  return std::string(command.group) + " " + std::string(command.action);
}

std::string SynopsisOf(const Command& command) {
  std::string text = WordsOf(command);
  if (!command.arguments.empty()) text += " " + std::string(command.arguments);
  return text;
}

/// The actions of a group, or all groups when there is none such.
std::string Choices(const std::string& group) {
  std::string text;
  std::string_view last_group;
  for (const Command& command : kCommands) {
    if (command.group == group) text += (text.empty() ? "" : ", ") + WordsOf(command);
  }
  if (!text.empty()) return text;
  for (const Command& command : kCommands) {
    if (command.group == last_group) continue;
    last_group = command.group;
    text += (text.empty() ? "" : ", ") + std::string(command.group);
  }
  return text;
}

}  // namespace

std::span<const Command> Commands() { return kCommands; }

Result<const Command*> FindCommand(const std::vector<std::string>& words) {
  const std::string group = words.empty() ? "" : words[0];
  const std::string action = words.size() < 2 ? "" : words[1];
  const auto* const found = std::find_if(
      std::begin(kCommands), std::end(kCommands),
      [&](const Command& command) { return command.group == group && command.action == action; });
  if (found == std::end(kCommands)) {
    return Fail(ErrorKind::kInvalidArgument,
                "There is no command \"" + group + " " + action + "\".",
                "Use one of: " + Choices(group) + ". See --help.");
  }
  const std::size_t arguments = words.size() - 2;
  if (arguments < found->arguments_minimum || arguments > found->arguments_maximum) {
    return Fail(ErrorKind::kInvalidArgument, "The number of arguments is wrong.",
                "Write: graniteseamctl " + SynopsisOf(*found));
  }
  return found;
}

std::string CommandsHelp() {
  std::ostringstream text;
  text << "Commands:\n";
  for (const Command& command : kCommands) {
    text << "  " << SynopsisOf(command) << "\n      " << command.summary << "\n";
  }
  text << "\nEvery command is safe to run again. Exit codes:\n";
  for (const ExitCodeEntry& entry : ExitCodes()) {
    const auto code = std::to_string(static_cast<int>(entry.code));
    text << std::string(4 - code.size(), ' ') << code << "  " << entry.meaning << "\n";
  }
  text << "\nFlags:";
  return text.str();
}

std::string BashCompletion() {
  std::string groups;
  std::string cases;
  std::string_view last_group;
  for (const Command& command : kCommands) {
    if (command.group != last_group) {
      if (!last_group.empty()) cases += "\" ;;\n";
      groups += (groups.empty() ? "" : " ") + std::string(command.group);
      cases += "    " + std::string(command.group) + ") words=\"";
    } else {
      cases += " ";
    }
    cases += command.action;
    last_group = command.group;
  }
  cases += "\" ;;\n";
  return "_graniteseamctl() {\n"
         "  local words=\"\" current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
         "  if [[ $current == --* ]]; then\n"
         "    words=\"$(graniteseamctl --help | grep --only-matching --extended-regexp -- "
         "'^  --[a-z-]+' | tr -d ' ')\"\n"
         "  elif ((COMP_CWORD == 1)); then\n"
         "    words=\"" +
         groups +
         "\"\n"
         "  elif ((COMP_CWORD == 2)); then\n"
         "    case \"${COMP_WORDS[1]}\" in\n" +
         cases +
         "    esac\n"
         "  else\n"
         "    mapfile -t COMPREPLY < <(compgen -f -- \"$current\")\n"
         "    return\n"
         "  fi\n"
         "  mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"$current\")\n"
         "}\n"
         "complete -F _graniteseamctl graniteseamctl\n";
}

Result<void> CompletionBash(const CommandContext& context) {
  context.out << BashCompletion();
  return {};
}

}  // namespace graniteseam::operator_cli
