/// @file
/// The commands that read event logs; they ask no process.

#include <cstdint>
#include <fstream>
#include <functional>
#include <iomanip>
#include <ostream>
#include <sstream>

#include "src/daemon/operator_cli/command.h"
#include "src/daemon/operator_cli/event_story.h"
#include "src/daemon/operator_cli/json_output.h"
#include "src/daemon/operator_cli/loss_report.h"
#include "src/daemon/operator_cli/table.h"

namespace graniteseam::operator_cli {
namespace {

constexpr char kLogsRemedy[] = "Name files that hold the standard output of processes.";

/// Gives each of the files to `read`.
auto read_files(std::span<std::string const> paths, std::function<void(std::istream&)> const& read)
    -> Result<void> {
  for (auto const& path : paths) {
    std::ifstream log(path);
    if (!log) {
      return Fail(ErrorKind::kInvalidArgument, "The log " + path + " can't be read.", kLogsRemedy);
    }
    read(log);
  }
  return {};
}

auto read_logs(std::span<std::string const> paths) -> Result<ParsedLog> {
  ParsedLog parsed;
  BOOST_LEAF_CHECK(read_files(paths, [&](std::istream& log) { parse_events(log, parsed); }));
  if (parsed.events.empty()) {
    return Fail(ErrorKind::kInvalidArgument, "No event stands in the logs.", kLogsRemedy);
  }
  return parsed;
}

auto with_digits(double number, int digits) -> std::string {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << number;
  return text.str();
}

auto in_ms(std::int64_t micros) -> std::string {
  constexpr double kMicrosPerMs = 1'000;
  return with_digits(static_cast<double>(micros) / kMicrosPerMs, 1);
}

auto print_losses(std::ostream& out, LossReport const& report) -> void {
  constexpr double kPercent = 100;
  Table table({"cause", "late", "refused", "failed", "share", "p50 ms", "p99 ms"});
  for (auto const& it : report.causes) {
    table.AddRow({std::string(name_of(it.cause)), std::to_string(it.late),
                  std::to_string(it.refused), std::to_string(it.failed),
                  with_digits(it.share * kPercent, 2) + "%", in_ms(it.p50_us), in_ms(it.p99_us)});
  }
  table.Print(out);
  out << "\n" << report.requests << " requests.\n";
  auto const note = [&](std::uint64_t number, std::string_view text) {
    if (number > 0) out << number << text << "\n";
  };
  note(report.without_target, " of them were answered and have no target latency in the logs.");
  note(report.unanswered, " further requests have lines, but none of their answer.");
  note(report.unreadable, " lines could not be read.");
  note(report.dropped, " lines were left out by processes that had too much to log.");
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

Result<void> LogLosses(const CommandContext& context) {
  LossCounter counter;
  BOOST_LEAF_CHECK(read_files(context.arguments, [&](std::istream& log) { counter.read(log); }));
  if (!counter.has_events()) {
    return Fail(ErrorKind::kInvalidArgument, "No event stands in the logs.", kLogsRemedy);
  }
  auto const report = counter.report();
  if (context.options.json) {
    PrintJson(context.out, report);
  } else {
    print_losses(context.out, report);
  }
  return {};
}

}  // namespace graniteseam::operator_cli
