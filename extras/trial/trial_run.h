#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "trial/deployment.h"
#include "trial/fault.h"
#include "trial/measures.h"

namespace cuminferry::trial {

/** How one run of a trial goes. */
struct run_options {
  deployment::options deployment;
  std::vector<fault_kind> faults;
  /** Arrivals in the surge over those before it. */
  double surge = 10.0;
  std::chrono::milliseconds before{4000};
  std::chrono::milliseconds surge_length{6000};
  std::chrono::milliseconds after{6000};
  /** Callers that come back when they are told to, not at once. */
  bool polite = false;
  /** Without full control nobody passes deadlines and cancellations on, so that
      backend servers work on for callers that have gone; true: they don't. */
  bool heeding_baselines = false;
};

/** Starts a deployment, loads it in the phases "warm-up", "before", "surge" and
    "after", and measures. Faults begin with the surge. */
absl::StatusOr<trial_measures> RunTrial(const deployment_plan& plan, const run_options& options);

}  // namespace cuminferry::trial
