#include "cuminferry_policy/declared/target_rate.h"

#include <algorithm>

#include "cuminferry_policy/declared/send_pacer.h"

namespace cuminferry {
namespace {

// Time over which the use of a target's rate is reckoned.
constexpr duration kUseTime = std::chrono::seconds(1);
// After this time a report says nothing about the use any more.
constexpr duration kMaxUseAge = std::chrono::seconds(2);

}  // namespace

double target_rate::TokensAt(instant now) const {
  const double rate = report_->caller_rate;
  const double capacity = std::max(1.0, rate * ToSeconds(send_pacer::kBurstTime));
  return std::min(capacity, tokens_ + rate * ToSeconds(now - counted_at_));
}

void target_rate::SetTokens(double tokens, instant now) {
  tokens_ = tokens;
  counted_at_ = now;
}

void target_rate::OnReport(const std::optional<rate_report>& report, instant now) {
  SetTokens(IsDeclared(now) ? TokensAt(now) : 0.0, now);
  report_ = report;
  reported_at_ = now;
  sent_since_report_ = 0.0;
}

void target_rate::OnSent(instant now) {
  sent_at_ = now;
  sent_since_report_ += 1.0;
  if (IsDeclared(now)) {
    SetTokens(std::max(0.0, TokensAt(now) - 1.0), now);
  }
}

void target_rate::OnTurnedAway(instant now) { SetTokens(0.0, now); }

bool target_rate::HasTurn(instant now) const { return !IsDeclared(now) || TokensAt(now) >= 1.0; }

bool target_rate::IsTryDue(duration interval, instant now) const {
  return IsDeclared(now) && now - std::max(reported_at_, sent_at_) >= interval;
}

double target_rate::UseAt(instant now) const {
  if (!IsDeclared(now)) {
    return 0.0;
  }
  if (now - reported_at_ > kMaxUseAge) {
    return 1.0;
  }
  const double in_use_time = std::max(1.0, report_->declared.rate * ToSeconds(kUseTime));
  return std::min(1.0, report_->use + sent_since_report_ / in_use_time);
}

std::optional<rate_belief> target_rate::BeliefAt(instant now) const {
  if (!report_) {
    return std::nullopt;
  }
  const duration age = report_->declared.age + (now - reported_at_);
  return age <= rate_belief::kMaxAge
             ? std::optional(rate_belief{.rate = report_->declared.rate, .age = age})
             : std::nullopt;
}

}  // namespace cuminferry
