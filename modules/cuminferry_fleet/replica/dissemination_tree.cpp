#include "cuminferry_fleet/replica/dissemination_tree.h"

#include <algorithm>
#include <map>

namespace cuminferry {
namespace {

constexpr std::size_t kPairSize = 2;

// Returns a number that is the same on all nodes and unrelated to the order of addresses.
std::uint64_t HashOf(const endpoint& at) {
  return random_source((std::uint64_t{at.address} << 16) ^ at.port).Next();
}

/** The nodes of one failure domain in the order of the tree. */
using domain_nodes = std::vector<endpoint>;

std::map<std::string, domain_nodes, std::less<>> OrderedDomains(
    const std::vector<service_instance>& listed) {
  std::map<std::string, domain_nodes, std::less<>> domains;
  for (const service_instance& instance : listed) {
    if (!instance.draining) {
      domains[instance.failure_domain].push_back(instance.backend);
    }
  }
  for (auto& [name, nodes] : domains) {
    std::ranges::sort(nodes, {}, HashOf);
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
  }
  return domains;
}

// Returns the first node of each of two failure domains, or the first pair of the only one.
std::vector<endpoint> ReadersOf(const std::map<std::string, domain_nodes, std::less<>>& domains) {
  std::vector<endpoint> readers;
  for (const auto& [name, nodes] : domains) {
    readers.push_back(nodes.front());
  }
  if (domains.size() == 1 && domains.begin()->second.size() > 1) {
    readers.push_back(domains.begin()->second[1]);
  }
  std::ranges::sort(readers, {}, HashOf);
  readers.resize(std::min(readers.size(), dissemination_tree::kReaders));
  return readers;
}

std::vector<endpoint> PairAt(const domain_nodes& nodes, std::size_t pair) {
  const std::size_t first = std::min(nodes.size(), pair * kPairSize);
  const std::size_t last = std::min(nodes.size(), first + kPairSize);
  return {nodes.begin() + static_cast<std::ptrdiff_t>(first),
          nodes.begin() + static_cast<std::ptrdiff_t>(last)};
}

bool Contains(const std::vector<endpoint>& nodes, const endpoint& node) {
  return std::ranges::find(nodes, node) != nodes.end();
}

}  // namespace

void dissemination_tree::Update(const std::vector<service_instance>& listed, const endpoint& own,
                                std::string_view own_domain) {
  const auto domains = OrderedDomains(listed);
  const std::vector<endpoint> readers = ReadersOf(domains);
  const auto own_nodes = domains.find(own_domain);
  depth_ = 1;
  backs_up_ = false;
  sources_ = readers;
  if (own_nodes != domains.end() && !Contains(readers, own)) {
    const domain_nodes& nodes = own_nodes->second;
    // A node that is not listed yet takes the position after the last of its failure domain.
    const auto position = static_cast<std::size_t>(std::ranges::find(nodes, own) - nodes.begin());
    std::size_t pair = position / kPairSize;
    backs_up_ = pair == 1 && position < nodes.size();
    if (pair > 0) {
      sources_ = PairAt(nodes, (pair - 1) / kPairsPerParent);
    }
    for (; pair > 0; pair = (pair - 1) / kPairsPerParent) {
      ++depth_;
    }
  }
  if (Contains(readers, own) || readers.empty()) {
    depth_ = 0;
  }
  std::erase(sources_, own);
  substitutes_.clear();
  for (const auto& [name, nodes] : domains) {
    for (const endpoint& node : PairAt(nodes, 0)) {
      if (node != own && !Contains(sources_, node)) {
        substitutes_.push_back(node);
      }
    }
  }
}

}  // namespace cuminferry
