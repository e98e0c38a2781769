#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cuminferry_policy/targets/known_target.h"

namespace cuminferry {

/** All known targets of one service, and the subset of them over which this node spreads its
    calls. */
class service_targets {
 public:
  explicit service_targets(const target_chooser::options& chosen) : options_(chosen) {}

  //============================================================================
  void UseList(std::span<const target_info> list, instant now);
  /** Returns the target and adds it if it is unknown; nullptr if the maximum number of targets
      is reached. */
  known_target* FindOrAdd(const target_info& info);
  known_target* Find(endpoint address) const;
  /** Must be called when a target became eligible or ceased to be. */
  void ChooseSubset();

  //============================================================================
  known_target* Choose(std::span<const endpoint> avoid, instant now, random_source& random);

  std::size_t eligible() const;
  const auto& targets() const { return targets_; }
  /** Eligible targets of the subset, and the failed ones that are retested. */
  std::vector<endpoint> subset() const;

 private:
  using target_order = std::vector<known_target*>;

  known_target* BestEligible(std::span<const endpoint> avoid, instant now, random_source& random);
  known_target* FindRetestDue(std::span<const endpoint> avoid, instant now);
  known_target* BetterOfTwo(const target_order& candidates, std::span<const endpoint> avoid,
                            instant now, random_source& random) const;
  void OrderTargets();
  void RemoveStale(instant now);
  known_target::tier TierOf(const target_info& info) const;

  const target_chooser::options& options_;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<known_target>> targets_;
  /** All targets of each tier in this node's order of preference. */
  std::array<target_order, known_target::kTierCount> by_preference_;
  std::array<target_order, known_target::kTierCount> subset_;
  /** Failed targets among the preferred ones, at most the subset size of each tier. */
  target_order failed_;
  bool received_list_ = false;
  /** Number of choices since a failed target was last given a call. */
  std::uint32_t choices_since_retest_ = 0;
};

}  // namespace cuminferry
