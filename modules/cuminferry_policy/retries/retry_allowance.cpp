#include "cuminferry_policy/retries/retry_allowance.h"

#include <algorithm>

namespace cuminferry {

bool retry_allowance::TakeOne() {
  if (left_ == 0) {
    return false;
  }
  --left_;
  return true;
}

std::uint8_t retry_allowance::Lend(std::uint32_t other_calls_outstanding) {
  const std::uint8_t lent =
      other_calls_outstanding == 0 ? left_ : static_cast<std::uint8_t>(left_ / 2);
  left_ = static_cast<std::uint8_t>(left_ - lent);
  return lent;
}

void retry_allowance::TakeBack(std::uint8_t lent, std::uint8_t returned) {
  const int sum = left_ + std::min(lent, returned);
  left_ = static_cast<std::uint8_t>(std::min<int>(sum, granted_));
}

}  // namespace cuminferry
