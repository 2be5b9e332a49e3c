/// @file
/// Plain text tables with aligned columns.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace graniteseam::operator_cli {

class Table {
 public:
  explicit Table(std::vector<std::string> header);

  /// @param cells as many as the header has.
  void AddRow(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace graniteseam::operator_cli
