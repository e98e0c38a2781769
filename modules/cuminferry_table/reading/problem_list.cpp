#include "cuminferry_table/reading/problem_list.h"

#include <utility>

namespace cuminferry {

std::string DescribeProblem(const table_problem& problem) {
  const result_code_info& info = DescribeResultCode(problem.code);
  std::string line = "CF" + std::to_string(static_cast<int>(problem.code)) + " ";
  line += info.name;
  line += " at " + (problem.location.empty() ? std::string("the top") : problem.location);
  return line + ": " + problem.detail;
}

void problem_list::Add(result_code code, std::string location, std::string detail) {
  if (problems_.size() - initial_size_ < kMaxProblems) {
    problems_.push_back({code, std::move(location), std::move(detail)});
  }
}

void problem_list::AddAll(const std::vector<table_problem>& problems) {
  for (const table_problem& problem : problems) {
    Add(problem.code, problem.location, problem.detail);
  }
}

absl::Status problem_list::AsStatus() const {
  if (empty()) {
    return absl::OkStatus();
  }
  const table_problem& problem = problems_[initial_size_];
  const std::string location = problem.location.empty() ? std::string("the top") : problem.location;
  return MakeStatus(problem.code, "at " + location + ": " + problem.detail);
}

}  // namespace cuminferry
