#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace cuminferry::ctl {

/** Prints rows of text in aligned columns with two spaces between them. */
class text_grid {
 public:
  void AddRow(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
  /** Adds the first row, which Print() underlines. */
  void AddHeading(std::vector<std::string> cells);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::size_t> Widths() const;

  std::vector<std::vector<std::string>> rows_;
  bool has_heading_ = false;
};

}  // namespace cuminferry::ctl
