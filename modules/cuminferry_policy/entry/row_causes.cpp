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
constexpr std::size_t kNone = row_causes::kMostKinds;

}  // namespace

std::size_t row_causes::RowIndex(std::string_view row) const {
  const auto found = std::find(rows_.begin(), rows_.end(), row);
  return found == rows_.end() ? kNone : static_cast<std::size_t>(found - rows_.begin());
}

std::size_t row_causes::KindIndex(std::size_t row, bool whole) const {
  const auto found = std::find_if(kinds_.begin(), kinds_.end(), [&](const run_kind& kind) {
    return kind.row == row && kind.whole == whole;
  });
  return found == kinds_.end() ? kNone : static_cast<std::size_t>(found - kinds_.begin());
}

std::size_t row_causes::AddKind(std::size_t row, bool whole) {
  if (kinds_.size() >= kMostKinds) {
    return kNone;
  }
  kinds_.push_back({.row = row, .whole = whole});
  for (by_kind& line : squares_) {
    line.push_back(0.0);
  }
  squares_.emplace_back(kinds_.size(), 0.0);
  for (window& each : pending_) {
    each.runs.push_back(0.0);
  }
  for (auto& [name, called] : called_) {
    called.products.push_back(0.0);
    called.fitted.push_back(0.0);
    called.caused.resize(rows_.size());
  }
  return kinds_.size() - 1;
}

void row_causes::Advance(instant now) {
  const duration waited = now - pending_from_;
  if (pending_.empty() || waited >= 2 * kWindow * kMostPending) {
    // The first, or after a time in which nothing came, which tells nothing.
    pending_.clear();
    pending_from_ = now;
    pending_.emplace_back().runs.resize(kinds_.size());
  }
  while (now >= pending_from_ + kWindow * static_cast<std::int64_t>(pending_.size())) {
    pending_.emplace_back().runs.resize(kinds_.size());
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
  for (fate_counts& fates : fates_) {
    fates = {.ended = kKept * fates.ended, .failed = kKept * fates.failed};
  }
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    for (std::size_t j = 0; j < kinds_.size(); ++j) {
      squares_[i][j] = kKept * squares_[i][j] + oldest.runs[i] * oldest.runs[j];
    }
  }
  for (auto& [name, called] : called_) {
    const auto at = oldest.calls.find(name);
    const double calls = at == oldest.calls.end() ? 0.0 : at->second;
    called.square = kKept * called.square + calls * calls;
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
      called.products[i] = kKept * called.products[i] + calls * oldest.runs[i];
    }
    FindCauses(called);
  }
}

// Least squares without negative numbers, by coordinate descent.
void row_causes::Fit(const called_row& called, std::size_t without_row, by_kind& calls) const {
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    if (kinds_[i].row == without_row) {
      calls[i] = 0.0;
      continue;
    }
    double rest = called.products[i];
    for (std::size_t j = 0; j < kinds_.size(); ++j) {
      rest -= j == i ? 0.0 : squares_[i][j] * calls[j];
    }
    calls[i] = std::max(0.0, rest / (squares_[i][i] + kRidge));
  }
}

// Sum over windows of the square of the calls that the fit doesn't explain.
double row_causes::Unexplained(const called_row& called, const by_kind& calls) const {
  double sum = called.square;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    double along = -2.0 * called.products[i];
    for (std::size_t j = 0; j < kinds_.size(); ++j) {
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
  for (std::size_t row = 0; row < rows_.size(); ++row) {
    called.caused[row] = 0.0;
    const double calls = CallsOf(row, called, mean);
    if (calls < kLeastCalls || windows_read_ < kLeastWindows) {
      continue;
    }
    by_kind others = called.fitted;
    for (int round = 0; round < kRoundsAnew; ++round) {
      Fit(called, row, others);
    }
    if (Unexplained(called, others) - with_all > kLeastEvidence * mean) {
      called.caused[row] = calls;
    }
  }
}

// Of whole runs where that is known well, else of those that are known better.
double row_causes::CallsOf(std::size_t row, const called_row& called,
                           double mean_unexplained) const {
  const std::size_t whole = KindIndex(row, true);
  const std::size_t broken_off = KindIndex(row, false);
  if (broken_off == kNone) {
    return called.fitted[whole];
  }
  const double calls = called.fitted[whole];
  const bool known = calls * calls * squares_[whole][whole] > kLeastEvidence * mean_unexplained;
  return known || squares_[whole][whole] >= squares_[broken_off][broken_off]
             ? calls
             : called.fitted[broken_off];
}

void row_causes::OnRunStart(std::string_view row, instant now) {
  Advance(now);
  if (RowIndex(row) == kNone && kinds_.size() < kMostKinds) {
    rows_.emplace_back(row);
    fates_.emplace_back();
    AddKind(rows_.size() - 1, true);
  }
  runs_begun_ += 1.0;
  if (RowIndex(row) != kNone) {
    starts_.insert(now);
  }
}

void row_causes::OnRunEnd(std::string_view row, instant started, instant now, run_fate fate) {
  Advance(now);
  const std::size_t row_index = RowIndex(row);
  const auto running = starts_.find(started);
  if (row_index == kNone || running == starts_.end()) {
    return;
  }
  starts_.erase(running);
  fates_[row_index].ended += 1.0;
  fates_[row_index].failed += fate == run_fate::kFailed ? 1.0 : 0.0;
  const bool whole = fate == run_fate::kWhole;
  std::size_t index = KindIndex(row_index, whole);
  index = index == kNone ? AddKind(row_index, whole) : index;
  if (index == kNone) {
    return;
  }
  // A run that began and ended at one moment fell into one window.
  const double length = std::max(ToSeconds(now - started), 1e-6);
  instant began = pending_from_;
  for (window& each : pending_) {
    const instant ended = began + kWindow;
    const duration within = std::min(now, ended) - std::max(started, began);
    each.runs[index] += std::max(0.0, ToSeconds(within)) / length;
    began = ended;
  }
}

void row_causes::OnCall(std::string_view called, instant now) {
  Advance(now);
  auto found = called_.find(called);
  if (found == called_.end()) {
    const by_kind none(kinds_.size(), 0.0);
    found = called_
                .emplace(std::string(called),
                         called_row{
                             .products = none, .fitted = none, .caused = by_row(rows_.size(), 0.0)})
                .first;
  }
  found->second.calls += 1.0;
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
  const std::size_t index = RowIndex(row);
  return at == called_.end() || index == kNone ? 0.0 : at->second.caused[index];
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

bool row_causes::IsCause(std::string_view row) const {
  const std::size_t index = RowIndex(row);
  return index != kNone && std::any_of(called_.begin(), called_.end(), [index](const auto& called) {
           return called.second.caused[index] > 0.0;
         });
}

// Runs whose callers left, or that were lost with their backend server, say nothing of calls:
// counted here, clients without patience had a row refused for services that it never uses.
bool row_causes::BreaksOff(std::string_view row) const {
  const std::size_t index = RowIndex(row);
  return index != kNone && fates_[index].failed > kBreaksOff * fates_[index].ended;
}

bool row_causes::MayCallUnseen(std::string_view row) const {
  return !called_.empty() && !IsCause(row) && BreaksOff(row);
}

std::map<std::string, double> row_causes::CalledByAnyRun() const {
  std::map<std::string, double> found;
  for (const auto& [name, called] : called_) {
    found.emplace(name, called.calls / std::max(1.0, runs_begun_));
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
  return called_.empty() || windows_read_ >= kKnownWindows || IsCause(row);
}

}  // namespace cuminferry
