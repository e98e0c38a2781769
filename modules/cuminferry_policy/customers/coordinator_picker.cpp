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

void coordinator_picker::AddNode(const node& added) {
  Extract(added.backend);
  missing_.erase(added.backend);
  nodes_.emplace(added.backend, added.failure_domain);
  ++nodes_by_domain_[added.failure_domain];
}

void coordinator_picker::RemoveNode(const endpoint& backend, instant now) {
  std::erase_if(missing_, [now](const auto& entry) { return !entry.second.CountsAt(now); });
  const auto removed = nodes_.find(backend);
  if (removed != nodes_.end()) {
    missing_.insert_or_assign(backend, missing_node{removed->second, now});
    Extract(backend);
  }
}

void coordinator_picker::Extract(const endpoint& backend) {
  const auto removed = nodes_.extract(backend);
  if (removed.empty()) {
    return;
  }
  const auto count = nodes_by_domain_.find(removed.mapped());
  if (--count->second == 0) {
    nodes_by_domain_.erase(count);
  }
}

std::vector<endpoint> coordinator_picker::CoordinatorsOf(
    std::string_view customer, const cut_off_predicate& is_cut_off) const {
  const std::uint64_t digest = DigestOf(customer);
  // The best node of each reachable failure domain, then the best two of these.
  using candidate_node = std::pair<std::uint64_t, const endpoint*>;
  std::map<std::string_view, candidate_node> best;
  for (const auto& [domain, count] : nodes_by_domain_) {
    if (!is_cut_off(domain)) {
      best.emplace(domain, candidate_node(0, nullptr));
    }
  }
  for (const auto& [backend, domain] : nodes_) {
    const auto at = best.find(domain);
    const std::uint64_t hash = HashOf(digest, backend);
    if (at != best.end() && (at->second.second == nullptr || hash > at->second.first)) {
      at->second = {hash, &backend};
    }
  }
  candidate_node first{0, nullptr};
  candidate_node second{0, nullptr};
  for (const auto& [domain, candidate] : best) {
    if (first.second == nullptr || candidate.first > first.first) {
      second = std::exchange(first, candidate);
    } else if (second.second == nullptr || candidate.first > second.first) {
      second = candidate;
    }
  }
  std::vector<endpoint> coordinators;
  for (const endpoint* chosen : {first.second, second.second}) {
    if (chosen != nullptr) {
      coordinators.push_back(*chosen);
    }
  }
  return coordinators;
}

std::string coordinator_picker::DomainOf(const endpoint& backend) const {
  const auto at = nodes_.find(backend);
  return at == nodes_.end() ? "" : at->second;
}

std::size_t coordinator_picker::CountAt(instant now) const {
  const auto missing = std::ranges::count_if(
      missing_, [now](const auto& entry) { return entry.second.CountsAt(now); });
  return nodes_.size() + static_cast<std::size_t>(missing);
}

double coordinator_picker::ReachableShare(const cut_off_predicate& is_cut_off, instant now) const {
  if (nodes_.empty()) {
    return 1.0;
  }
  std::size_t reachable = 0;
  for (const auto& [domain, count] : nodes_by_domain_) {
    reachable += is_cut_off(domain) ? 0 : count;
  }
  const auto missing = std::ranges::count_if(missing_, [&](const auto& entry) {
    return entry.second.CountsAt(now) && is_cut_off(entry.second.failure_domain);
  });
  return static_cast<double>(reachable) /
         static_cast<double>(nodes_.size() + static_cast<std::size_t>(missing));
}

}  // namespace cuminferry
