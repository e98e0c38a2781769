#include "cuminferry_policy/retries/run_outcomes.h"

namespace cuminferry {

void run_outcomes::OnAnswer(std::string_view row, bool success) {
  const auto found = failure_rates_.find(row);
  double& failure_rate =
      found == failure_rates_.end() ? failure_rates_[std::string(row)] : found->second;
  failure_rate += kNewestAnswerWeight * ((success ? 0.0 : 1.0) - failure_rate);
}

bool run_outcomes::IsRerunWorthwhile(std::string_view row) const {
  const auto found = failure_rates_.find(row);
  return found == failure_rates_.end() || 1.0 - found->second >= kMinSuccessRate;
}

}  // namespace cuminferry
