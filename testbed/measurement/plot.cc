#include "testbed/measurement/plot.h"

#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <map>

#include "testbed/support/text_file.h"

namespace graniteseam::testbed {

namespace {

using Axes = std::pair<std::string, std::string>;

/// Data blocks of gnuplot: one a series, separated by two empty lines.
std::string DataText(const std::vector<const Series*>& lines) {
  std::string text;
  for (const Series* line : lines) {
    for (const auto& [x, y] : line->points) text += fmt::format("{} {}\n", x, y);
    text += "\n\n";
  }
  return text;
}

std::string ScriptText(const std::string& title, const Axes& axes,
                       const std::vector<const Series*>& lines, const std::string& base) {
  std::string text = fmt::format(
      "set terminal svg size 900,480\nset output '{0}.svg'\nset title '{1}'\n"
      "set xlabel '{2}'\nset ylabel '{3}'\nset key outside below\nset grid\nplot ",
      base, title, axes.first, axes.second);
  for (std::size_t index = 0; index < lines.size(); ++index) {
    if (index > 0) text += ", ";
    text += fmt::format("'{}.dat' index {} with lines title '{}'", base, index, lines[index]->name);
  }
  return text + "\n";
}

Result<void> RunGnuplot(const std::string& script) {
  std::string program = "gnuplot";
  std::string argument = script;
  char* arguments[] = {program.data(), argument.data(), nullptr};
  pid_t process = 0;
  int status = 0;
  const bool ran = posix_spawnp(&process, "gnuplot", nullptr, nullptr, arguments, environ) == 0 &&
                   waitpid(process, &status, 0) == process && WIFEXITED(status) &&
                   WEXITSTATUS(status) == 0;
  if (!ran) {
    return Fail(ErrorKind::kUnavailable, fmt::format("gnuplot did not draw {}.", script),
                "Install gnuplot-nox (tools/install-packages does), or leave --plot out.");
  }
  return {};
}

}  // namespace

Result<std::vector<std::string>> DrawPlots(const std::string& experiment,
                                           const std::vector<Series>& series,
                                           const std::string& folder) {
  std::error_code fault;
  std::filesystem::create_directories(folder, fault);
  std::map<Axes, std::vector<const Series*>> plots;
  for (const Series& one : series) plots[{one.x_label, one.y_label}].push_back(&one);
  std::vector<std::string> drawn;
  for (const auto& [axes, lines] : plots) {
    const std::string base = fmt::format("{}/{}-{}", folder, experiment, drawn.size() + 1);
    BOOST_LEAF_CHECK(WriteTextFile(base + ".dat", DataText(lines)));
    BOOST_LEAF_CHECK(WriteTextFile(base + ".gnuplot", ScriptText(experiment, axes, lines, base)));
    BOOST_LEAF_CHECK(RunGnuplot(base + ".gnuplot"));
    drawn.push_back(base + ".svg");
  }
  return drawn;
}

}  // namespace graniteseam::testbed
