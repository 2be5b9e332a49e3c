/// @file
/// What an experiment measured: figures with their units and bounds, series for plots, and remarks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace graniteseam::testbed {

/// Which side of the limit a figure must stay on.
enum class Relation { kAtMost, kAtLeast };

struct Bound {
  Relation relation = Relation::kAtMost;
  double limit = 0;

  bool operator==(const Bound&) const = default;
  bool MetBy(double value) const;
};

/// One measured value. The key ends in its unit, for example "key_unavailable_p99_ms".
struct Figure {
  std::string key;
  double value = 0;
  std::optional<Bound> bound;
  std::optional<double> baseline;  ///< The same figure under the simple way, when it was run.

  /// This value over the baseline's; empty without a baseline or when that is 0.
  std::optional<double> RatioToBaseline() const;
  /// Whether the bound is kept; true without one.
  bool Met() const;
};

/// One line of a plot.
struct Series {
  std::string name;
  std::string x_label;  ///< With its unit.
  std::string y_label;  ///< With its unit; series of equal labels share a plot.
  std::vector<std::pair<double, double>> points;
};

/// The outcome of one way of running one experiment.
struct Measurement {
  std::vector<Figure> figures;
  std::vector<Series> series;
  std::vector<std::string> remarks;  ///< What a reader must know to judge the figures.

  void Add(std::string key, double value);
  void AddAtMost(std::string key, double value, double limit);
  void AddAtLeast(std::string key, double value, double limit);
  const Figure* Find(std::string_view key) const;
};

/// Returns the value below which `fraction` of the samples lie (nearest rank); 0 for no samples.
double Percentile(std::vector<double> samples, double fraction);

double Mean(const std::vector<double>& samples);

}  // namespace graniteseam::testbed
