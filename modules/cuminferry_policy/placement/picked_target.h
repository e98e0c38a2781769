#pragma once

#include <optional>

#include "cuminferry_policy/declared/rate_belief.h"
#include "cuminferry_policy/placement/published_target.h"

namespace cuminferry {

/** The target of one request. */
struct picked_target {
  published_target target;
  /** No target is known to have room for the request, so it waits at this one for a turn within the
      rate that the backend server declares. */
  bool awaits_turn = false;
  /** What the picking node knows of the rate that the target declares; nothing where it knows
      none. */
  std::optional<rate_belief> declared;
};

}  // namespace cuminferry
