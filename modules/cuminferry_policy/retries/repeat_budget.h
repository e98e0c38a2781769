#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One node's part of the bound on requests that reach a second target of a
    service.

    The bound is the fleet's: a ratio of the requests of the last seconds, and a
    fixed allowance over all nodes. A node spends the ratio of its own requests
    and its part of the allowance, so that the sum holds without agreement. The
    calls of a request that runs again are repeats at the services further down,
    too: they are charged as they are sent.
*/
class repeat_budget {
 public:
  /** Part of the allowed ratio that first sends earn. The rest covers calls of
      repeated runs that are taken for others, and clients' requests that end
      before they count. */
  static constexpr double kEarnedPart = 0.8;

  /** @param ratio      repeats allowed for each request
      @param allowance  repeats allowed besides in one window, over all nodes
      @param window     over which the bound holds */
  repeat_budget(double ratio, double allowance, duration window);

  /** How many nodes share the allowance. */
  void SetNodes(std::size_t nodes);

  /** A request is sent for the first time.
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
  std::size_t nodes_ = 1;
  double balance_;
  instant refilled_{};
};

}  // namespace cuminferry
