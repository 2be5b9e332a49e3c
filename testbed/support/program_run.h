/// @file
/// What the main functions of the stand-ins share.
#pragma once

#include <functional>
#include <string>

#include "graniteseam/common/error.h"
#include "src/runtime/log.h"
#include "src/runtime/stop_signals.h"

namespace graniteseam::testbed {

using ProgramWork = std::function<Result<void>(runtime::StopSignals&, runtime::Logger const&)>;

/// Runs a program's work on the calling thread, which must be its main thread before any other was
/// started, and logs the error that it ends with.
/// @param name under which the program logs.
/// @return the exit code.
auto run_program(std::string const& name, ProgramWork const& work) -> int;

}  // namespace graniteseam::testbed
