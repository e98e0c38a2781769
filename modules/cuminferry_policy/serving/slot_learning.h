#pragma once

#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Learns how many requests the backend server should run at once.

    Answers a load above its slots. Some backend servers slow down when nearly all of their
    slots are taken, others don't, and no published number tells. A fixed share is wrong for
    each of them: 93% of 16 leaves 14, though with 15 none is slower and 7% more is
    answered. So while requests wait, another number is tried beside the one in use, in
    turns, and what runs take with either says which answers more. It is kept only where it
    does so by more than chance makes of that many runs.

    Runs are compared with the mean of their row, so that the mix of rows does not matter.
    Starts anew with each number of slots that is published.
*/
class slot_learning {
 public:
  /** Where it starts: backend servers slow down by a third when 95% or more are taken, and
      health checks and new connections take slots besides. */
  static constexpr double kFirstShare = 0.93;
  /** A turn of one number: some runs long, so that most begin and end in one. */
  static constexpr duration kTurn = std::chrono::milliseconds(300);
  /** Runs with either number before they are compared. With run times that differ by half
      of their mean, the ratio of two means is known to 3.5%. */
  static constexpr std::uint32_t kRuns = 400;
  /** A number that answers more by less than this is not taken: about the error of the
      ratio, and half of what a step of a sixteenth of the slots brings. */
  static constexpr double kLeastGain = 0.03;
  /** A step up or down, of all slots; one at least. */
  static constexpr double kStepShare = 1.0 / 16.0;
  /** Longer steps down, of the number in use: past a point from which all are slow. */
  static constexpr double kLongStep = 0.85;
  static constexpr double kLongestStep = 0.65;
  /** After a trial that brought nothing, and at most, as each such trial doubles it. A
      trial costs a few hundredths of the answers for a second or two. */
  static constexpr duration kFirstRest = std::chrono::seconds(5);
  static constexpr duration kLongestRest = std::chrono::seconds(80);

  explicit slot_learning(std::uint32_t slots) { SetSlots(slots); }

  void SetSlots(std::uint32_t slots);
  /** How many may run now. */
  std::uint32_t limit() const { return trying_ ? candidate_ : chosen_; }
  /** How many are known to be good. */
  std::uint32_t chosen() const { return chosen_; }

  /** A run ended that began when all of `limit` were taken.
      @param relative  time that it took, of its row's mean */
  void OnFullRun(std::uint32_t limit, double relative);
  /** To be called now and then.
      @param waiting  whether requests wait for a slot */
  void Step(bool waiting, instant now);

 private:
  struct trial_side {
    std::uint32_t runs = 0;
    double relative = 0.0;
  };

  std::uint32_t NextCandidate() const;
  void Decide(instant now);
  static double AnsweredBy(std::uint32_t limit, const trial_side& side);

  std::uint32_t slots_ = 0;
  std::uint32_t chosen_ = 1;
  // The number that is compared with the chosen one; the same where none is.
  std::uint32_t candidate_ = 1;
  bool trying_ = false;
  trial_side with_chosen_;
  trial_side with_candidate_;
  instant turn_ends_{};
  instant rests_until_{};
  duration rest_ = kFirstRest;
  // Trials made; says what is tried next.
  std::uint32_t turn_ = 0;
};

}  // namespace cuminferry
