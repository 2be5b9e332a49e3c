#include "testbed/fleet_session/process_cost.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace graniteseam::testbed {

std::optional<ProcessCost> CostOf(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string text;
  if (!std::getline(file, text)) return std::nullopt;
  // The name in parentheses may hold spaces; the fields after it are numbers (proc(5)).
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  constexpr int kUserTicks = 11;  // Counted from the state, the first field after the name.
  constexpr int kResidentPages = 21;
  constexpr double kBytesPerMb = 1e6;
  const auto ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
  const auto page_bytes = static_cast<double>(sysconf(_SC_PAGESIZE));
  ProcessCost cost;
  std::string field;
  for (int index = 0; fields >> field; ++index) {
    if (index == kUserTicks || index == kUserTicks + 1) {
      cost.processor_s += std::stod(field) / ticks_per_second;
    }
    if (index == kResidentPages) cost.resident_mb = std::stod(field) * page_bytes / kBytesPerMb;
  }
  return cost;
}

}  // namespace graniteseam::testbed
