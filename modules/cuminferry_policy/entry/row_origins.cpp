#include "cuminferry_policy/entry/row_origins.h"

namespace cuminferry {

void row_origins::OnArrival(std::string_view row, std::string_view caller_service) {
  auto at = rows_.find(row);
  if (at == rows_.end()) {
    at = rows_.emplace(std::string(row), arrivals{}).first;
  }
  arrivals& seen = at->second;
  seen.total += 1.0;
  seen.by_service[std::string(caller_service)] += 1.0;
  if (seen.total > kMaxCountedRequests) {
    constexpr double kHalf = 0.5;
    seen.total *= kHalf;
    for (auto& [service, count] : seen.by_service) {
      count *= kHalf;
    }
  }
}

bool row_origins::ComesFromClients(std::string_view row, std::size_t services) const {
  const auto at = rows_.find(row);
  if (at == rows_.end() || at->second.total < kMinRequests) {
    return false;
  }
  std::size_t caller_services = 0;
  for (const auto& [service, count] : at->second.by_service) {
    caller_services += count >= kMinServiceShare * at->second.total ? 1 : 0;
  }
  return 2 * caller_services > services;
}

}  // namespace cuminferry
