#pragma once

#include <cstddef>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One backend server's part of the bound on requests that reach its service more
    than once.

    The bound is the fleet's: a ratio of the requests of the last seconds, and a
    fixed allowance over all targets of the service. Each target's node counts what
    reaches its own backend server and allows the ratio of that, and its part of
    the allowance, so that the sum holds without agreement, and repeats that
    different nodes want are paid from one purse. The calls of a request that runs
    again are repeats at the services further down, too: they are charged as they
    arrive.
*/
class repeat_budget {
 public:
  /** Part of the allowed ratio that first sends earn. The rest covers calls of
      repeated runs that are taken for others. */
  static constexpr double kEarnedPart = 0.8;

  /** @param ratio      repeats allowed for each request
      @param allowance  repeats allowed besides in one window, over all targets
      @param window     over which the bound holds */
  repeat_budget(double ratio, double allowance, duration window);

  /** How many targets share the allowance. */
  void SetTargets(std::size_t targets);

  /** A request came for the first time.
      @param repeated  how likely it is a call of a run that is itself a repeat:
                       such calls are repeats of their service, though nobody
                       decides on them, and later repeats have to wait for it */
  void OnFirstSend(double repeated, instant now);
  /** Takes one repeat; false where the budget is spent.
      @param nested  the request is one of several that its parent needs, and any
                     of them may fail: where repeats are short they go to
                     requests that are whole with this answer, so a part of the
                     balance is kept for those */
  bool TakeOne(bool nested, instant now);

  /** Kept for requests that are not nested. */
  static constexpr double kKeptForWhole = 1.0;

 private:
  void Refill(instant now);

  double ratio_;
  double allowance_;
  duration window_;
  std::size_t targets_ = 1;
  double balance_;
  instant refilled_{};
};

}  // namespace cuminferry
