/// @file
/// What the soak is told on its command line.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "testbed/soak/fault_plan.h"
#include "testbed/soak/run_shape.h"

namespace graniteseam::testbed::soak {

struct Arguments {
    std::uint64_t first_seed = 0;
    std::uint64_t seeds = 1;
    std::uint64_t parallel = 1;
    std::optional<std::uint32_t> faults;
    std::set<FaultKind> only;
    std::optional<RunSize> size;
    bool crashing = false;
    bool silencing = false;
    bool starving = false;
    bool stating = false;
    bool warming = false;
    bool coordinating = false;
    bool stopping = false;
    bool rejecting = false;
    bool replacing = false;
    bool faulty_answers = false;
    bool hostile_clients = false;
    bool keep = false;
    std::optional<double> processor;
    std::string folder = "/tmp/graniteseam-soak";
    std::string programs;
    std::string templates = "platform";
};

/// Writes the usage to the standard error where it returns nothing.
auto read_arguments(int argc, char** argv) -> std::optional<Arguments>;

} // namespace graniteseam::testbed::soak
