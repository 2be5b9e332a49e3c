/// @file
/// What an experiment is, and the table of all of them.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "graniteseam/common/error.h"
#include "graniteseam/common/time.h"
#include "testbed/measurement/measurement.h"

namespace graniteseam::testbed {

/// Which decisions an experiment runs on.
enum class Way {
  kShipped,  ///< The code that the programs run.
  kSimple,   ///< Consistent hashing without load, random choice, no allotments, retry always.
};

/// What drives the decisions.
enum class Driver {
  kFleet,    ///< Real processes and sockets on this machine.
  kVirtual,  ///< The same decision code in virtual time.
};

std::string_view DriverName(Driver driver);

/// How to run an experiment. Zero means the experiment's own default.
struct RunOptions {
  std::uint64_t seed = 1;
  std::uint32_t repetitions = 0;
  std::uint32_t nodes = 0;
  std::uint32_t shards = 0;
  std::uint32_t duration_s = 0;
  std::string program_folder;  ///< Where the daemons' and test programs are.
};

/// How long a run measures.
/// @param own_s the experiment's own default.
inline auto run_length(RunOptions const& options, std::uint32_t own_s) -> Duration {
  return std::chrono::seconds(options.duration_s == 0 ? own_s : options.duration_s);
}

/// Tells the person at the terminal how far a run is.
using Progress = std::function<void(const std::string& what, double fraction_done)>;

/// One question with a way to measure the answer. Stateless: each Measure() stands alone.
class Experiment {
 public:
  virtual ~Experiment() = default;

  virtual std::string_view name() const = 0;
  virtual std::string_view question() const = 0;
  virtual Driver driver() const = 0;
  /// Whether Way::kSimple means anything here.
  virtual bool HasBaseline() const { return false; }
  virtual Result<Measurement> Measure(const RunOptions& options, Way way,
                                      const Progress& progress) const = 0;
};

using ExperimentList = std::vector<std::unique_ptr<Experiment>>;

/// The experiment of that name under that driver, or nullptr.
const Experiment* FindExperiment(const ExperimentList& list, std::string_view name, Driver driver);

/// Measures the shipped way and, on request, the simple way, whose values it sets beside.
Result<Measurement> RunExperiment(const Experiment& experiment, const RunOptions& options,
                                  bool baseline, const Progress& progress);

}  // namespace graniteseam::testbed
