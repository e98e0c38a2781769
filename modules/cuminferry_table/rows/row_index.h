#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "cuminferry_table/rows/request_row.h"

namespace cuminferry {

/** Finds the first row that matches a request, in a time that does not grow with the number of
    rows. The index has one tree of path segments (a trie) for each method.

    Memory: about 100 bytes for each segment that a row does not share with an earlier one.
*/
class row_index {
 public:
  explicit row_index(std::span<const request_row> rows);
  ~row_index();

  //============================================================================
  /** Returns the position of the first row that matches. Allocates no memory. */
  std::optional<std::uint32_t> Find(std::string_view method, std::string_view path) const;

  /** Returns the position of an earlier row that matches every path of this row, which makes this
      row unreachable. */
  std::optional<std::uint32_t> FindShadowing(std::uint32_t position) const;

  std::size_t rows() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
