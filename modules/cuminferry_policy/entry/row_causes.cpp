#include "cuminferry_policy/entry/row_causes.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Rounds of coordinate descent at each window; it goes on from the last fit.
constexpr int kRounds = 4;
// For a fit anew without one of the rows.
constexpr int kRoundsAnew = 12;
// Added to each row's own square: rows that have hardly run get no calls.
constexpr double kRidge = 1e-3;
// Windows read before anything is taken for a cause: fewer than this, any few numbers
// can be explained by any row.
constexpr double kLeastWindows = 4.0;
// Windows after which a row that is no cause is known to be none.
constexpr double kKnownWindows = 50.0;
constexpr std::size_t kNone = row_causes::kMostRows;

}  // namespace

std::size_t row_causes::IndexOf(std::string_view row, bool add) {
  const auto found = std::find(rows_.begin(), rows_.end(), row);
  if (found != rows_.end()) {
    return static_cast<std::size_t>(found - rows_.begin());
  }
  if (!add || rows_.size() >= kMostRows) {
    return kNone;
  }
  rows_.emplace_back(row);
  for (by_row& line : squares_) {
    line.push_back(0.0);
  }
  squares_.emplace_back(rows_.size(), 0.0);
  for (window& each : pending_) {
    each.runs.push_back(0.0);
  }
  for (auto& [name, called] : called_) {
    called.products.push_back(0.0);
    called.fitted.push_back(0.0);
    called.caused.push_back(0.0);
  }
  return rows_.size() - 1;
}

void row_causes::Advance(instant now) {
  const duration waited = now - pending_from_;
  if (pending_.empty() || waited >= 2 * kWindow * kMostPending) {
    // The first, or after a time in which nothing came, which tells nothing.
    pending_.clear();
    pending_from_ = now;
    pending_.emplace_back().runs.resize(rows_.size());
  }
  while (now >= pending_from_ + kWindow * static_cast<std::int64_t>(pending_.size())) {
    pending_.emplace_back().runs.resize(rows_.size());
    if (pending_.size() > kMostPending) {
      ReadOldest();
    }
  }
  while (pending_.size() > 1 && (starts_.empty() || *starts_.begin() >= pending_from_ + kWindow)) {
    ReadOldest();
  }
}

void row_causes::ReadOldest() {
  const window oldest = std::move(pending_.front());
  pending_.pop_front();
  pending_from_ += kWindow;
  const bool idle =
      std::all_of(oldest.runs.begin(), oldest.runs.end(), [](double runs) { return runs == 0.0; });
  if (idle && oldest.calls.empty()) {
    return;
  }
  windows_read_ = kKept * windows_read_ + 1.0;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    for (std::size_t j = 0; j < rows_.size(); ++j) {
      squares_[i][j] = kKept * squares_[i][j] + oldest.runs[i] * oldest.runs[j];
    }
  }
  for (auto& [name, called] : called_) {
    const auto at = oldest.calls.find(name);
    const double calls = at == oldest.calls.end() ? 0.0 : at->second;
    called.square = kKept * called.square + calls * calls;
    for (std::size_t i = 0; i < rows_.size(); ++i) {
      called.products[i] = kKept * called.products[i] + calls * oldest.runs[i];
    }
    FindCauses(called);
  }
}

// Least squares without negative numbers, by coordinate descent.
void row_causes::Fit(const called_row& called, std::size_t without, by_row& calls) const {
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    if (i == without) {
      calls[i] = 0.0;
      continue;
    }
    double rest = called.products[i];
    for (std::size_t j = 0; j < rows_.size(); ++j) {
      rest -= j == i ? 0.0 : squares_[i][j] * calls[j];
    }
    calls[i] = std::max(0.0, rest / (squares_[i][i] + kRidge));
  }
}

// Sum over windows of the square of the calls that the fit doesn't explain.
double row_causes::Unexplained(const called_row& called, const by_row& calls) const {
  double sum = called.square;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    double along = -2.0 * called.products[i];
    for (std::size_t j = 0; j < rows_.size(); ++j) {
      along += squares_[i][j] * calls[j];
    }
    sum += calls[i] * along;
  }
  return std::max(0.0, sum);
}

void row_causes::FindCauses(called_row& called) const {
  for (int round = 0; round < kRounds; ++round) {
    Fit(called, kNone, called.fitted);
  }
  const double with_all = Unexplained(called, called.fitted);
  const double mean = with_all / std::max(1.0, windows_read_);
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    called.caused[i] = 0.0;
    if (called.fitted[i] < kLeastCalls || windows_read_ < kLeastWindows) {
      continue;
    }
    by_row others = called.fitted;
    for (int round = 0; round < kRoundsAnew; ++round) {
      Fit(called, i, others);
    }
    if (Unexplained(called, others) - with_all > kLeastEvidence * mean) {
      called.caused[i] = called.fitted[i];
    }
  }
}

void row_causes::OnRunStart(std::string_view row, instant now) {
  Advance(now);
  if (IndexOf(row, true) != kNone) {
    starts_.insert(now);
  }
}

void row_causes::OnRunEnd(std::string_view row, instant started, instant now) {
  Advance(now);
  const std::size_t index = IndexOf(row, false);
  const auto running = starts_.find(started);
  if (index == kNone || running == starts_.end()) {
    return;
  }
  starts_.erase(running);
  // A run that began and ended at one moment fell into one window.
  const double whole = std::max(ToSeconds(now - started), 1e-6);
  instant began = pending_from_;
  for (window& each : pending_) {
    const instant ended = began + kWindow;
    const duration within = std::min(now, ended) - std::max(started, began);
    each.runs[index] += std::max(0.0, ToSeconds(within)) / whole;
    began = ended;
  }
}

void row_causes::OnCall(std::string_view called, instant now) {
  Advance(now);
  if (called_.find(called) == called_.end()) {
    const by_row none(rows_.size(), 0.0);
    called_.emplace(std::string(called),
                    called_row{.products = none, .fitted = none, .caused = none});
  }
  pending_.back().calls[std::string(called)] += 1.0;
}

void row_causes::OnSentByClients(std::string_view row) {
  const auto taken_for_calls = called_.find(row);
  if (taken_for_calls != called_.end()) {
    called_.erase(taken_for_calls);
  }
}

double row_causes::CallsPerRun(std::string_view row, std::string_view called) const {
  const auto at = called_.find(called);
  const auto found = std::find(rows_.begin(), rows_.end(), row);
  if (at == called_.end() || found == rows_.end()) {
    return 0.0;
  }
  return at->second.caused[static_cast<std::size_t>(found - rows_.begin())];
}

std::map<std::string, double> row_causes::CalledBy(std::string_view row) const {
  std::map<std::string, double> found;
  for (const auto& [name, called] : called_) {
    const double calls = CallsPerRun(row, name);
    if (calls > 0.0) {
      found.emplace(name, calls);
    }
  }
  return found;
}

std::vector<std::string> row_causes::called_rows() const {
  std::vector<std::string> names;
  for (const auto& [name, called] : called_) {
    names.push_back(name);
  }
  return names;
}

bool row_causes::IsKnown(std::string_view row) const {
  return called_.empty() || windows_read_ >= kKnownWindows || !CalledBy(row).empty();
}

}  // namespace cuminferry
