#include "cuminferry_policy/entry/row_causes.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Credit of a row that has not been seen to call: small, not zero, or it could
// never be learned.
constexpr double kPrior = 0.2;

}  // namespace

void row_causes::OnRunStart(std::string_view row) {
  auto at = rows_.find(row);
  if (at == rows_.end()) {
    at = rows_.emplace(std::string(row), row_runs{}).first;
  }
  row_runs& runs = at->second;
  ++runs.running;
  ++running_total_;
  runs.runs += 1.0;
  if (runs.runs > kRunsRemembered) {
    const double keep = kRunsRemembered / runs.runs;
    runs.runs *= keep;
    for (auto& [called, count] : runs.calls) {
      count *= keep;
    }
  }
}

void row_causes::OnRunEnd(std::string_view row) {
  const auto at = rows_.find(row);
  if (at != rows_.end() && at->second.running > 0) {
    --at->second.running;
    --running_total_;
  }
}

void row_causes::OnCall(std::string_view called) {
  const auto weight_of = [&](const row_runs& runs) {
    const auto known = runs.calls.find(called);
    const double calls = known == runs.calls.end() ? 0.0 : known->second;
    return runs.running * (calls + kPrior) / (runs.runs + 1.0);
  };
  double sum = 0.0;
  for (const auto& [row, runs] : rows_) {
    sum += weight_of(runs);
  }
  if (sum <= 0.0) {
    return;
  }
  for (auto& [row, runs] : rows_) {
    const double credit = weight_of(runs) / sum;
    if (credit > 0.0) {
      runs.calls[std::string(called)] += credit;
    }
  }
}

double row_causes::CallsPerRun(std::string_view row, std::string_view called) const {
  const auto at = rows_.find(row);
  if (at == rows_.end() || at->second.runs <= 0.0) {
    return 0.0;
  }
  const auto known = at->second.calls.find(called);
  return known == at->second.calls.end() ? 0.0 : known->second / at->second.runs;
}

std::map<std::string, double> row_causes::CalledBy(std::string_view row) const {
  std::map<std::string, double> called;
  const auto at = rows_.find(row);
  if (at == rows_.end() || at->second.runs <= 0.0) {
    return called;
  }
  for (const auto& [name, count] : at->second.calls) {
    const double calls = count / at->second.runs;
    if (calls >= kLeastCalls) {
      called.emplace(name, calls);
    }
  }
  return called;
}

}  // namespace cuminferry
