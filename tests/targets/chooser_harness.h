#pragma once

#include <map>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

inline endpoint AddressOfTarget(std::uint32_t number) { return {0x0A000000U + number, 9000}; }

/** A target in the own failure domain "east" and the region "here", unless stated otherwise. */
inline target_info MakeTarget(std::uint32_t number, const std::string& domain = "east",
                              const std::string& region = "here") {
  return {AddressOfTarget(number), "instance-" + std::to_string(number), domain, region, false};
}

/** A chooser for one service in virtual time, with helpers to send calls and to count choices. */
class chooser_harness {
 public:
  explicit chooser_harness(std::uint64_t identity = 1, std::uint32_t subset_size = 16)
      : chooser({.failure_domain = "east",
                 .region = "here",
                 .subset_size = subset_size,
                 .identity = identity}) {}

  void ApplyList(const std::vector<target_info>& targets) {
    chooser.UseTargets("map", targets, now);
  }

  void Advance(duration time) { now += time; }

  std::optional<endpoint> Choose(std::span<const endpoint> avoid = {}) {
    return chooser.Choose("map", avoid, now, random);
  }

  /** Sends one call to a target and completes it with the given outcome. */
  void Call(endpoint at, target_outcome outcome, advertised_load load = {10, 100}) {
    chooser.OnSent(at, now);
    chooser.OnEnded(at, outcome, load, now);
  }

  void Fail(std::uint32_t number) {
    for (std::uint32_t lost = 0; lost < target_chooser::kLossesToFail; ++lost) {
      Call(AddressOfTarget(number), target_outcome::kLost);
    }
  }

  /** Completes one answered call at every target, so that none counts as unconfirmed. */
  void AnswerOnceFrom(const std::vector<target_info>& targets, advertised_load load = {10, 100}) {
    for (const target_info& target : targets) {
      Call(target.address, target_outcome::kAnswered, load);
    }
  }

  /** How often each target is chosen in a number of calls that finish at once. */
  std::map<endpoint, int> CountChoices(int calls) {
    std::map<endpoint, int> spread;
    for (int call = 0; call < calls; ++call) {
      if (const auto chosen = Choose()) {
        ++spread[*chosen];
      }
    }
    return spread;
  }

  target_chooser chooser;
  instant now = FromMicros(1'000'000'000);
  random_source random{7};
};

}  // namespace cuminferry::testing
