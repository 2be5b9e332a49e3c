/// @file
/// One machine of a fleet whose programs take their settings from filled templates.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace graniteseam::testbed {

/// Addresses are "ip:port".
struct FleetMachine {
  std::uint32_t number = 0;
  std::string ip;
  bool first_start = false;  ///< Of the whole fleet, on empty disks.
  std::vector<std::string> seeds;
  std::uint16_t first_port = 0;  ///< Of those for what the programs say to each other.
  std::uint16_t last_port = 0;
  std::string control_address;  ///< For instances and operators.
  std::string front_address;    ///< For callers.
  std::string ready_address;    ///< For /ready.
  std::string data_folder;
  std::uint32_t memory_mb = 256;       ///< Of each process.
  std::uint32_t losses_tolerated = 1;  ///< Control processes that may be lost with their disks.
};

}  // namespace graniteseam::testbed
