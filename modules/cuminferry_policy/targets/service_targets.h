#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cuminferry_policy/targets/known_target.h"

namespace cuminferry {

/** All known targets of one service, and the few among them that this node
    spreads its calls over. */
class service_targets {
 public:
  explicit service_targets(const target_chooser::options& chosen) : options_(chosen) {}

  //============================================================================
  void UseList(std::span<const target_info> list, instant now);
  /** The target, made where it is not known; nullptr where the bound is reached. */
  known_target* Learn(const target_info& info);
  known_target* Find(endpoint at) const;
  /** To be called when a target became eligible, or no longer is. */
  void ChooseSubset();

  //============================================================================
  known_target* Choose(std::span<const endpoint> avoid, instant now, random_source& random);

  std::size_t eligible() const;
  const auto& targets() const { return targets_; }
  /** Eligible targets of the subset and the failed ones that are re-tested. */
  std::vector<endpoint> subset() const;

 private:
  using target_order = std::vector<known_target*>;

  known_target* BestEligible(std::span<const endpoint> avoid, instant now, random_source& random);
  known_target* FailedToRetest(std::span<const endpoint> avoid, instant now);
  known_target* BetterOfTwo(const target_order& among, std::span<const endpoint> avoid, instant now,
                            random_source& random) const;
  void OrderTargets();
  void Forget(instant now);
  known_target::tier TierOf(const target_info& info) const;

  const target_chooser::options& options_;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<known_target>> targets_;
  /** By tier, all targets in this node's order of preference. */
  std::array<target_order, known_target::kTiers> ordered_;
  std::array<target_order, known_target::kTiers> subset_;
  /** Failed targets of the subset; few. */
  target_order failed_;
  /** Choices since a failed target was last given a call. */
  std::uint32_t since_retest_ = 0;
};

}  // namespace cuminferry
