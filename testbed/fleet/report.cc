#include "testbed/fleet/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace graniteseam::testbed {

namespace {

constexpr std::size_t kViolationsShown = 10;

/// The last answer of each request: of each nonce and due time.
std::vector<const AnswerRecord*> LastAnswers(const History& history) {
  std::map<std::pair<std::string, std::int64_t>, const AnswerRecord*> last;
  for (const auto& answer : history.answers) {
    auto& known = last[{answer.nonce, answer.due_us}];
    if (known == nullptr || known->sending < answer.sending) known = &answer;
  }
  std::vector<const AnswerRecord*> answers;
  answers.reserve(last.size());
  for (const auto& [request, answer] : last) answers.push_back(answer);
  return answers;
}

void CountOperations(const History& history, FleetReport& report) {
  std::map<std::string, bool> resolved;
  for (const auto& answer : history.answers) {
    if (answer.operation.empty()) continue;
    auto& known = resolved[answer.operation];
    known = known || answer.outcome == "answered" || answer.outcome == "kept" ||
            answer.outcome == "not_run";
  }
  report.operations = resolved.size();
  report.operations_unresolved = static_cast<std::uint64_t>(std::count_if(
      resolved.begin(), resolved.end(), [](const auto& entry) { return !entry.second; }));
}

std::map<std::string, double> Imbalance(const History& history) {
  std::map<std::string, std::map<std::string, double>> runs;
  for (const auto& run : history.runs) ++runs[run.service][run.server];
  std::map<std::string, double> imbalance;
  for (const auto& [service, servers] : runs) {
    double total = 0.0;
    double most = 0.0;
    for (const auto& [server, count] : servers) {
      total += count;
      most = std::max(most, count);
    }
    imbalance[service] = most * static_cast<double>(servers.size()) / total;
  }
  return imbalance;
}

std::uint64_t CountOf(const FleetReport& report, ViolationKind kind) {
  return static_cast<std::uint64_t>(
      std::count_if(report.violations.begin(), report.violations.end(),
                    [&](const Violation& violation) { return violation.kind == kind; }));
}

std::string ServiceLine(const std::string& name, const TrafficSummary& summary,
                        const FleetReport& report) {
  const auto& latencies = summary.latencies();
  const auto imbalance = report.imbalance.find(name);
  return fmt::format("  {:<14}{:>9}{:>9}{:>8}{:>9.1f}{:>9.1f}{:>9.1f}{:>13.0f}{:>11}\n",
                     name.empty() ? "all" : name, summary.requests(), summary.answered(),
                     summary.failed(), latencies.QuantileMs(0.5), latencies.QuantileMs(0.99),
                     latencies.QuantileMs(0.999), summary.UnavailableMs(),
                     imbalance == report.imbalance.end()
                         ? std::string()
                         : fmt::format("{:.2f}", imbalance->second));
}

std::string MustBeZero(const FleetReport& report) {
  const auto count = [&](ViolationKind kind) { return CountOf(report, kind); };
  return fmt::format(
      "  must be 0: operations doubled {}, answers without a run {}, run though told not run {},\n"
      "             answers crossed {}, answers torn {}, keys with two owners {}, epochs that\n"
      "             went back {}, bundle versions that went back {}, runs on servers long told to\n"
      "             leave {}\n",
      count(ViolationKind::kDoubledRun), count(ViolationKind::kLostRun),
      count(ViolationKind::kRanThoughNotRun), count(ViolationKind::kCrossedAnswer),
      count(ViolationKind::kTornAnswer), count(ViolationKind::kTwoOwners),
      count(ViolationKind::kEpochWentBack), count(ViolationKind::kVersionWentBack),
      count(ViolationKind::kWorkAfterLeaving));
}

nlohmann::json ServiceJson(const TrafficSummary& summary) {
  const auto& latencies = summary.latencies();
  return {{"requests", summary.requests()},           {"answered", summary.answered()},
          {"failures", summary.failures()},           {"p50_ms", latencies.QuantileMs(0.5)},
          {"p99_ms", latencies.QuantileMs(0.99)},     {"p999_ms", latencies.QuantileMs(0.999)},
          {"unavailable_ms", summary.UnavailableMs()}};
}

}  // namespace

FleetReport MakeReport(const Scenario& scenario, const History& history) {
  FleetReport report;
  report.scenario = scenario.name;
  for (const auto* answer : LastAnswers(history)) {
    report.services[""].Add(*answer);
    report.services[answer->service].Add(*answer);
  }
  report.imbalance = Imbalance(history);
  CountOperations(history, report);
  report.violations = CheckHistory(history);
  const auto& all = report.services[""];
  const double answered_part = all.requests() == 0 ? 0.0
                                                   : static_cast<double>(all.answered()) /
                                                         static_cast<double>(all.requests());
  if (all.requests() == 0) report.problems.emplace_back("no request was sent");
  if (answered_part < scenario.answered_minimum) {
    report.problems.push_back(fmt::format(
        "{:.2f} % of the requests were answered in time; the scenario asks for {:.2f} %",
        100.0 * answered_part, 100.0 * scenario.answered_minimum));
  }
  return report;
}

std::string ToText(const FleetReport& report) {
  std::string text = fmt::format("Report of {}\n\n", report.scenario);
  text +=
      fmt::format("  {:<14}{:>9}{:>9}{:>8}{:>9}{:>9}{:>9}{:>13}{:>11}\n", "service", "requests",
                  "answered", "failed", "p50 ms", "p99 ms", "p99.9 ms", "unavailable", "imbalance");
  for (const auto& [name, summary] : report.services) text += ServiceLine(name, summary, report);
  text +=
      "  (unavailable: ms that the service was missing to its mean request; imbalance: busiest\n"
      "  server over mean)\n\n";
  const auto all = report.services.find("");
  if (all != report.services.end()) {
    for (const auto& [kind, count] : all->second.failures()) {
      text += fmt::format("  failed: {:>6} {}\n", count, kind);
    }
  }
  text += fmt::format("  shard moves {}; operations {}, of which {} with an unknown outcome\n",
                      report.shard_moves, report.operations, report.operations_unresolved);
  text += MustBeZero(report) + "\n";
  for (const auto& event : report.events) {
    text += fmt::format("  {:>6.1f} s  {}\n", event.at_s, event.what);
  }
  for (std::size_t index = 0; index < std::min(report.violations.size(), kViolationsShown);
       ++index) {
    const auto& violation = report.violations[index];
    text +=
        fmt::format("  VIOLATION {}: {}\n", ViolationName(violation.kind), violation.description);
  }
  for (const auto& problem : report.problems) text += fmt::format("  PROBLEM: {}\n", problem);
  text += report.Good() ? "\nWhat must hold held.\n" : "\nWhat must hold did NOT hold.\n";
  return text;
}

std::string ToJson(const FleetReport& report) {
  nlohmann::json json = {
      {"scenario", report.scenario},     {"good", report.Good()},
      {"imbalance", report.imbalance},   {"shard_moves", report.shard_moves},
      {"operations", report.operations}, {"operations_unresolved", report.operations_unresolved},
      {"problems", report.problems}};
  for (const auto& [name, summary] : report.services) {
    json["services"][name.empty() ? "all" : name] = ServiceJson(summary);
  }
  for (const auto& event : report.events) {
    json["events"].push_back({{"at_s", event.at_s}, {"what", event.what}});
  }
  for (const auto& violation : report.violations) {
    json["violations"].push_back(
        {{"kind", ViolationName(violation.kind)}, {"description", violation.description}});
  }
  return json.dump(2) + "\n";
}

}  // namespace graniteseam::testbed
