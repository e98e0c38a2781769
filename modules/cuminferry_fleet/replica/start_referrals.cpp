#include "cuminferry_fleet/replica/start_referrals.h"

#include <algorithm>

namespace cuminferry {

void start_referrals::Forget(instant now) {
  while (!order_.empty() && now - order_.front().first > kMemory) {
    waiting_.erase(order_.front().second);
    order_.pop_front();
    ++first_number_;
  }
  while (!served_.empty() && now - served_.front().first > kMemory) {
    served_.pop_front();
  }
}

std::vector<endpoint> start_referrals::ReferralsFor(const endpoint& peer, bool has_wanted_items,
                                                    instant now) {
  Forget(now);
  return has_wanted_items ? ReferToServed(peer, now) : ReferToWaiting(peer, now);
}

std::vector<endpoint> start_referrals::ReferToServed(const endpoint& peer, instant now) {
  const bool has_served_enough =
      served_.size() >= kDirect && now - served_[served_.size() - kDirect].first < kPeriod;
  std::vector<endpoint> referrals;
  if (!has_served_enough) {
    served_.emplace_back(now, peer);
    return referrals;
  }
  for (std::size_t i = 0; i < kReferrals; ++i) {
    referrals.push_back(served_[next_served_++ % served_.size()].second);
  }
  // A node that got a copy and restarted is not referred to itself.
  std::erase(referrals, peer);
  return referrals;
}

std::vector<endpoint> start_referrals::ReferToWaiting(const endpoint& peer, instant now) {
  const auto [found, is_new] =
      waiting_.try_emplace(peer, waiting_node{.number = first_number_ + order_.size()});
  if (is_new) {
    order_.emplace_back(now, peer);
  }
  const std::size_t position = found->second.number - first_number_;
  const std::size_t query = found->second.queries++;
  std::vector<endpoint> referrals;
  if (position < kDirect) {
    return referrals;
  }
  const std::size_t parent = (position - kDirect) / kDirect;
  for (std::size_t i = 0; i < std::min(kReferrals, position); ++i) {
    // Only nodes that asked earlier are named, so that no two nodes wait for each other.
    referrals.push_back(order_[(parent + query * kReferrals + i) % position].second);
  }
  return referrals;
}

}  // namespace cuminferry
