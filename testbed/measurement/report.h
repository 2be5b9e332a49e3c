/// @file
/// Reports of experiments as JSON files and as tables for people.
#pragma once

#include <string>

#include "testbed/measurement/experiment.h"

namespace graniteseam::testbed {

/// What was run, where, and what came of it.
struct ExperimentReport {
  std::string experiment;
  std::string driver;
  std::uint64_t seed = 0;
  std::string command;      ///< The command line that gave it.
  std::string version;      ///< The program's version.
  std::string machine;      ///< Processor, cores, memory.
  double load_average = 0;  ///< One-minute load average at the start.
  double duration_s = 0;
  Measurement measurement;
};

/// Describes this machine in one line: processor, cores, memory, kernel.
std::string DescribeMachine();

/// One-minute load average of this machine, 0 when unknown.
double LoadAverage();

std::string ToJson(const ExperimentReport& report);

/// Reads a report written by ToJson(); plots' series are not read back.
/// @return kInvalidArgument when the text is not such a report.
Result<ExperimentReport> ParseReport(const std::string& json_text, const std::string& file_name);

/// A text table: each figure beside its bound, the baseline and the ratio to it.
std::string ToTable(const ExperimentReport& report);

/// A text table of the figures of two reports side by side with their ratio.
std::string CompareTable(const ExperimentReport& left, const ExperimentReport& right);

/// Rounded for people: four significant digits.
std::string FormatValue(double value);

/// "<= 1.25", ">= 0.9", or "-" without a bound.
std::string FormatBound(const Figure& figure);

}  // namespace graniteseam::testbed
