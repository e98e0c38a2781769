#include "cuminferry_policy/customers/coordinator_picker.h"

#include <algorithm>
#include <utility>

namespace cuminferry {
namespace {

// Both numbers are well distributed; multiplying one by an odd constant keeps them from cancelling
// each other out.
std::uint64_t HashOf(std::uint64_t customer, const endpoint& backend) {
  constexpr std::uint64_t kOddFactor = 0x9E3779B97F4A7C15;
  const std::uint64_t at = (std::uint64_t{backend.address} << 16) | backend.port;
  random_source mixed(customer ^ (at * kOddFactor));
  return mixed.Next();
}

}  // namespace

void coordinator_picker::SetNodes(std::vector<node> nodes) {
  nodes_ = std::move(nodes);
  nodes_by_domain_.clear();
  for (const node& found : nodes_) {
    ++nodes_by_domain_[found.failure_domain];
  }
}

std::vector<endpoint> coordinator_picker::CoordinatorsOf(
    std::string_view customer, const cut_off_predicate& is_cut_off) const {
  const std::uint64_t digest = DigestOf(customer);
  // The best node of each reachable failure domain, then the best two of these.
  std::map<std::string_view, std::pair<std::uint64_t, const node*>> best;
  for (const auto& [domain, count] : nodes_by_domain_) {
    if (!is_cut_off(domain)) {
      best.emplace(domain, std::pair<std::uint64_t, const node*>(0, nullptr));
    }
  }
  for (const node& found : nodes_) {
    const auto at = best.find(found.failure_domain);
    const std::uint64_t hash = HashOf(digest, found.backend);
    if (at != best.end() && (at->second.second == nullptr || hash > at->second.first)) {
      at->second = {hash, &found};
    }
  }
  std::pair<std::uint64_t, const node*> first{0, nullptr};
  std::pair<std::uint64_t, const node*> second{0, nullptr};
  for (const auto& [domain, candidate] : best) {
    if (first.second == nullptr || candidate.first > first.first) {
      second = std::exchange(first, candidate);
    } else if (second.second == nullptr || candidate.first > second.first) {
      second = candidate;
    }
  }
  std::vector<endpoint> coordinators;
  for (const node* chosen : {first.second, second.second}) {
    if (chosen != nullptr) {
      coordinators.push_back(chosen->backend);
    }
  }
  return coordinators;
}

std::string coordinator_picker::DomainOf(const endpoint& backend) const {
  const auto at = std::ranges::find(nodes_, backend, &node::backend);
  return at == nodes_.end() ? "" : at->failure_domain;
}

double coordinator_picker::ReachableShare(const cut_off_predicate& is_cut_off) const {
  if (nodes_.empty()) {
    return 1.0;
  }
  std::size_t reachable = 0;
  for (const auto& [domain, count] : nodes_by_domain_) {
    reachable += is_cut_off(domain) ? 0 : count;
  }
  return static_cast<double>(reachable) / static_cast<double>(nodes_.size());
}

}  // namespace cuminferry
