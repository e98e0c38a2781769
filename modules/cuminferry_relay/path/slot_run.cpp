#include "cuminferry_relay/path/slot_run.h"

#include <algorithm>

namespace cuminferry {

void slot_run::Begin() {
  relay_board& node = context_.node;
  is_running_ = true;
  started_ = node.loop.Now();
  limit_when_full_ = context_.gate.limit_when_full();
  node.attribution.OnRunStart(header_.row, started_);
  node.running.OnStart(arrived_ - header_.age, repeat_probability_);
  node.demand.OnRunStart(node.attribution.CalleesOf(header_.row), header_.stands_for);
}

void slot_run::OnRepeat() {
  running_work& running = context_.node.running;
  running.OnEnd(arrived_ - header_.age, repeat_probability_);
  repeat_probability_ = 1.0;
  running.OnStart(arrived_ - header_.age, repeat_probability_);
}

call_attribution::run_outcome slot_run::ToRunOutcome(result completion) {
  switch (completion) {
    case result::kSuccess:
      return call_attribution::run_outcome::kCompleted;
    case result::kFailure:
      return call_attribution::run_outcome::kFailed;
    case result::kAborted:
      break;
  }
  return call_attribution::run_outcome::kCancelled;
}

// The durations of aborted runs are not sampled: requests that are rejected at once would make the
// estimated run times, and with them the estimated waiting times, too short.
void slot_run::End(result completion) {
  if (!is_running_) {
    return;
  }
  is_running_ = false;
  relay_board& node = context_.node;
  const instant now = node.loop.Now();
  node.attribution.OnRunEnd(header_.row, started_, now, ToRunOutcome(completion));
  node.running.OnEnd(arrived_ - header_.age, repeat_probability_);
  if (completion == result::kAborted) {
    context_.gate.Release();
    return;
  }
  const duration ran_for = now - started_;
  const duration mean = context_.run_times.MeanOf(header_.row, ran_for);
  context_.gate.Finish(ran_for);
  context_.gate.OnRun(limit_when_full_,
                      static_cast<double>(ran_for.count()) /
                          static_cast<double>(std::max(mean, duration(1)).count()));
  context_.run_times.OnRun(header_.row, ran_for);
}

}  // namespace cuminferry
