#pragma once

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "relay/registration_world.h"

namespace cuminferry::testing {

inline constexpr int kMaxPrinted = 10;

/** What was measured in several fleets. */
struct sums {
  registration_world::figures all;
  int fleets_too_late = 0;
  int fleets_late_to_silent = 0;
  int fleets_with_gaps = 0;
};

inline std::uint64_t Number(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

inline void Add(sums& to, const registration_world::figures& one) {
  to.all.requests += one.requests;
  to.all.served += one.served;
  to.all.silent_leavers += one.silent_leavers;
  to.all.after_removal += one.after_removal;
  to.all.latest_part = std::max(to.all.latest_part, one.latest_part);
  to.all.too_late += one.too_late;
  to.all.late_to_silent += one.late_to_silent;
  to.all.gaps += one.gaps;
  to.all.without_target += one.without_target;
  to.all.longest_gap = std::max(to.all.longest_gap, one.longest_gap);
  to.all.queries += one.queries;
  to.all.probes += one.probes;
  to.fleets_too_late += one.too_late > 0 ? 1 : 0;
  to.fleets_late_to_silent += one.late_to_silent > 0 ? 1 : 0;
  to.fleets_with_gaps += one.gaps > 0 ? 1 : 0;
}

inline sums Play(const char* name, std::uint64_t fleets, registration_world::retention_mode mode) {
  const std::uint64_t first = Number("REGISTRATION_SEED", 1);
  const std::uint64_t last = first > 1 ? first : fleets;
  sums found;
  int printed = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    registration_world world({.seed = seed,
                              .mode = mode,
                              .false_health_hides_close = Number("REGISTRATION_HIDES_CLOSE", 0) > 0,
                              .query_waits_for_probe = Number("REGISTRATION_WAITS", 1) > 0});
    const registration_world::figures& one = world.Run();
    Add(found, one);
    if (mode == registration_world::retention_mode::kConfirmed && !one.keeps_requirements() &&
        ++printed <= kMaxPrinted) {
      std::cout << "seed " << seed << ":\n" << world.violations();
    }
  }
  const registration_world::figures& all = found.all;
  std::cout << name << ", " << last - first + 1 << " fleets: " << all.served << " of "
            << all.requests << " requests served; " << all.silent_leavers << " silent leavers got "
            << all.after_removal << " requests after the removal, the latest after "
            << all.latest_part << " of drain; " << all.late_to_silent << " after 0.8 of drain ("
            << found.fleets_late_to_silent << " fleets); " << all.too_late
            << " to leavers after drain (" << found.fleets_too_late << " fleets); without a target "
            << all.gaps << " times (" << found.fleets_with_gaps << " fleets), "
            << ToSeconds(all.without_target) << " s, longest " << ToSeconds(all.longest_gap)
            << " s; " << all.queries << " queries, " << all.probes << " probes\n";
  return found;
}

}  // namespace cuminferry::testing
