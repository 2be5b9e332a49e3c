/// @file
/// Plots of an experiment's series, drawn by gnuplot.
#pragma once

#include <string>
#include <vector>

#include "graniteseam/common/error.h"
#include "testbed/measurement/measurement.h"

namespace graniteseam::testbed {

/// Writes one data file and one gnuplot script for each pair of axis labels into `folder`, and
/// draws each as an SVG file.
/// @return the paths of the SVG files; kUnavailable when gnuplot can not be run.
Result<std::vector<std::string>> DrawPlots(const std::string& experiment,
                                           const std::vector<Series>& series,
                                           const std::string& folder);

}  // namespace graniteseam::testbed
