#include "cuminferry_policy/entry/row_causes.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Rounds of coordinate descent at each window's end; it goes on from the last fit.
constexpr int kRounds = 4;
// Added to each row's own square: rows that have hardly run get no rate.
constexpr double kRidge = 1e-3;

double Seconds(duration span) { return static_cast<double>(span.count()) / 1e6; }

}  // namespace

row_causes::row_runs* row_causes::Find(std::string_view row, bool add) {
  const auto found = std::find_if(rows_.begin(), rows_.end(),
                                  [row](const row_runs& known) { return known.name == row; });
  if (found != rows_.end()) {
    return &*found;
  }
  if (!add || rows_.size() >= kMostRows) {
    return nullptr;
  }
  rows_.push_back({.name = std::string(row)});
  for (std::vector<double>& line : squares_) {
    line.push_back(0.0);
  }
  squares_.emplace_back(rows_.size(), 0.0);
  for (auto& [name, called] : called_) {
    called.products.push_back(0.0);
    called.rates.push_back(0.0);
  }
  return &rows_.back();
}

void row_causes::Advance(instant now) {
  if (advanced_to_ == instant{}) {
    window_began_ = now;
  }
  const double passed = advanced_to_ == instant{} ? 0.0 : Seconds(now - advanced_to_);
  advanced_to_ = now;
  for (row_runs& row : rows_) {
    row.seconds += passed * row.running;
  }
  if (now - window_began_ >= kWindow) {
    CloseWindow();
    window_began_ = now;
  }
}

void row_causes::CloseWindow() {
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    for (std::size_t j = 0; j < rows_.size(); ++j) {
      squares_[i][j] = kKept * squares_[i][j] + rows_[i].seconds * rows_[j].seconds;
    }
  }
  for (auto& [name, called] : called_) {
    for (std::size_t i = 0; i < rows_.size(); ++i) {
      called.products[i] = kKept * called.products[i] + called.in_window * rows_[i].seconds;
    }
    called.in_window = 0.0;
    Fit(called);
  }
  for (row_runs& row : rows_) {
    row.ran_seconds = kKept * row.ran_seconds + row.seconds;
    row.ended *= kKept;
    row.seconds = 0.0;
  }
}

// Least squares without negative rates, by coordinate descent.
void row_causes::Fit(called_row& called) const {
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < rows_.size(); ++i) {
      double rest = called.products[i];
      for (std::size_t j = 0; j < rows_.size(); ++j) {
        rest -= j == i ? 0.0 : squares_[i][j] * called.rates[j];
      }
      called.rates[i] = std::max(0.0, rest / (squares_[i][i] + kRidge));
    }
  }
}

void row_causes::OnRunStart(std::string_view row, instant now) {
  Advance(now);
  if (row_runs* runs = Find(row, true)) {
    ++runs->running;
    ++running_total_;
  }
}

void row_causes::OnRunEnd(std::string_view row, instant now) {
  Advance(now);
  row_runs* runs = Find(row, false);
  if (runs != nullptr && runs->running > 0) {
    --runs->running;
    --running_total_;
    runs->ended += 1.0;
  }
}

void row_causes::OnCall(std::string_view called, instant now) {
  Advance(now);
  auto at = called_.find(called);
  if (at == called_.end()) {
    at = called_
             .emplace(std::string(called),
                      called_row{.products = std::vector<double>(rows_.size(), 0.0),
                                 .rates = std::vector<double>(rows_.size(), 0.0)})
             .first;
  }
  at->second.in_window += 1.0;
}

double row_causes::CallsPerRun(std::string_view row, std::string_view called) const {
  const auto at = called_.find(called);
  if (at == called_.end()) {
    return 0.0;
  }
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    if (rows_[i].name == row && rows_[i].ended > 0.0) {
      return at->second.rates[i] * rows_[i].ran_seconds / rows_[i].ended;
    }
  }
  return 0.0;
}

std::map<std::string, double> row_causes::CalledBy(std::string_view row) const {
  std::map<std::string, double> found;
  for (const auto& [name, called] : called_) {
    const double calls = CallsPerRun(row, name);
    if (calls >= kLeastCalls) {
      found.emplace(name, calls);
    }
  }
  return found;
}

}  // namespace cuminferry
