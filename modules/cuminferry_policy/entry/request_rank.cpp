#include "cuminferry_policy/entry/request_rank.h"

#include <algorithm>

namespace cuminferry {

std::uint32_t RankOf(const http_route& row, const customer* sender) {
  constexpr std::uint32_t kMaxPriority = 1'000'000;
  const std::uint32_t priority =
      sender == nullptr ? row.priority : sender->priority.value_or(row.priority);
  return std::min(priority, kMaxPriority) * kRanksPerCustomerPriority +
         std::min(row.priority, kRanksPerCustomerPriority - 1);
}

}  // namespace cuminferry
