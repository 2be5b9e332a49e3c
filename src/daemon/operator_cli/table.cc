#include "src/daemon/operator_cli/table.h"

#include <algorithm>
#include <ostream>
#include <utility>

#include "src/runtime/json_text.h"

namespace graniteseam::operator_cli {

Table::Table(std::vector<std::string> header) : rows_{std::move(header)} {}

void Table::AddRow(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  for (std::string& cell : cells) {
    // What a control process or bundle says must not steer the operator's terminal.
    cell = cell.empty() ? "-" : runtime::EscapeControlCharacters(cell);
  }
  rows_.push_back(std::move(cells));
}

void Table::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      out << row[column];
      const bool last = column + 1 == row.size();
      out << (last ? "\n" : std::string(widths[column] - row[column].size() + 2, ' '));
    }
  }
}

}  // namespace graniteseam::operator_cli
