#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "trial/deployment.h"
#include "trial/fault.h"
#include "trial/measures.h"

namespace cuminferry::trial {

/** Options of one run of a trial. */
struct run_options {
  deployment::options deployment;
  std::vector<fault_kind> faults;
  /** Ratio of the rate of arrivals in the surge to the rate before it. */
  double surge_factor = 10.0;
  /** Lengths of the phases. */
  std::chrono::milliseconds before_length{4000};
  std::chrono::milliseconds surge_length{6000};
  std::chrono::milliseconds after_length{6000};
  /** Callers wait as long as Retry-After says instead of retrying at once. */
  bool polite = false;
  /** Whether backend servers stop at deadlines and cancellations also without full control. By
      default they don't: without full control no node forwards deadlines and cancellations, so
      backend servers continue to work for callers that have disconnected. */
  bool heeding_baselines = false;
};

/** Starts a deployment, loads it in the phases "warm-up", "before", "surge" and
    "after", and computes the measures. Faults are injected at the start of the surge.
    @return  an error if the deployment can't be started */
absl::StatusOr<trial_measures> RunTrial(const deployment_plan& plan, const run_options& options);

}  // namespace cuminferry::trial
