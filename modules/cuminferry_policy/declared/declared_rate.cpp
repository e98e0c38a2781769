#include "cuminferry_policy/declared/declared_rate.h"

namespace cuminferry {

bool declared_rate::OnDeclared(std::string_view instance, double rate, instant now) {
  const bool is_changed = rate_ != rate || instance_ != instance;
  instance_ = instance;
  rate_ = rate;
  known_at_ = now;
  return is_changed;
}

bool declared_rate::OnNotDeclared(std::string_view instance, instant sent_at) {
  if (instance_ == instance && sent_at <= known_at_) {
    return false;
  }
  const bool is_changed = rate_.has_value();
  instance_ = instance;
  rate_.reset();
  known_at_ = sent_at;
  return is_changed;
}

bool declared_rate::OnBelief(std::string_view instance, const rate_belief& belief, instant now) {
  const instant declared_at = now - belief.age;
  if (belief.age > kMaxSilence || declared_at <= known_at_) {
    return false;
  }
  return OnDeclared(instance, belief.rate, declared_at);
}

std::optional<rate_belief> declared_rate::BeliefAt(instant now) const {
  const duration age = now - known_at_;
  return rate_ && age <= kMaxSilence ? std::optional(rate_belief{.rate = *rate_, .age = age})
                                     : std::nullopt;
}

}  // namespace cuminferry
