#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "cuminferry_table/rows/request_row.h"

namespace cuminferry {

/** Finds the first row that matches a request in a time that does not grow with
    the number of rows: a tree of path segments for each method.

    Memory: about 100 bytes for each segment that no earlier row has.
*/
class row_index {
 public:
  explicit row_index(std::span<const request_row> rows);
  ~row_index();

  //============================================================================
  /** The position of the first row that matches; allocates nothing. */
  std::optional<std::uint32_t> Find(std::string_view method, std::string_view path) const;

  /** The position of an earlier row that matches every path of this row, so
      that the row is never taken. */
  std::optional<std::uint32_t> FindShadowing(std::uint32_t position) const;

  std::size_t rows() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
