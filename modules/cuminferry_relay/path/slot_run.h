#pragma once

#include <cstdint>

#include "cuminferry_relay/path/serving_context.h"

namespace cuminferry {

/** One request's use of a slot of the backend server, and its record in the figures of the node:
    run times, what rows call, demand and the limit that is learned from runs. */
class slot_run {
 public:
  enum class result : std::uint8_t {
    kSuccess,
    /** The backend server answered with an error, or the run reached its deadline. */
    kFailure,
    /** The run was cancelled or brought no valid answer. */
    kAborted,
  };

  /** @param header   outlives the run
      @param arrived  arrival of the request at this node */
  slot_run(serving_context& context, const call_header& header, instant arrived)
      : context_(context),
        header_(header),
        arrived_(arrived),
        repeat_probability_(header.repeat_probability) {}

  /** Begins the run in a slot that the gate has granted. */
  void Begin();
  /** The request is sent again in its slot, so that its calls are those of a repeat. */
  void OnRepeat();
  /** Ends the run and releases the slot; does nothing where no run is under way. */
  void End(result completion);

  bool is_running() const { return is_running_; }
  bool has_begun() const { return started_ != instant{}; }
  /** Moment at which the run began. */
  instant started_at() const { return started_; }

 private:
  static call_attribution::run_outcome ToRunOutcome(result completion);

  serving_context& context_;
  const call_header& header_;
  const instant arrived_;
  instant started_{};
  double repeat_probability_;
  // Concurrency limit of the gate when the run began; zero if slots were free.
  std::uint32_t limit_when_full_ = 0;
  bool is_running_ = false;
};

}  // namespace cuminferry
