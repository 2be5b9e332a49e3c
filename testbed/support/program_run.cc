#include "testbed/support/program_run.h"

#include <cstdlib>

namespace graniteseam::testbed {

auto run_program(std::string const& name, ProgramWork const& work) -> int {
  runtime::Logger const log(name);
  runtime::StopSignals stop;
  auto const outcome = Attempt([&] { return work(stop, log); });
  if (auto const* error = ErrorOf(outcome)) {
    log.Error(*error);
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

}  // namespace graniteseam::testbed
