#include "cuminferry_fleet/members/source_planner.h"

#include <algorithm>
#include <compare>

#include "cuminferry_fleet/tables/value_version.h"

namespace cuminferry {
namespace {

constexpr std::size_t kWatcherCount = 2;
constexpr std::size_t kMaxOwnRegionPeers = 2;

using endpoints = std::vector<endpoint>;

struct ordered_member {
  std::uint64_t hash = 0;
  endpoint at;

  auto operator<=>(const ordered_member&) const = default;
};

// Returns a pseudorandom number that is the same on all nodes for one member and value.
std::uint64_t HashOf(endpoint at, std::uint64_t salt) {
  constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;
  const std::uint64_t address_bits = (std::uint64_t{at.address} << 16) | at.port;
  return random_source(salt ^ (address_bits * kGoldenRatio)).Next();
}

// Returns the members that take new work, in the order for a salt. An empty region selects
// the members of all regions.
endpoints OrderedMembers(std::span<const member> members, std::uint64_t salt,
                         std::string_view region) {
  std::vector<ordered_member> order;
  for (const member& one : members) {
    if (!one.draining && (region.empty() || one.info.region == region)) {
      order.push_back({HashOf(one.info.peer, salt), one.info.peer});
    }
  }
  std::sort(order.begin(), order.end());
  endpoints all;
  std::transform(order.begin(), order.end(), std::back_inserter(all),
                 [](const ordered_member& one) { return one.at; });
  return all;
}

endpoints MembersOfOtherRegions(std::span<const member> members, std::string_view region) {
  endpoints all;
  for (const member& one : members) {
    if (!one.draining && one.info.region != region) {
      all.push_back(one.info.peer);
    }
  }
  return all;
}

}  // namespace

class source_planner::state {
 public:
  explicit state(options chosen) : options_(std::move(chosen)) {}

  // Selects two members of this node's region, and one of another region as the last choice.
  endpoints SelectPeers(std::span<const member> members, std::uint64_t salt,
                        random_source& random) const {
    endpoints selected = OrderedMembers(members, salt, options_.region);
    std::erase(selected, options_.self);
    if (selected.size() > kMaxOwnRegionPeers) {
      selected.resize(kMaxOwnRegionPeers);
    }
    const endpoints other_regions = MembersOfOtherRegions(members, options_.region);
    if (!other_regions.empty()) {
      selected.push_back(other_regions[random.Below(other_regions.size())]);
    }
    return selected;
  }

  const options options_;
};

source_planner::source_planner(options chosen)
    : state_(std::make_unique<state>(std::move(chosen))) {}

source_planner::~source_planner() = default;

std::vector<content_source> source_planner::SourcesOf(std::string_view name, std::uint64_t version,
                                                      std::span<const member> own_members,
                                                      std::span<const member> value_members,
                                                      random_source& random) const {
  const options& own = state_->options_;
  const std::uint64_t salt = DigestOf(name) + version;
  const endpoints order = OrderedMembers(own_members, salt, own.region);
  const bool first = order.empty() || order.front() == own.self;
  std::vector<content_source> sources;
  if (first && ServiceOf(name) == own.service) {
    sources.emplace_back();
  }
  if (!first) {
    sources.emplace_back(order.front());
  }
  for (const endpoint holder : state_->SelectPeers(value_members, salt, random)) {
    sources.emplace_back(holder);
  }
  if (order.empty()) {
    sources.insert(sources.end(), own.seeds.begin(), own.seeds.end());
  }
  sources.emplace_back();
  sources.erase(std::unique(sources.begin(), sources.end()), sources.end());
  return sources;
}

bool source_planner::IsWatcher(std::span<const member> own_members) const {
  const options& own = state_->options_;
  const endpoints order = OrderedMembers(own_members, DigestOf(own.service), std::string_view());
  const auto last =
      order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), kWatcherCount));
  return std::find(order.begin(), last, own.self) != last;
}

}  // namespace cuminferry
