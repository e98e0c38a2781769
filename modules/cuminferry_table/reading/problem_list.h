#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One problem of a table or of settings. */
struct table_problem {
  result_code code = result_code::kOk;
  /** A JSON pointer to the value, or line and column where the text is not JSON. Empty for the
      whole text. */
  std::string location;
  /** What is wrong and what would be accepted. */
  std::string detail;

  friend bool operator==(const table_problem&, const table_problem&) = default;
};

/** Returns one line for operators: "CF103 table_out_of_range at /rows/2/weight: ...". */
std::string DescribeProblem(const table_problem& problem);

/** Collects all problems of one text, so that an operator can fix all mistakes of a file at
    once. */
class problem_list {
 public:
  /** Maximum number of problems that are stored. Bounds the memory for a text in which every item
      is wrong. */
  static constexpr std::size_t kMaxProblems = 1000;

  explicit problem_list(std::vector<table_problem>& destination)
      : problems_(destination), initial_size_(destination.size()) {}

  void Add(result_code code, std::string location, std::string detail);
  void AddAll(const std::vector<table_problem>& problems);

  /** Whether anything was added since this list was made. */
  bool empty() const { return problems_.size() == initial_size_; }
  /** Returns the first problem as a status; OK where there is none. */
  absl::Status AsStatus() const;

 private:
  std::vector<table_problem>& problems_;
  std::size_t initial_size_;
};

}  // namespace cuminferry
