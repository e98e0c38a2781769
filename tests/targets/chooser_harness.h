#pragma once

#include <map>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

inline endpoint TargetAt(std::uint32_t number) { return {0x0A000000U + number, 9000}; }

/** A target of the own domain "east" in region "here" unless told otherwise. */
inline target_info Target(std::uint32_t number, const std::string& domain = "east",
                          const std::string& region = "here") {
  return {TargetAt(number), "instance-" + std::to_string(number), domain, region, false};
}

/** A chooser of one service with virtual time and a counter of its choices. */
class chooser_harness {
 public:
  explicit chooser_harness(std::uint64_t identity = 1, std::uint32_t subset = 16)
      : chooser(
            {.failure_domain = "east", .region = "here", .subset = subset, .identity = identity}) {}

  void List(const std::vector<target_info>& targets) { chooser.UseTargets("map", targets, now); }

  void Pass(duration time) { now += time; }

  std::optional<endpoint> Choose(std::span<const endpoint> avoid = {}) {
    return chooser.Choose("map", avoid, now, random);
  }

  /** One call to a target, with its outcome. */
  void Call(endpoint at, target_outcome outcome, advertised_load load = {10, 100}) {
    chooser.OnSent(at, now);
    chooser.OnEnded(at, outcome, load, now);
  }

  void Fail(std::uint32_t number) {
    for (std::uint32_t lost = 0; lost < target_chooser::kLostToFail; ++lost) {
      Call(TargetAt(number), target_outcome::kLost);
    }
  }

  /** Lets every target answer once, so that it is proven. */
  void Prove(const std::vector<target_info>& targets, advertised_load load = {10, 100}) {
    for (const target_info& target : targets) {
      Call(target.at, target_outcome::kAnswered, load);
    }
  }

  /** How often each target is chosen in a number of calls that end at once. */
  std::map<endpoint, int> Spread(int calls) {
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
