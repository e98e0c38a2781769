#include "ctl/output/text_grid.h"

#include <algorithm>

namespace cuminferry::ctl {
namespace {

constexpr std::size_t kColumnGap = 2;

void PrintRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths,
              std::ostream& out) {
  std::string line;
  for (std::size_t column = 0; column < cells.size(); ++column) {
    line += cells[column];
    if (column + 1 < cells.size()) {
      line.append(widths[column] + kColumnGap - cells[column].size(), ' ');
    }
  }
  out << line << "\n";
}

}  // namespace

void text_grid::AddHeading(std::vector<std::string> cells) {
  rows_.insert(rows_.begin(), std::move(cells));
  has_heading_ = true;
}

std::vector<std::size_t> text_grid::Widths() const {
  std::vector<std::size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  return widths;
}

void text_grid::Print(std::ostream& out) const {
  const std::vector<std::size_t> widths = Widths();
  for (std::size_t row = 0; row < rows_.size(); ++row) {
    PrintRow(rows_[row], widths, out);
    if (row == 0 && has_heading_) {
      std::vector<std::string> rule;
      for (const std::size_t width : widths) {
        rule.emplace_back(width, '-');
      }
      PrintRow(rule, widths, out);
    }
  }
}

}  // namespace cuminferry::ctl
