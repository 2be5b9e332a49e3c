/// @file
/// The commands that read event logs; they ask no process.

#include <fstream>
#include <ostream>

#include "src/daemon/operator_cli/command.h"
#include "src/daemon/operator_cli/event_story.h"
#include "src/daemon/operator_cli/json_output.h"
#include "src/daemon/operator_cli/table.h"

namespace graniteseam::operator_cli {
namespace {

auto read_logs(std::span<std::string const> paths) -> Result<ParsedLog> {
  ParsedLog parsed;
  for (auto const& path : paths) {
    std::ifstream log(path);
    if (!log) {
      return Fail(ErrorKind::kInvalidArgument, "The log " + path + " can't be read.",
                  "Name files that hold the standard output of processes.");
    }
    parse_events(log, parsed);
  }
  if (parsed.events.empty()) {
    return Fail(ErrorKind::kInvalidArgument, "No event stands in the logs.",
                "Name files that hold the standard output of processes.");
  }
  return parsed;
}

auto print_table(std::ostream& out, std::span<LoggedEvent const> events) -> void {
  Table table({"wall ms", "after ms", "process", "event", "instance", "outcome", "details"});
  for (auto const& it : events) {
    auto const after = it.request.empty() ? "" : std::to_string(it.after_us / 1'000);
    auto const missing =
        it.dropped == 0 ? "" : " (" + std::to_string(it.dropped) + " lines missing before)";
    table.AddRow({std::to_string(it.wall_ms), after, it.process, it.event, it.instance, it.outcome,
                  it.details + missing});
  }
  table.Print(out);
}

}  // namespace

Result<void> RequestExplain(const CommandContext& context) {
  auto const arguments = std::span(context.arguments);
  BOOST_LEAF_AUTO(parsed, read_logs(arguments.subspan(1)));
  auto const story = story_of(parsed.events, arguments.front());
  if (context.options.json) {
    PrintJson(context.out, story);
    return {};
  }
  context.out << story.request << ": " << story.cause << "\n\n";
  print_table(context.out, story.events);
  context.out << "\nWhat was believed around it:\n\n";
  print_table(context.out, story.beliefs);
  return {};
}

Result<void> LogTimeline(const CommandContext& context) {
  BOOST_LEAF_AUTO(parsed, read_logs(context.arguments));
  auto const line = time_line(parsed.events);
  if (context.options.json) {
    PrintJson(context.out, line);
    return {};
  }
  print_table(context.out, line);
  if (parsed.unreadable > 0) context.out << parsed.unreadable << " lines held no event.\n";
  return {};
}

}  // namespace graniteseam::operator_cli
