#include "cuminferry_policy/targets/service_targets.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace cuminferry {
namespace {

/** Up to this score a call stays in the nearest tier. */
constexpr double kSpillUtilisation = 0.8;
/** By how much the utilisation of a target in a more distant tier must be lower. Without this
    margin, noise moves calls to other failure domains and back, and each of them pays the
    network latency. */
constexpr std::array<double, known_target::kTierCount> kTierPenalty = {0.0, 0.25, 0.75};
/** Divisor of the subset size in each tier, and the minimum number of targets there. */
constexpr std::array<std::uint32_t, known_target::kTierCount> kSubsetDivisor = {1, 2, 4};
constexpr std::array<std::uint32_t, known_target::kTierCount> kMinSubsetSize = {2, 4, 2};

std::uint64_t KeyOf(endpoint target) { return (std::uint64_t{target.address} << 16) | target.port; }

std::uint64_t SubsetWeight(std::uint64_t identity, endpoint address) {
  return random_source(identity ^ (KeyOf(address) * 0x9E3779B97F4A7C15ULL)).Next();
}

bool Contains(std::span<const endpoint> list, endpoint address) {
  return std::ranges::find(list, address) != list.end();
}

}  // namespace

void service_targets::UseList(std::span<const target_info> list, instant now) {
  if (list.empty()) {
    return;
  }
  // The first list names a service that is already running. Targets added later start with a
  // warm-up.
  const bool first_list = !std::exchange(received_list_, true);
  absl::flat_hash_set<std::uint64_t> listed;
  for (const target_info& info : list) {
    known_target* target = Find(info.address);
    if (target == nullptr && targets_.size() < target_chooser::kMaxTargetsPerService) {
      auto added = std::make_unique<known_target>(
          info, TierOf(info), SubsetWeight(options_.identity, info.address), first_list);
      target = targets_.emplace(KeyOf(info.address), std::move(added)).first->second.get();
    }
    if (target != nullptr && first_list) {
      // The target may have introduced itself before the first list arrived. If all targets were
      // treated as warming up, they would look full to a node that has just started, and its calls
      // would go to other failure domains.
      target->NoteWarmedUp();
    }
    if (target != nullptr) {
      target->NoteListed(info);
      listed.insert(KeyOf(info.address));
    }
  }
  for (const auto& [key, target] : targets_) {
    if (!listed.contains(key)) {
      target->NoteUnlisted();
    }
  }
  RemoveStale(now);
  OrderTargets();
  ChooseSubset();
}

known_target* service_targets::FindOrAdd(const target_info& info) {
  known_target* known = Find(info.address);
  if (known != nullptr || targets_.size() >= target_chooser::kMaxTargetsPerService) {
    return known;
  }
  auto added = std::make_unique<known_target>(
      info, TierOf(info), SubsetWeight(options_.identity, info.address), /*warmed_up=*/false);
  known = targets_.emplace(KeyOf(info.address), std::move(added)).first->second.get();
  OrderTargets();
  return known;
}

known_target* service_targets::Find(endpoint address) const {
  const auto found = targets_.find(KeyOf(address));
  return found == targets_.end() ? nullptr : found->second.get();
}

void service_targets::ChooseSubset() {
  failed_.clear();
  for (std::size_t tier = 0; tier < known_target::kTierCount; ++tier) {
    const std::size_t wanted =
        std::max(options_.subset_size / kSubsetDivisor[tier], kMinSubsetSize[tier]);
    subset_[tier].clear();
    std::size_t failed = 0;
    for (known_target* target : by_preference_[tier]) {
      if (subset_[tier].size() == wanted) {
        break;
      }
      if (target->eligible()) {
        subset_[tier].push_back(target);
      } else if (target->failed() && !target->draining() && failed < wanted) {
        failed_.push_back(target);
        ++failed;
      }
    }
  }
}

//==============================================================================
known_target* service_targets::Choose(std::span<const endpoint> avoid, instant now,
                                      random_source& random) {
  known_target* best = BestEligible(avoid, now, random);
  ++choices_since_retest_;
  // A call sent to a failed target is most likely lost. When a whole failure domain is cut off,
  // many retests are due at once, and without this bound a service with few calls would lose most
  // of them.
  if (best != nullptr && choices_since_retest_ < target_chooser::kChoicesPerRetest) {
    return best;
  }
  known_target* retested = FindRetestDue(avoid, now);
  if (retested == nullptr) {
    return best;
  }
  retested->NoteRetest(now);
  choices_since_retest_ = 0;
  return retested;
}

std::size_t service_targets::eligible() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(targets_, [](const auto& entry) { return entry.second->eligible(); }));
}

std::vector<endpoint> service_targets::subset() const {
  std::vector<endpoint> all;
  for (const target_order& tier : subset_) {
    for (const known_target* target : tier) {
      all.push_back(target->address());
    }
  }
  for (const known_target* target : failed_) {
    all.push_back(target->address());
  }
  return all;
}

//==============================================================================
known_target* service_targets::BestEligible(std::span<const endpoint> avoid, instant now,
                                            random_source& random) {
  known_target* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  for (std::size_t tier = 0; tier < known_target::kTierCount && best_score > kSpillUtilisation;
       ++tier) {
    known_target* candidate = BetterOfTwo(subset_[tier], avoid, now, random);
    if (candidate == nullptr) {
      continue;
    }
    const double score = candidate->Utilisation(now) + kTierPenalty[tier];
    if (score < best_score) {
      best = candidate;
      best_score = score;
    }
  }
  return best;
}

known_target* service_targets::FindRetestDue(std::span<const endpoint> avoid, instant now) {
  for (known_target* target : failed_) {
    if (target->RetestDue(now) && !Contains(avoid, target->address())) {
      return target;
    }
  }
  return nullptr;
}

known_target* service_targets::BetterOfTwo(const target_order& candidates,
                                           std::span<const endpoint> avoid, instant now,
                                           random_source& random) const {
  // Reservoir sampling draws two eligible targets in one pass without a list of them; each pair is
  // equally likely.
  std::array<known_target*, 2> pair = {nullptr, nullptr};
  std::uint64_t seen_count = 0;
  for (known_target* target : candidates) {
    if (!target->eligible() || Contains(avoid, target->address())) {
      continue;
    }
    ++seen_count;
    if (seen_count <= pair.size()) {
      pair[seen_count - 1] = target;
      continue;
    }
    const std::uint64_t index = random.Below(seen_count);
    if (index < pair.size()) {
      pair[index] = target;
    }
  }
  if (seen_count < 2) {
    return pair[0];
  }
  // The pair is swapped at random because otherwise, with equal utilisation, the first target in
  // the order would take all calls of an idle service.
  if (random.Below(2) == 1) {
    std::swap(pair[0], pair[1]);
  }
  return pair[1]->Utilisation(now) < pair[0]->Utilisation(now) ? pair[1] : pair[0];
}

void service_targets::OrderTargets() {
  for (target_order& order : by_preference_) {
    order.clear();
  }
  for (const auto& [key, target] : targets_) {
    by_preference_[static_cast<std::size_t>(target->distance())].push_back(target.get());
  }
  for (target_order& order : by_preference_) {
    std::ranges::sort(order, std::greater<>(), [](const known_target* target) {
      return std::pair(target->subset_weight(), KeyOf(target->address()));
    });
  }
}

void service_targets::RemoveStale(instant now) {
  absl::erase_if(targets_, [&](const auto& entry) { return entry.second->MayBeRemoved(now); });
}

known_target::tier service_targets::TierOf(const target_info& info) const {
  if (info.failure_domain == options_.failure_domain && info.region == options_.region) {
    return known_target::tier::kOwnDomain;
  }
  return info.region == options_.region ? known_target::tier::kOwnRegion
                                        : known_target::tier::kOtherRegion;
}

}  // namespace cuminferry
