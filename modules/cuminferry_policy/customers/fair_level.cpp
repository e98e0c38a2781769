#include "cuminferry_policy/customers/fair_level.h"

#include <algorithm>

namespace cuminferry {

double ShareAtLevel(double level, double saturation) {
  return level >= saturation ? 1.0 : level / saturation;
}

double AdmittedAtLevel(std::span<const fair_demand> demands, double level) {
  double sum = 0.0;
  for (const fair_demand& demand : demands) {
    sum += demand.requested * ShareAtLevel(level, demand.saturation);
  }
  return sum;
}

double FairLevel(std::span<fair_demand> demands, double admitted) {
  std::ranges::sort(demands, {}, &fair_demand::saturation);
  // Requests admitted for each unit of the level, of the customers that are not saturated.
  double slope = 0.0;
  for (const fair_demand& demand : demands) {
    slope += demand.saturation > 0.0 ? demand.requested / demand.saturation : 0.0;
  }
  double remaining = std::max(0.0, admitted);
  for (const fair_demand& demand : demands) {
    if (demand.saturation <= 0.0) {
      remaining = std::max(0.0, remaining - demand.requested);
      continue;
    }
    if (slope * demand.saturation > remaining) {
      return remaining / slope;
    }
    remaining -= demand.requested;
    slope -= demand.requested / demand.saturation;
  }
  return kUnlimitedLevel;
}

}  // namespace cuminferry
