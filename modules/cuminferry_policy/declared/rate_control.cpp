#include "cuminferry_policy/declared/rate_control.h"

#include <algorithm>
#include <utility>

#include "cuminferry_policy/declared/send_pacer.h"

namespace cuminferry {
namespace {

// Weight of a period in the moving average of the use.
constexpr double kUseWeight = 0.2;

}  // namespace

double rate_control::PacedRate(double declared) { return std::max(declared, send_pacer::kMinRate); }

void rate_control::Start(double rate) {
  callers_.Start(PacedRate(rate));
  level_ = {};
  use_ = 1.0;
}

bool rate_control::OnDeclared(std::string_view instance, double rate, instant now) {
  if (!declared_.BeliefAt(now)) {
    Start(rate);
  }
  return declared_.OnDeclared(instance, rate, now);
}

bool rate_control::OnBelief(std::string_view instance, const rate_belief& belief, instant now) {
  const bool was_in_force = declared_.BeliefAt(now).has_value();
  if (!declared_.OnBelief(instance, belief, now)) {
    return false;
  }
  if (!was_in_force) {
    Start(belief.rate);
  }
  return true;
}

bool rate_control::OnNotDeclared(std::string_view instance, instant sent_at) {
  if (!declared_.OnNotDeclared(instance, sent_at)) {
    return false;
  }
  level_ = {};
  return true;
}

void rate_control::Forget() {
  declared_.Forget();
  level_ = {};
}

void rate_control::OnArrival(const arrival& arrived, instant now) {
  if (!declared_.BeliefAt(now)) {
    return;
  }
  if (!arrived.awaits_turn) {
    callers_.OnArrival();
  }
  if (!arrived.is_over_rate) {
    level_.OnArrival(arrived.requests, arrived.admitted_share, arrived.awaits_turn);
  }
}

void rate_control::Step(duration wait, instant now) {
  const double sent = std::exchange(sent_, 0.0);
  const auto belief = declared_.BeliefAt(now);
  if (!belief) {
    return;
  }
  const double rate = PacedRate(belief->rate);
  const double used = std::min(1.0, sent / (rate * ToSeconds(kPeriod)));
  use_ += kUseWeight * (used - use_);
  callers_.Step(rate);
  level_.Step(rate, wait);
}

std::optional<double> rate_control::PacedRateAt(instant now) const {
  const auto belief = declared_.BeliefAt(now);
  if (!belief) {
    return std::nullopt;
  }
  return belief->age <= kConfirmationTime ? belief->rate : 0.0;
}

std::optional<rate_report> rate_control::ReportAt(instant now) const {
  const auto belief = declared_.BeliefAt(now);
  if (!belief) {
    return std::nullopt;
  }
  return rate_report{.declared = *belief, .caller_rate = callers_.rate(), .use = use_};
}

}  // namespace cuminferry
