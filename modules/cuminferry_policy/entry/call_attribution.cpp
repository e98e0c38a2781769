#include "cuminferry_policy/entry/call_attribution.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

// Rounds of coordinate descent at each window, starting from the last fit.
constexpr int kDescentRounds = 4;
// Rounds of coordinate descent for a fit without one of the rows.
constexpr int kRefitRounds = 12;
// Added to the diagonal of the fit (ridge regression), so that rows that have hardly run get no
// calls.
constexpr double kRidge = 1e-3;
// Windows evaluated before calls are attributed to any row: with fewer, any row can explain any
// numbers.
constexpr double kMinWindows = 4.0;
// Windows after which a row without attributed calls is known to make none.
constexpr double kWindowsUntilKnown = 50.0;
constexpr std::size_t kNoIndex = call_attribution::kMaxRunKinds;

}  // namespace

std::size_t call_attribution::RowIndex(std::string_view row) const {
  const auto result = std::find(rows_.begin(), rows_.end(), row);
  return result == rows_.end() ? kNoIndex : static_cast<std::size_t>(result - rows_.begin());
}

std::size_t call_attribution::KindIndex(std::size_t row, bool completed) const {
  const auto result = std::find_if(kinds_.begin(), kinds_.end(), [&](const run_kind& kind) {
    return kind.row == row && kind.completed == completed;
  });
  return result == kinds_.end() ? kNoIndex : static_cast<std::size_t>(result - kinds_.begin());
}

std::size_t call_attribution::AddKind(std::size_t row, bool completed) {
  if (kinds_.size() >= kMaxRunKinds) {
    return kNoIndex;
  }
  kinds_.push_back({.row = row, .completed = completed});
  for (kind_vector& row_products : run_products_) {
    row_products.push_back(0.0);
  }
  run_products_.emplace_back(kinds_.size(), 0.0);
  for (window& each : pending_) {
    each.runs.push_back(0.0);
  }
  for (auto& [name, called] : called_) {
    called.products.push_back(0.0);
    called.fitted.push_back(0.0);
    called.attributed.resize(rows_.size());
  }
  return kinds_.size() - 1;
}

void call_attribution::Advance(instant now) {
  const duration elapsed = now - pending_from_;
  if (pending_.empty() || elapsed >= 2 * kWindow * kMaxPendingWindows) {
    // The first window, or the first one after an idle time, which carries no information.
    pending_.clear();
    pending_from_ = now;
    pending_.emplace_back().runs.resize(kinds_.size());
  }
  while (now >= pending_from_ + kWindow * static_cast<std::int64_t>(pending_.size())) {
    pending_.emplace_back().runs.resize(kinds_.size());
    if (pending_.size() > kMaxPendingWindows) {
      EvaluateOldest();
    }
  }
  while (pending_.size() > 1 && (starts_.empty() || *starts_.begin() >= pending_from_ + kWindow)) {
    EvaluateOldest();
  }
}

void call_attribution::EvaluateOldest() {
  const window oldest = std::move(pending_.front());
  pending_.pop_front();
  pending_from_ += kWindow;
  const bool idle =
      std::all_of(oldest.runs.begin(), oldest.runs.end(), [](double runs) { return runs == 0.0; });
  if (idle && oldest.calls.empty()) {
    return;
  }
  windows_evaluated_ = kWindowDecay * windows_evaluated_ + 1.0;
  for (outcome_counts& counts : outcomes_) {
    counts = {.finished = kWindowDecay * counts.finished, .failed = kWindowDecay * counts.failed};
  }
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    for (std::size_t j = 0; j < kinds_.size(); ++j) {
      run_products_[i][j] = kWindowDecay * run_products_[i][j] + oldest.runs[i] * oldest.runs[j];
    }
  }
  for (auto& [name, called] : called_) {
    const auto at = oldest.calls.find(name);
    const double calls = at == oldest.calls.end() ? 0.0 : at->second;
    called.calls_squared = kWindowDecay * called.calls_squared + calls * calls;
    called.ended *= kWindowDecay;
    called.failed *= kWindowDecay;
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
      called.products[i] = kWindowDecay * called.products[i] + calls * oldest.runs[i];
    }
    AttributeCalls(called);
  }
}

// One round of coordinate descent for a non-negative least-squares fit.
void call_attribution::DescendOnce(const called_row& called, std::size_t without_row,
                                   kind_vector& calls) const {
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    if (kinds_[i].row == without_row) {
      calls[i] = 0.0;
      continue;
    }
    double residual = called.products[i];
    for (std::size_t j = 0; j < kinds_.size(); ++j) {
      residual -= j == i ? 0.0 : run_products_[i][j] * calls[j];
    }
    calls[i] = std::max(0.0, residual / (run_products_[i][i] + kRidge));
  }
}

// Sum over windows of the squared residuals of the fit.
double call_attribution::ResidualSquares(const called_row& called, const kind_vector& calls) const {
  double sum = called.calls_squared;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    double gradient = -2.0 * called.products[i];
    for (std::size_t j = 0; j < kinds_.size(); ++j) {
      gradient += run_products_[i][j] * calls[j];
    }
    sum += calls[i] * gradient;
  }
  return std::max(0.0, sum);
}

void call_attribution::AttributeCalls(called_row& called) const {
  for (int round = 0; round < kDescentRounds; ++round) {
    DescendOnce(called, kNoIndex, called.fitted);
  }
  const double residual_with_all = ResidualSquares(called, called.fitted);
  const double mean_square = residual_with_all / std::max(1.0, windows_evaluated_);
  for (std::size_t row = 0; row < rows_.size(); ++row) {
    called.attributed[row] = 0.0;
    const double calls = FittedCallsOf(row, called, mean_square);
    if (calls < kMinCallsPerRun || windows_evaluated_ < kMinWindows ||
        CompletesDespiteFailures(row, called, calls)) {
      continue;
    }
    kind_vector without_row = called.fitted;
    for (int round = 0; round < kRefitRounds; ++round) {
      DescendOnce(called, row, without_row);
    }
    if (ResidualSquares(called, without_row) - residual_with_all > kMinEvidence * mean_square) {
      called.attributed[row] = calls;
    }
  }
}

// Whether far fewer runs of a row failed than would have with this number of calls in each.
bool call_attribution::CompletesDespiteFailures(std::size_t row, const called_row& called,
                                                double calls) const {
  if (called.ended <= 0.0) {
    return false;
  }
  const double success = 1.0 - std::min(1.0, called.failed / called.ended);
  const double expected = outcomes_[row].finished * (1.0 - std::pow(success, calls));
  const double failed = outcomes_[row].failed;
  const double min_missing = failed > 0.0 ? kMinMissingFailures : kMinMissingOfNone;
  return expected - failed >= min_missing && failed < kMaxOccurredFailures * expected;
}

// Calls in one completed run if that figure is significant, else the figure of the kind of run,
// completed or aborted, with more data.
double call_attribution::FittedCallsOf(std::size_t row, const called_row& called,
                                       double mean_residual) const {
  const std::size_t completed = KindIndex(row, true);
  const std::size_t aborted = KindIndex(row, false);
  if (aborted == kNoIndex) {
    return called.fitted[completed];
  }
  const double calls = called.fitted[completed];
  const bool is_significant =
      calls * calls * run_products_[completed][completed] > kMinEvidence * mean_residual;
  return is_significant || run_products_[completed][completed] >= run_products_[aborted][aborted]
             ? calls
             : called.fitted[aborted];
}

void call_attribution::OnRunStart(std::string_view row, instant now) {
  Advance(now);
  if (RowIndex(row) == kNoIndex && kinds_.size() < kMaxRunKinds) {
    rows_.emplace_back(row);
    outcomes_.emplace_back();
    AddKind(rows_.size() - 1, true);
  }
  runs_started_ += 1.0;
  if (RowIndex(row) != kNoIndex) {
    starts_.insert(now);
  }
}

void call_attribution::OnRunEnd(std::string_view row, instant started, instant now,
                                run_outcome outcome) {
  Advance(now);
  const std::size_t row_index = RowIndex(row);
  const auto running = starts_.find(started);
  if (row_index == kNoIndex || running == starts_.end()) {
    return;
  }
  starts_.erase(running);
  outcomes_[row_index].finished += 1.0;
  outcomes_[row_index].failed += outcome == run_outcome::kFailed ? 1.0 : 0.0;
  const bool completed = outcome == run_outcome::kCompleted;
  std::size_t index = KindIndex(row_index, completed);
  index = index == kNoIndex ? AddKind(row_index, completed) : index;
  if (index == kNoIndex) {
    return;
  }
  // A run that starts and finishes at the same instant falls into one window.
  const double run_seconds = std::max(ToSeconds(now - started), 1e-6);
  instant window_start = pending_from_;
  for (window& each : pending_) {
    const instant window_end = window_start + kWindow;
    const duration overlap = std::min(now, window_end) - std::max(started, window_start);
    each.runs[index] += std::max(0.0, ToSeconds(overlap)) / run_seconds;
    window_start = window_end;
  }
}

void call_attribution::OnCall(std::string_view called, instant now) {
  Advance(now);
  auto result = called_.find(called);
  if (result == called_.end()) {
    const kind_vector zeros(kinds_.size(), 0.0);
    result =
        called_
            .emplace(std::string(called), called_row{.products = zeros,
                                                     .fitted = zeros,
                                                     .attributed = row_vector(rows_.size(), 0.0)})
            .first;
  }
  result->second.calls += 1.0;
  pending_.back().calls[std::string(called)] += 1.0;
}

void call_attribution::OnCallEnd(std::string_view called, bool failed) {
  const auto result = called_.find(called);
  if (result != called_.end()) {
    result->second.ended += 1.0;
    result->second.failed += failed ? 1.0 : 0.0;
  }
}

void call_attribution::OnSentByClients(std::string_view row) {
  const auto client_requests = called_.find(row);
  if (client_requests != called_.end()) {
    called_.erase(client_requests);
  }
}

double call_attribution::CallsPerRun(std::string_view row, std::string_view called) const {
  const auto at = called_.find(called);
  const std::size_t index = RowIndex(row);
  return at == called_.end() || index == kNoIndex ? 0.0 : at->second.attributed[index];
}

std::map<std::string, double> call_attribution::CalleesOf(std::string_view row) const {
  std::map<std::string, double> result;
  for (const auto& [name, called] : called_) {
    const double calls = CallsPerRun(row, name);
    if (calls > 0.0) {
      result.emplace(name, calls);
    }
  }
  return result;
}

bool call_attribution::MakesCalls(std::string_view row) const {
  const std::size_t index = RowIndex(row);
  return index != kNoIndex &&
         std::any_of(called_.begin(), called_.end(),
                     [index](const auto& called) { return called.second.attributed[index] > 0.0; });
}

// Runs whose callers left, or that were lost with their backend server, give no information about
// calls. When they were counted here, impatient clients caused a row to be refused because of
// services that it never uses.
bool call_attribution::FailsOften(std::string_view row) const {
  const std::size_t index = RowIndex(row);
  return index != kNoIndex &&
         outcomes_[index].failed > kOftenFailingShare * outcomes_[index].finished;
}

bool call_attribution::MayMakeUnattributedCalls(std::string_view row) const {
  return !called_.empty() && !MakesCalls(row) && FailsOften(row);
}

std::map<std::string, double> call_attribution::MeanCallsPerRun() const {
  std::map<std::string, double> result;
  for (const auto& [name, called] : called_) {
    result.emplace(name, called.calls / std::max(1.0, runs_started_));
  }
  return result;
}

std::vector<std::string> call_attribution::called_rows() const {
  std::vector<std::string> names;
  for (const auto& [name, called] : called_) {
    names.push_back(name);
  }
  return names;
}

bool call_attribution::KnowsCallsOf(std::string_view row) const {
  return called_.empty() || windows_evaluated_ >= kWindowsUntilKnown || MakesCalls(row);
}

}  // namespace cuminferry
