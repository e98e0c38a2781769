#include "cuminferry_fleet/replica/dissemination_tree.h"

#include <algorithm>

#include "cuminferry_fleet/members/address_hash.h"

namespace cuminferry {
namespace {

constexpr std::size_t kPairSize = 2;

using hashed_node = std::pair<std::uint64_t, endpoint>;

hashed_node WithHash(const endpoint& at) { return {AddressHashOf(at), at}; }

void AppendPair(const std::vector<hashed_node>& nodes, std::size_t pair,
                std::vector<endpoint>& pairs) {
  const std::size_t end = std::min(nodes.size(), (pair + 1) * kPairSize);
  for (std::size_t at = pair * kPairSize; at < end; ++at) {
    pairs.push_back(nodes[at].second);
  }
}

bool Contains(const std::vector<endpoint>& nodes, const endpoint& node) {
  return std::ranges::find(nodes, node) != nodes.end();
}

std::size_t ParentOf(std::size_t pair) { return (pair - 1) / dissemination_tree::kPairsPerParent; }

// Returns the first pair of the level below the one that begins with this pair.
std::size_t FirstChildOf(std::size_t pair) {
  return pair * dissemination_tree::kPairsPerParent + 1;
}

}  // namespace

void dissemination_tree::Add(const endpoint& backend, std::string_view failure_domain) {
  auto domain = domains_.find(failure_domain);
  if (domain == domains_.end()) {
    domain = domains_.emplace(failure_domain, domain_nodes()).first;
  }
  const hashed_node added = WithHash(backend);
  const auto at = std::ranges::lower_bound(domain->second, added);
  if (at == domain->second.end() || *at != added) {
    domain->second.insert(at, added);
  }
}

void dissemination_tree::Remove(const endpoint& backend, std::string_view failure_domain) {
  const auto domain = domains_.find(failure_domain);
  if (domain == domains_.end()) {
    return;
  }
  const hashed_node removed = WithHash(backend);
  const auto at = std::ranges::lower_bound(domain->second, removed);
  if (at != domain->second.end() && *at == removed) {
    domain->second.erase(at);
  }
  if (domain->second.empty()) {
    domains_.erase(domain);
  }
}

// Returns the first node of each failure domain, then the second of each, and so on. The readers
// are the first of these.
std::vector<endpoint> dissemination_tree::RootOrder(std::size_t count) const {
  std::vector<endpoint> order;
  for (std::size_t position = 0; order.size() < count; ++position) {
    std::vector<hashed_node> of_position;
    for (const auto& [name, nodes] : domains_) {
      if (position < nodes.size()) {
        of_position.push_back(nodes[position]);
      }
    }
    if (of_position.empty()) {
      break;
    }
    std::ranges::sort(of_position);
    for (const hashed_node& node : of_position) {
      order.push_back(node.second);
    }
  }
  order.resize(std::min(order.size(), count));
  return order;
}

// Returns nodes on the level of a parent pair: the next pair of the own failure domain and the same
// pair of the next failure domain. The children of a pair that fails thus turn to other nodes than
// those of any other pair.
std::vector<endpoint> dissemination_tree::Neighbours(domain_map::const_iterator own_domain,
                                                     std::size_t parent_pair) const {
  std::size_t level_begin = 0;
  while (FirstChildOf(level_begin) <= parent_pair) {
    level_begin = FirstChildOf(level_begin);
  }
  const std::size_t pairs = (own_domain->second.size() + kPairSize - 1) / kPairSize;
  const std::size_t level_end = std::min(pairs, FirstChildOf(level_begin));
  std::vector<endpoint> neighbours;
  const std::size_t next_pair = parent_pair + 1 < level_end ? parent_pair + 1 : level_begin;
  if (next_pair != parent_pair) {
    AppendPair(own_domain->second, next_pair, neighbours);
  }
  auto next_domain = std::next(own_domain);
  if (next_domain == domains_.end()) {
    next_domain = domains_.begin();
  }
  if (next_domain != own_domain) {
    // A smaller failure domain may not have as many pairs.
    const std::size_t last_pair = (next_domain->second.size() - 1) / kPairSize;
    AppendPair(next_domain->second, std::min(parent_pair, last_pair), neighbours);
  }
  return neighbours;
}

tree_position dissemination_tree::PositionOf(const endpoint& own,
                                             std::string_view own_domain) const {
  tree_position position;
  std::vector<endpoint> standbys = RootOrder(kReaders + kMaxStandbys);
  const auto first_standby =
      standbys.begin() + static_cast<std::ptrdiff_t>(std::min(standbys.size(), kReaders));
  const std::vector<endpoint> readers(standbys.begin(), first_standby);
  standbys.erase(standbys.begin(), first_standby);

  position.sources = readers;
  position.substitutes = standbys;
  position.depth = 1;
  const auto domain = domains_.find(own_domain);
  if (Contains(readers, own) || readers.empty()) {
    position.depth = 0;
    position.is_domain_entry = true;
  } else if (domain != domains_.end()) {
    const domain_nodes& nodes = domain->second;
    const hashed_node hashed = WithHash(own);
    const auto at = std::ranges::lower_bound(nodes, hashed);
    const bool is_listed = at != nodes.end() && *at == hashed;
    const std::size_t index =
        is_listed ? static_cast<std::size_t>(at - nodes.begin()) : nodes.size();
    const std::size_t pair = index / kPairSize;
    position.is_domain_entry = is_listed && pair == 0;
    position.is_domain_backup = is_listed && pair == 1;
    if (pair > 0) {
      position.sources.clear();
      AppendPair(nodes, ParentOf(pair), position.sources);
    }
    // The only failure domain has both readers in its first pair.
    const bool queries_readers = position.sources == readers;
    if (!queries_readers) {
      position.substitutes = Neighbours(domain, ParentOf(pair));
    }
    for (std::size_t above = pair; above > 0; above = ParentOf(above)) {
      ++position.depth;
    }
    position.depth -= pair > 0 && domains_.size() == 1 ? 1 : 0;
  }
  const auto rank = std::ranges::find(standbys, own);
  if (rank != standbys.end()) {
    position.standby_rank = static_cast<std::size_t>(rank - standbys.begin());
  }
  std::erase(position.sources, own);
  std::erase(position.substitutes, own);
  return position;
}

}  // namespace cuminferry
