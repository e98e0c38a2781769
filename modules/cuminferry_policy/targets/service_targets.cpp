#include "cuminferry_policy/targets/service_targets.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <limits>

namespace cuminferry {
namespace {

/** Up to this utilisation a call stays in the nearest tier. */
constexpr double kSpillAt = 0.8;
/** How much emptier a target further away has to be. Without it, calls cross to
    other domains and back on noise, and each pays the way. */
constexpr std::array<double, known_target::kTiers> kTierPenalty = {0.0, 0.25, 0.75};
/** The part of the subset that is kept in each tier, and at least how many. */
constexpr std::array<std::uint32_t, known_target::kTiers> kSubsetDivisor = {1, 2, 4};
constexpr std::array<std::uint32_t, known_target::kTiers> kLeastSubset = {2, 4, 2};

std::uint64_t KeyOf(endpoint at) { return (std::uint64_t{at.address} << 16) | at.port; }

std::uint64_t SubsetWeight(std::uint64_t identity, endpoint at) {
  return random_source(identity ^ (KeyOf(at) * 0x9E3779B97F4A7C15ULL)).Next();
}

bool Contains(std::span<const endpoint> list, endpoint at) {
  return std::ranges::find(list, at) != list.end();
}

}  // namespace

void service_targets::UseList(std::span<const target_info> list, instant now) {
  if (list.empty()) {
    return;
  }
  // The first list finds a service that is running; what comes later is cold.
  const bool first_list = targets_.empty();
  absl::flat_hash_set<std::uint64_t> listed;
  for (const target_info& info : list) {
    known_target* target = Find(info.at);
    if (target == nullptr && targets_.size() < target_chooser::kMostTargets) {
      auto made = std::make_unique<known_target>(
          info, TierOf(info), SubsetWeight(options_.identity, info.at), first_list);
      target = targets_.emplace(KeyOf(info.at), std::move(made)).first->second.get();
    }
    if (target != nullptr) {
      target->NoteListed(info);
      listed.insert(KeyOf(info.at));
    }
  }
  for (const auto& [key, target] : targets_) {
    if (!listed.contains(key)) {
      target->NoteUnlisted();
    }
  }
  Forget(now);
  OrderTargets();
  ChooseSubset();
}

known_target* service_targets::Learn(const target_info& info) {
  known_target* known = Find(info.at);
  if (known != nullptr || targets_.size() >= target_chooser::kMostTargets) {
    return known;
  }
  auto made = std::make_unique<known_target>(
      info, TierOf(info), SubsetWeight(options_.identity, info.at), /*warm=*/false);
  known = targets_.emplace(KeyOf(info.at), std::move(made)).first->second.get();
  OrderTargets();
  return known;
}

known_target* service_targets::Find(endpoint at) const {
  const auto found = targets_.find(KeyOf(at));
  return found == targets_.end() ? nullptr : found->second.get();
}

void service_targets::ChooseSubset() {
  failed_.clear();
  for (std::size_t tier = 0; tier < known_target::kTiers; ++tier) {
    const std::size_t wanted = std::max(options_.subset / kSubsetDivisor[tier], kLeastSubset[tier]);
    subset_[tier].clear();
    std::size_t failed = 0;
    for (known_target* target : ordered_[tier]) {
      if (subset_[tier].size() == wanted) {
        break;
      }
      if (target->eligible()) {
        subset_[tier].push_back(target);
      } else if (target->failed() && !target->leaving() && failed < wanted) {
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
  ++since_retest_;
  // A call sent to a failed target is most likely lost. When a whole failure
  // domain is cut off, many are due at once, and without this bound a service of
  // few calls would lose most of them.
  if (best != nullptr && since_retest_ < target_chooser::kRetestEvery) {
    return best;
  }
  known_target* retested = FailedToRetest(avoid, now);
  if (retested == nullptr) {
    return best;
  }
  retested->NoteRetest(now);
  since_retest_ = 0;
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
      all.push_back(target->at());
    }
  }
  for (const known_target* target : failed_) {
    all.push_back(target->at());
  }
  return all;
}

//==============================================================================
known_target* service_targets::BestEligible(std::span<const endpoint> avoid, instant now,
                                            random_source& random) {
  known_target* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  for (std::size_t tier = 0; tier < known_target::kTiers && best_score > kSpillAt; ++tier) {
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

known_target* service_targets::FailedToRetest(std::span<const endpoint> avoid, instant now) {
  for (known_target* target : failed_) {
    if (target->RetestDue(now) && !Contains(avoid, target->at())) {
      return target;
    }
  }
  return nullptr;
}

known_target* service_targets::BetterOfTwo(const target_order& among,
                                           std::span<const endpoint> avoid, instant now,
                                           random_source& random) const {
  // Two of the eligible ones, each pair as likely as any other, in one pass
  // without a list of them: reservoir sampling.
  std::array<known_target*, 2> pair = {nullptr, nullptr};
  std::uint64_t seen = 0;
  for (known_target* target : among) {
    if (!target->eligible() || Contains(avoid, target->at())) {
      continue;
    }
    ++seen;
    if (seen <= pair.size()) {
      pair[seen - 1] = target;
      continue;
    }
    const std::uint64_t place = random.Below(seen);
    if (place < pair.size()) {
      pair[place] = target;
    }
  }
  if (seen < 2) {
    return pair[0];
  }
  // Where both are equally full either may win, or the first of the order would
  // take all calls of an idle service.
  if (random.Below(2) == 1) {
    std::swap(pair[0], pair[1]);
  }
  return pair[1]->Utilisation(now) < pair[0]->Utilisation(now) ? pair[1] : pair[0];
}

void service_targets::OrderTargets() {
  for (target_order& order : ordered_) {
    order.clear();
  }
  for (const auto& [key, target] : targets_) {
    ordered_[static_cast<std::size_t>(target->distance())].push_back(target.get());
  }
  for (target_order& order : ordered_) {
    std::ranges::sort(order, std::greater<>(), [](const known_target* target) {
      return std::pair(target->subset_weight(), KeyOf(target->at()));
    });
  }
}

void service_targets::Forget(instant now) {
  absl::erase_if(targets_, [&](const auto& entry) { return entry.second->Forgettable(now); });
}

known_target::tier service_targets::TierOf(const target_info& info) const {
  if (info.failure_domain == options_.failure_domain && info.region == options_.region) {
    return known_target::tier::kOwnDomain;
  }
  return info.region == options_.region ? known_target::tier::kOwnRegion
                                        : known_target::tier::kOtherRegion;
}

}  // namespace cuminferry
