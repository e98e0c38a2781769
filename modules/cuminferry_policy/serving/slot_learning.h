#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Learns how many requests the backend server should run concurrently under a load above its
    slots.

    Some backend servers slow down when nearly all of their slots are taken and others don't,
    which the published number of slots doesn't show. No fixed share suits them all: 93% of 16
    slots is 14, though 15 may be no slower and answer 7% more. While requests wait, a candidate
    number and the number in use are therefore applied in alternating turns, and the run times
    with each show which has the higher throughput. The candidate is adopted only if its gain
    exceeds the random error of that many runs.

    Run times are divided by the mean of their row, so that the mix of rows does not matter.
    Learning restarts whenever the published number of slots changes.
*/
class slot_learning {
 public:
  /** Initial share of the slots. Some backend servers slow down by a third when 95% or more of
      their slots are taken, and health checks and new connections take slots as well. */
  static constexpr double kInitialShare = 0.93;
  /** Length of the turn of one number: several run times, so that most runs start and end within
      one turn. */
  static constexpr duration kTrialTurn = std::chrono::milliseconds(300);
  /** Minimum number of runs with each number before the two are compared. With run times whose
      standard deviation is half of their mean, the ratio of the two means then has an error of
      3.5%. */
  static constexpr std::uint32_t kMinRunsPerSide = 400;
  /** Minimum relative gain in throughput to adopt a candidate: about the error of the ratio, and
      half of the gain by a step of a sixteenth of the slots. */
  static constexpr double kMinGain = 0.03;
  /** A step up or down, as a fraction of all slots; at least one slot. */
  static constexpr double kStepShare = 1.0 / 16.0;
  /** Larger steps down, as factors on the number in use. They reach below a point from which all
      runs are slow. */
  static constexpr double kLongStepFactor = 0.85;
  static constexpr double kLongestStepFactor = 0.65;
  /** Pause after a trial without a gain, which doubles with each such trial up to the maximum. A
      trial costs a few hundredths of the throughput for a second or two. */
  static constexpr duration kInitialTrialPause = std::chrono::seconds(5);
  static constexpr duration kMaxTrialPause = std::chrono::seconds(80);

  explicit slot_learning(std::uint32_t slots) { SetSlots(slots); }

  void SetSlots(std::uint32_t slots);
  /** Number of requests that may run now. */
  std::uint32_t limit() const { return is_candidate_active_ ? candidate_ : chosen_; }
  /** Best number of concurrent requests found yet. */
  std::uint32_t chosen() const { return chosen_; }

  /** Records a run that started when all of `limit` were taken.
      @param relative  run time divided by the mean run time of its row */
  void OnFullRun(std::uint32_t limit, double relative_time);
  /** Advances or decides the current trial. To be called periodically.
      @param waiting  whether requests wait for a slot */
  void Step(bool waiting, instant now);

 private:
  struct trial_side {
    std::uint32_t runs = 0;
    double relative_time = 0.0;
  };

  std::uint32_t NextCandidate() const;
  void Decide(instant now);
  static double ThroughputOf(std::uint32_t limit, const trial_side& side);

  std::uint32_t slots_ = 0;
  std::uint32_t chosen_ = 1;
  // The number that is compared with the chosen one; equal to it where no trial is in progress.
  std::uint32_t candidate_ = 1;
  bool is_candidate_active_ = false;
  trial_side with_chosen_;
  trial_side with_candidate_;
  instant turn_end_{};
  instant paused_until_{};
  duration trial_pause_ = kInitialTrialPause;
  // Number of candidates that were skipped or brought no gain. It determines the next candidate.
  std::uint32_t trial_index_ = 0;
};

}  // namespace cuminferry
