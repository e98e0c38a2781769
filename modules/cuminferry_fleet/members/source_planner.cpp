#include "cuminferry_fleet/members/source_planner.h"

#include <algorithm>
#include <compare>

#include "cuminferry_fleet/tables/value_version.h"

namespace cuminferry {
namespace {

constexpr std::size_t kWatchers = 2;
constexpr std::size_t kHoldersAsked = 2;

using endpoints = std::vector<endpoint>;

struct ranked_member {
  std::uint64_t draw = 0;
  endpoint at;

  auto operator<=>(const ranked_member&) const = default;
};

// A number that all nodes draw alike for one member and value.
std::uint64_t DrawOf(endpoint at, std::uint64_t salt) {
  constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;
  const std::uint64_t place = (std::uint64_t{at.address} << 16) | at.port;
  return random_source(salt ^ (place * kGoldenRatio)).Next();
}

// Members that take new work; an empty region stands for all of them.
endpoints Ranked(std::span<const member> members, std::uint64_t salt, std::string_view region) {
  std::vector<ranked_member> order;
  for (const member& one : members) {
    if (!one.leaving && (region.empty() || one.info.region == region)) {
      order.push_back({DrawOf(one.info.peer, salt), one.info.peer});
    }
  }
  std::sort(order.begin(), order.end());
  endpoints all;
  std::transform(order.begin(), order.end(), std::back_inserter(all),
                 [](const ranked_member& one) { return one.at; });
  return all;
}

endpoints Elsewhere(std::span<const member> members, std::string_view region) {
  endpoints all;
  for (const member& one : members) {
    if (!one.leaving && one.info.region != region) {
      all.push_back(one.info.peer);
    }
  }
  return all;
}

}  // namespace

class source_planner::state {
 public:
  explicit state(options chosen) : options_(std::move(chosen)) {}

  // Two of the own region, and one of another as a last resort.
  endpoints Holders(std::span<const member> members, std::uint64_t salt,
                    random_source& random) const {
    endpoints holders = Ranked(members, salt, options_.region);
    std::erase(holders, options_.self);
    if (holders.size() > kHoldersAsked) {
      holders.resize(kHoldersAsked);
    }
    const endpoints elsewhere = Elsewhere(members, options_.region);
    if (!elsewhere.empty()) {
      holders.push_back(elsewhere[random.Below(elsewhere.size())]);
    }
    return holders;
  }

  const options options_;
};

source_planner::source_planner(options chosen)
    : state_(std::make_unique<state>(std::move(chosen))) {}

source_planner::~source_planner() = default;

std::vector<content_source> source_planner::SourcesOf(std::string_view name, std::uint64_t version,
                                                      std::span<const member> fellows,
                                                      std::span<const member> holders,
                                                      random_source& random) const {
  const options& own = state_->options_;
  const std::uint64_t salt = DigestOf(name) + version;
  const endpoints order = Ranked(fellows, salt, own.region);
  const bool first = order.empty() || order.front() == own.self;
  std::vector<content_source> sources;
  if (first && ServiceOf(name) == own.service) {
    sources.emplace_back();
  }
  if (!first) {
    sources.emplace_back(order.front());
  }
  for (const endpoint holder : state_->Holders(holders, salt, random)) {
    sources.emplace_back(holder);
  }
  if (order.empty()) {
    sources.insert(sources.end(), own.seeds.begin(), own.seeds.end());
  }
  sources.emplace_back();
  sources.erase(std::unique(sources.begin(), sources.end()), sources.end());
  return sources;
}

bool source_planner::IsWatcher(std::span<const member> fellows) const {
  const options& own = state_->options_;
  const endpoints order = Ranked(fellows, DigestOf(own.service), std::string_view());
  const auto last = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), kWatchers));
  return std::find(order.begin(), last, own.self) != last;
}

}  // namespace cuminferry
