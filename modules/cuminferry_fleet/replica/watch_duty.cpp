#include "cuminferry_fleet/replica/watch_duty.h"

#include <algorithm>
#include <map>

namespace cuminferry {
namespace {

// The same at all nodes, and unrelated to the order of addresses.
std::uint64_t DrawOf(const endpoint& at) {
  return random_source((std::uint64_t{at.address} << 16) ^ at.port).Next();
}

}  // namespace

void watch_duty::Update(const std::vector<service_instance>& listed, const endpoint& own,
                        std::string_view own_domain) {
  std::map<std::string, std::vector<endpoint>> by_domain;
  for (const service_instance& instance : listed) {
    if (!instance.leaving) {
      by_domain[instance.failure_domain].push_back(instance.backend);
    }
  }
  on_duty_ = false;
  near_.clear();
  far_.clear();
  bool own_listed = false;
  for (auto& [domain, nodes] : by_domain) {
    std::ranges::sort(nodes, {}, DrawOf);
    const auto last = std::unique(nodes.begin(), nodes.end());
    nodes.erase(last, nodes.end());
    own_listed = own_listed || std::ranges::find(nodes, own) != nodes.end();
    nodes.resize(std::min(nodes.size(), kWatchersPerDomain));
    for (const endpoint& node : nodes) {
      if (node == own) {
        on_duty_ = true;
      } else {
        (domain == own_domain ? near_ : far_).push_back(node);
      }
    }
  }
  // A node that is not listed counts on no one being told of it.
  on_duty_ = on_duty_ || !own_listed || near_.empty();
}

}  // namespace cuminferry
