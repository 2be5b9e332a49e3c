#include "src/daemon/operator_cli/json_output.h"

#include <ostream>

#include "src/http/json_binding.h"

namespace graniteseam::operator_cli {
namespace {

template <class T>
void Print(std::ostream& out, const T& value) {
  out << http::ToJsonText(value, /*indent=*/2) << "\n";
}

}  // namespace

void PrintJson(std::ostream& out, const BundleAnswer& answer) { Print(out, answer); }
void PrintJson(std::ostream& out, const DiffAnswer& answer) { Print(out, answer); }
void PrintJson(std::ostream& out, const KeyAnswer& answer) { Print(out, answer); }
void PrintJson(std::ostream& out, const bundle::BundleRecord& record) { Print(out, record); }
void PrintJson(std::ostream& out, const control::Accepted& answer) { Print(out, answer); }
void PrintJson(std::ostream& out, const control::BundlesView& view) { Print(out, view); }
void PrintJson(std::ostream& out, const control::FleetView& view) { Print(out, view); }
void PrintJson(std::ostream& out, const control::ShardsView& view) { Print(out, view); }
void PrintJson(std::ostream& out, const consensus::Member& member) { Print(out, member); }
void PrintJson(std::ostream& out, const RequestStory& story) { Print(out, story); }
void PrintJson(std::ostream& out, const std::vector<LoggedEvent>& line) { Print(out, line); }
void PrintJson(std::ostream& out, const LossReport& report) { Print(out, report); }

}  // namespace graniteseam::operator_cli
