#pragma once

#include <limits>
#include <span>

namespace cuminferry {

/** One customer's requests in the search for a level. */
struct fair_demand {
  /** Requests, in any unit that the admitted sum has too. */
  double requested = 0.0;
  /** Level at which all requests of the customer are admitted: its request rate over all nodes
      divided by its weight. */
  double saturation = 0.0;
};

/** The level at which everything is admitted. */
inline constexpr double kUnlimitedLevel = std::numeric_limits<double>::infinity();

/** Share of a customer's requests that a level admits. */
double ShareAtLevel(double level, double saturation);

/** Number of requests that a level admits. */
double AdmittedAtLevel(std::span<const fair_demand> demands, double level);

/** The max-min fair level: admits `admitted` requests, and no customer's share of them can be
    raised without lowering that of a customer which gets no more per unit of its weight.
    kUnlimitedLevel if all requests together are not more than `admitted`.
    @param demands  is sorted by saturation */
double FairLevel(std::span<fair_demand> demands, double admitted);

}  // namespace cuminferry
