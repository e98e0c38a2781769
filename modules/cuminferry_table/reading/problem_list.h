#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One thing that is wrong with a table or with settings. */
struct table_problem {
  result_code code = result_code::kOk;
  /** Where: a JSON pointer, with line and column where the text could not be read. */
  std::string place;
  /** What is wrong and what would be accepted. */
  std::string detail;

  friend bool operator==(const table_problem&, const table_problem&) = default;
};

/** "CF103 table_out_of_range at /rows/2/weight: ...", one line for people. */
std::string DescribeProblem(const table_problem& problem);

/** Collects all problems of one text, so that an operator mends a file in one
    round and not in one round per mistake. */
class problem_list {
 public:
  /** Most problems kept; a text of nothing but mistakes costs no more memory. */
  static constexpr std::size_t kBound = 1000;

  explicit problem_list(std::vector<table_problem>& into) : problems_(into), first_(into.size()) {}

  void Add(result_code code, std::string place, std::string detail);
  void AddAll(const std::vector<table_problem>& problems);

  /** Whether anything was added since this list was made. */
  bool empty() const { return problems_.size() == first_; }
  /** The first problem as a status; OK where there is none. */
  absl::Status AsStatus() const;

 private:
  std::vector<table_problem>& problems_;
  std::size_t first_;
};

}  // namespace cuminferry
