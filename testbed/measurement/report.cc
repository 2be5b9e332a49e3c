#include "testbed/measurement/report.h"

#include <fmt/format.h>
#include <sys/utsname.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace graniteseam::testbed {

namespace {

using Json = nlohmann::ordered_json;

Json FigureToJson(const Figure& figure) {
  Json json{{"value", figure.value}};
  if (figure.bound) {
    json[figure.bound->relation == Relation::kAtMost ? "at_most" : "at_least"] =
        figure.bound->limit;
    json["met"] = figure.Met();
  }
  if (figure.baseline) json["baseline"] = *figure.baseline;
  if (const auto ratio = figure.RatioToBaseline()) json["ratio_to_baseline"] = *ratio;
  return json;
}

Figure FigureFromJson(const std::string& key, const Json& json) {
  Figure figure;
  figure.key = key;
  figure.value = json.at("value").get<double>();
  if (json.contains("at_most")) {
    figure.bound = Bound{Relation::kAtMost, json.at("at_most").get<double>()};
  } else if (json.contains("at_least")) {
    figure.bound = Bound{Relation::kAtLeast, json.at("at_least").get<double>()};
  }
  if (json.contains("baseline")) figure.baseline = json.at("baseline").get<double>();
  return figure;
}

Json SeriesToJson(const Series& series) {
  return Json{{"name", series.name},
              {"x", series.x_label},
              {"y", series.y_label},
              {"points", series.points}};
}

/// The value after the colon of the first line that begins with `key`; empty when there is none.
std::string SystemFileField(const std::string& path, const std::string& key) {
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with(key)) continue;
    const std::size_t colon = line.find(':');
    const std::size_t start = line.find_first_not_of(" \t", colon + 1);
    return start == std::string::npos ? "" : line.substr(start);
  }
  return "";
}

std::size_t KeyWidth(const Measurement& measurement) {
  std::size_t width = 6;
  for (const Figure& figure : measurement.figures) width = std::max(width, figure.key.size());
  return width;
}

std::string FormatOptional(const std::optional<double>& value) {
  return value ? FormatValue(*value) : "-";
}

}  // namespace

std::string DescribeMachine() {
  utsname names{};
  uname(&names);
  constexpr long kKibibytesPerGibibyte = 1024L * 1024L;
  const std::string memory = SystemFileField("/proc/meminfo", "MemTotal");
  const long gibibytes = memory.empty() ? 0 : std::stol(memory) / kKibibytesPerGibibyte;
  return fmt::format("{}, {} cores, {} GiB, Linux {}",
                     SystemFileField("/proc/cpuinfo", "model name"),
                     std::thread::hardware_concurrency(), gibibytes, names.release);
}

double LoadAverage() {
  std::ifstream file("/proc/loadavg");
  double average = 0;
  file >> average;
  return average;
}

std::string ToJson(const ExperimentReport& report) {
  Json figures = Json::object();
  for (const Figure& figure : report.measurement.figures) {
    figures[figure.key] = FigureToJson(figure);
  }
  Json series = Json::array();
  for (const Series& one : report.measurement.series) series.push_back(SeriesToJson(one));
  const Json json{{"experiment", report.experiment},
                  {"driver", report.driver},
                  {"seed", report.seed},
                  {"command", report.command},
                  {"version", report.version},
                  {"machine", report.machine},
                  {"load_average_at_start", report.load_average},
                  {"duration_s", report.duration_s},
                  {"figures", figures},
                  {"remarks", report.measurement.remarks},
                  {"series", series}};
  return json.dump(2) + "\n";
}

Result<ExperimentReport> ParseReport(const std::string& json_text, const std::string& file_name) {
  ExperimentReport report;
  try {
    const Json json = Json::parse(json_text);
    report.experiment = json.at("experiment").get<std::string>();
    report.driver = json.at("driver").get<std::string>();
    report.seed = json.at("seed").get<std::uint64_t>();
    report.command = json.at("command").get<std::string>();
    report.version = json.at("version").get<std::string>();
    report.machine = json.at("machine").get<std::string>();
    report.load_average = json.at("load_average_at_start").get<double>();
    report.duration_s = json.at("duration_s").get<double>();
    for (const auto& [key, figure] : json.at("figures").items()) {
      report.measurement.figures.push_back(FigureFromJson(key, figure));
    }
    report.measurement.remarks = json.at("remarks").get<std::vector<std::string>>();
  } catch (const nlohmann::json::exception& fault) {
    return Fail(ErrorKind::kInvalidArgument,
                fmt::format("{} is not a report: {}.", file_name, fault.what()),
                "Name a file that graniteseam-experiment run --json wrote.");
  }
  return report;
}

std::string FormatValue(double value) { return fmt::format("{:.4g}", value); }

std::string FormatBound(const Figure& figure) {
  if (!figure.bound) return "-";
  return fmt::format("{} {}", figure.bound->relation == Relation::kAtMost ? "<=" : ">=",
                     FormatValue(figure.bound->limit));
}

std::string ToTable(const ExperimentReport& report) {
  const std::size_t width = KeyWidth(report.measurement);
  std::string text = fmt::format("{:<{}}  {:>12}  {:>12}  {:>6}  {:>12}  {:>8}\n", "figure", width,
                                 "value", "bound", "met", "baseline", "ratio");
  for (const Figure& figure : report.measurement.figures) {
    const std::string met = !figure.bound ? "-" : figure.Met() ? "yes" : "MISSED";
    text += fmt::format("{:<{}}  {:>12}  {:>12}  {:>6}  {:>12}  {:>8}\n", figure.key, width,
                        FormatValue(figure.value), FormatBound(figure), met,
                        FormatOptional(figure.baseline), FormatOptional(figure.RatioToBaseline()));
  }
  for (const std::string& remark : report.measurement.remarks) text += remark + "\n";
  return text;
}

std::string CompareTable(const ExperimentReport& left, const ExperimentReport& right) {
  const std::size_t width = std::max(KeyWidth(left.measurement), KeyWidth(right.measurement));
  std::string text =
      fmt::format("{:<{}}  {:>12}  {:>12}  {:>8}\n", "figure", width, "first", "second", "ratio");
  const auto add = [&](const std::string& key, const Figure* first, const Figure* second) {
    const bool both = first != nullptr && second != nullptr && first->value != 0.0;
    text += fmt::format("{:<{}}  {:>12}  {:>12}  {:>8}\n", key, width,
                        first == nullptr ? "-" : FormatValue(first->value),
                        second == nullptr ? "-" : FormatValue(second->value),
                        both ? FormatValue(second->value / first->value) : "-");
  };
  for (const Figure& figure : left.measurement.figures) {
    add(figure.key, &figure, right.measurement.Find(figure.key));
  }
  for (const Figure& figure : right.measurement.figures) {
    if (left.measurement.Find(figure.key) == nullptr) add(figure.key, nullptr, &figure);
  }
  return text;
}

}  // namespace graniteseam::testbed
