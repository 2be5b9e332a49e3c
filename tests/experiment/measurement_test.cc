#include "testbed/measurement/measurement.h"

#include <criterion/criterion.h>

#include <string>
#include <variant>

#include "testbed/measurement/plot.h"
#include "testbed/measurement/report.h"

namespace {

using namespace graniteseam;           // NOLINT
using namespace graniteseam::testbed;  // NOLINT

ExperimentReport SampleReport() {
  ExperimentReport report{
      "owner-loss", "fleet", 7, "graniteseam-experiment run owner-loss", "0.1.0", "a machine",
      0.5,          12.5,    {}};
  report.measurement.AddAtMost("key_unavailable_p99_ms", 812.5, 1000.0);
  report.measurement.AddAtLeast("goodput_of_capacity_ratio", 0.8, 0.9);
  report.measurement.Add("moves_count", 31);
  report.measurement.figures[0].baseline = 3250.0;
  report.measurement.remarks.emplace_back("A remark.");
  return report;
}

/// One figure a way, so that the baseline is told apart.
class TwoWays : public Experiment {
 public:
  std::string_view name() const override { return "two-ways"; }
  std::string_view question() const override { return "?"; }
  Driver driver() const override { return Driver::kVirtual; }
  bool HasBaseline() const override { return true; }
  Result<Measurement> Measure(const RunOptions&, Way way, const Progress&) const override {
    Measurement result;
    result.AddAtMost("moves_count", way == Way::kShipped ? 3 : 12, 4);
    result.series.push_back({"load", "x", "y", {{0, 1}}});
    return result;
  }
};

}  // namespace

Test(measurement, a_percentile_is_the_nearest_rank) {
  cr_assert_eq(Percentile({}, 0.99), 0.0);
  cr_assert_eq(Percentile({5}, 0.99), 5.0);
  cr_assert_eq(Percentile({4, 1, 3, 2}, 0.5), 2.0);
  cr_assert_eq(Percentile({4, 1, 3, 2}, 0.51), 3.0);
  cr_assert_eq(Percentile({4, 1, 3, 2}, 1.0), 4.0);
}

Test(measurement, a_bound_is_kept_up_to_its_limit) {
  Measurement measurement;
  measurement.AddAtMost("a_ms", 10, 10);
  measurement.AddAtMost("b_ms", 10.001, 10);
  measurement.AddAtLeast("c_ratio", 0.9, 0.9);
  measurement.AddAtLeast("d_ratio", 0.899, 0.9);
  measurement.Add("e_ms", 1e9);
  cr_assert(measurement.Find("a_ms")->Met());
  cr_assert_not(measurement.Find("b_ms")->Met());
  cr_assert(measurement.Find("c_ratio")->Met());
  cr_assert_not(measurement.Find("d_ratio")->Met());
  cr_assert(measurement.Find("e_ms")->Met());
}

Test(measurement, a_report_survives_its_json) {
  const ExperimentReport report = SampleReport();
  const auto outcome = Attempt([&] { return ParseReport(ToJson(report), "report.json"); });
  const auto& parsed = std::get<ExperimentReport>(outcome);
  cr_assert_eq(parsed.experiment, report.experiment);
  cr_assert_eq(parsed.seed, report.seed);
  cr_assert_eq(parsed.measurement.remarks, report.measurement.remarks);
  cr_assert_eq(parsed.measurement.figures.size(), report.measurement.figures.size());
  for (std::size_t index = 0; index < report.measurement.figures.size(); ++index) {
    const Figure& before = report.measurement.figures[index];
    const Figure& after = parsed.measurement.figures[index];
    cr_assert_eq(after.key, before.key);
    cr_assert_eq(after.value, before.value);
    cr_assert(after.bound == before.bound);
    cr_assert(after.baseline == before.baseline);
  }
}

Test(measurement, something_else_is_not_a_report) {
  for (const std::string text : {"", "{}", "[1]", R"({"experiment": 3})"}) {
    const auto outcome = Attempt([&] { return ParseReport(text, "other.json"); });
    const Error* error = ErrorOf(outcome);
    cr_assert_not_null(error);
    cr_assert_eq(error->kind, ErrorKind::kInvalidArgument);
  }
}

Test(measurement, a_table_says_which_bound_is_missed) {
  const std::string table = ToTable(SampleReport());
  const auto line_of = [&](const std::string& key) {
    const std::size_t start = table.find(key);
    return table.substr(start, table.find('\n', start) - start);
  };
  cr_assert(line_of("goodput_of_capacity_ratio").find("MISSED") != std::string::npos);
  cr_assert(line_of("key_unavailable_p99_ms").find("yes") != std::string::npos);
  cr_assert(line_of("key_unavailable_p99_ms").find("0.25") != std::string::npos, "the ratio");
}

Test(measurement, the_baseline_stands_beside_the_shipped_value) {
  const TwoWays experiment;
  const Progress silent = [](const std::string&, double) {};
  const auto outcome = Attempt([&] { return RunExperiment(experiment, {}, true, silent); });
  const auto& result = std::get<Measurement>(outcome);
  const Figure* moves = result.Find("moves_count");
  cr_assert_eq(moves->value, 3.0);
  cr_assert_eq(moves->baseline.value(), 12.0);
  cr_assert_eq(moves->RatioToBaseline().value(), 0.25);
  cr_assert_eq(result.series.size(), 2);
  cr_assert_eq(result.series[1].name, "load (baseline)");
}
