#include "relay/repeat_fleet.h"

#include <algorithm>
#include <numeric>

namespace cuminferry::testing {
namespace {

constexpr int kMaxSends = 4;

}  // namespace

repeat_budget repeat_fleet::MakeBudget(instant now) {
  return {{.ratio = kRatio, .allowance = kAllowance, .window = kWindow}, now};
}

std::size_t repeat_fleet::AddTarget(double load_share) {
  targets_.push_back({.budget = MakeBudget(now_), .load_share = load_share});
  return targets_.size() - 1;
}

void repeat_fleet::Restart(std::size_t target, duration down_for) {
  targets_[target].busy_until = now_ + down_for;
  targets_[target].budget = MakeBudget(now_ + down_for);
  targets_[target].listed = 0;
}

void repeat_fleet::Freeze(std::size_t target, duration frozen_for) {
  targets_[target].busy_until = now_ + frozen_for;
}

void repeat_fleet::Reload(std::size_t target) {
  targets_[target].budget.SetBounds({.ratio = kRatio, .allowance = kAllowance, .window = kWindow},
                                    now_);
}

void repeat_fleet::SetView(std::size_t target, std::size_t listed) {
  targets_[target].listed = listed;
  targets_[target].budget.SetTargets(listed, now_);
}

repeat_fleet::target* repeat_fleet::Draw() {
  double sum = 0.0;
  for (const target& each : targets_) {
    sum += each.busy_until <= now_ ? each.load_share : 0.0;
  }
  double draw = random_.Fraction() * sum;
  for (target& each : targets_) {
    const double share = each.busy_until <= now_ ? each.load_share : 0.0;
    if (draw < share) {
      return &each;
    }
    draw -= share;
  }
  return nullptr;
}

void repeat_fleet::Wait(const waiting_request& request) {
  const double wait = random_.Fraction() * static_cast<double>(longest_wait_.count());
  waiting_.emplace(now_ + duration(static_cast<duration::rep>(wait)), request);
}

void repeat_fleet::Arrive(waiting_request request, double failing_share) {
  target* const at = Draw();
  if (at == nullptr) {
    return;
  }
  if (request.sends == 0) {
    at->budget.OnFirstSend(false, 0.0, request.sent_at, now_);
  } else {
    at->budget.OnTargetsTold(callers_view_, now_);
    if (!at->budget.TakeOne(false, now_)) {
      return;
    }
    ++repeats_.back();
  }
  ++request.sends;
  if (random_.Fraction() >= failing_share) {
    ++succeeded_;
  } else if (request.sends < kMaxSends) {
    Wait(request);
  }
}

void repeat_fleet::Play(duration length, double requests_a_second, double failing_share) {
  const instant end = now_ + length;
  for (; now_ < end; now_ += kStep) {
    requests_.push_back(0);
    repeats_.push_back(0);
    due_ += requests_a_second * ToSeconds(kStep);
    for (; due_ >= 1.0; due_ -= 1.0) {
      ++requests_.back();
      ++sent_;
      Wait({.sent_at = now_});
    }
    while (!waiting_.empty() && waiting_.begin()->first <= now_) {
      const waiting_request next = waiting_.extract(waiting_.begin()).mapped();
      Arrive(next, failing_share);
    }
  }
}

double repeat_fleet::LargestUse(duration from) const {
  const auto window = static_cast<std::ptrdiff_t>(kWindow / kStep);
  const auto steps = static_cast<std::ptrdiff_t>(requests_.size());
  std::vector<double> requests(requests_.size() + 1, 0.0);
  std::vector<double> repeats(repeats_.size() + 1, 0.0);
  std::partial_sum(requests_.begin(), requests_.end(), requests.begin() + 1);
  std::partial_sum(repeats_.begin(), repeats_.end(), repeats.begin() + 1);
  const auto between = [steps](const std::vector<double>& sums, std::ptrdiff_t begin,
                               std::ptrdiff_t end) {
    const auto at = [&](std::ptrdiff_t step) {
      return sums[static_cast<std::size_t>(std::clamp<std::ptrdiff_t>(step, 0, steps))];
    };
    return at(end) - at(begin);
  };
  double largest = 0.0;
  for (std::ptrdiff_t begin = from / kStep; begin < steps; ++begin) {
    const double counted = std::max({between(requests, begin, begin + window),
                                     between(requests, begin - window / 2, begin + window / 2),
                                     between(requests, begin - window, begin)});
    largest = std::max(largest,
                       between(repeats, begin, begin + window) / (kRatio * counted + kAllowance));
  }
  return largest;
}

double repeat_fleet::served() const {
  return sent_ == 0 ? 1.0 : static_cast<double>(succeeded_) / static_cast<double>(sent_);
}

}  // namespace cuminferry::testing
