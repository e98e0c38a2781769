#pragma once

#include <functional>

#include "load/load_plan.h"
#include "load/load_record.h"

namespace cuminferry::load {

/** Generates an open-loop load: requests arrive whether or not earlier ones have been
    answered. */
class load_runner {
 public:
  explicit load_runner(caller::resolver resolve);

  /** Sets a hook that is called on the thread of Run() with the index of each phase that starts. */
  load_runner& OnPhase(std::function<void(std::size_t phase)> hook);

  /** Runs all phases and waits until all requests are finished. */
  load_result Run(const load_plan& plan);

 private:
  caller::resolver resolve_;
  std::function<void(std::size_t)> on_phase_;
};

}  // namespace cuminferry::load
