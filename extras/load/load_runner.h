#pragma once

#include <functional>

#include "load/load_plan.h"
#include "load/load_record.h"

namespace cuminferry::load {

/** Plays open-loop callers: whole requests arrive whether or not earlier ones
    have been answered, as people do. */
class load_runner {
 public:
  explicit load_runner(caller::resolver resolve);

  /** Called on the thread of Run() when a phase begins, with its index. */
  load_runner& OnPhase(std::function<void(std::size_t phase)> hook);

  /** Runs all phases and waits for the last answers. */
  load_result Run(const load_plan& plan);

 private:
  caller::resolver resolve_;
  std::function<void(std::size_t)> on_phase_;
};

}  // namespace cuminferry::load
