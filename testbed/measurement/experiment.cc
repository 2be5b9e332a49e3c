#include "testbed/measurement/experiment.h"

#include <algorithm>

namespace graniteseam::testbed {

namespace {

void SetBaseline(Measurement& shipped, const Measurement& simple) {
  for (Figure& figure : shipped.figures) {
    if (const Figure* other = simple.Find(figure.key)) figure.baseline = other->value;
  }
  for (Series series : simple.series) {
    series.name += " (baseline)";
    shipped.series.push_back(std::move(series));
  }
}

}  // namespace

std::string_view DriverName(Driver driver) {
  return driver == Driver::kFleet ? "fleet" : "virtual";
}

const Experiment* FindExperiment(const ExperimentList& list, std::string_view name, Driver driver) {
  const auto found = std::find_if(list.begin(), list.end(), [&](const auto& experiment) {
    return experiment->name() == name && experiment->driver() == driver;
  });
  return found == list.end() ? nullptr : found->get();
}

Result<Measurement> RunExperiment(const Experiment& experiment, const RunOptions& options,
                                  bool baseline, const Progress& progress) {
  BOOST_LEAF_AUTO(shipped, experiment.Measure(options, Way::kShipped, progress));
  if (!baseline) return shipped;
  if (!experiment.HasBaseline()) {
    shipped.remarks.emplace_back("There is no simple way to compare this experiment with.");
    return shipped;
  }
  const Progress baseline_progress = [&](const std::string& what, double fraction) {
    progress("baseline: " + what, fraction);
  };
  BOOST_LEAF_AUTO(simple, experiment.Measure(options, Way::kSimple, baseline_progress));
  SetBaseline(shipped, simple);
  return shipped;
}

}  // namespace graniteseam::testbed
