#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Limits how many requests reach one backend server more than once, as its share of a
    bound on the whole service.

    The bound holds over all targets of a service: in any window, the number of repeats is
    at most a ratio of the requests of that window or of one of the two windows before it,
    plus a fixed allowance. Each target's node counts the requests that reach its own backend
    server and allows that ratio of them plus its share of the allowance. The sum over the
    targets therefore stays within the bound without coordination, and repeats requested by
    different nodes are charged to one budget. When a request runs again, its calls are
    repeats at the services further down as well; they are charged when they arrive.

    A backend server that rejects about half of its requests at random needs more repeats than the
    budget has. Spread evenly, they complete hardly any request that needs several answers. The
    budget therefore tells which share of the nested load it can complete (NestedShare()), and
    the callers choose that share of their runs. @see repeat_turns

    Budget earned while few repeats were needed remains available until its window has
    passed. A fault that loses a quarter of all answers for four seconds requires repeats
    for a third of the requests; if the ratio were spread evenly over the window, it would
    allow only a fifth.
*/
class repeat_budget {
 public:
  /** Fraction of the ratio that is earned by requests of the latest window. The rest covers
      calls of repeated runs that are counted as first sends. */
  static constexpr double kLatestWindowFraction = 0.8;
  /** Fraction of the ratio that is earned by requests of the two windows before the latest.
      When load moves from one target to another, the first target counts its earlier requests
      and the second its latest ones; with a quarter of the load moved, the sum over the targets
      still stays within the ratio. */
  static constexpr double kEarlierWindowFraction = 0.7;
  /** Maximum repeats within about a tenth of a window for each request of that time, or for each
      request that usually arrives in it: runs that fail make fewer calls. If the budget of a
      whole window were spent at once, it would double the load on a service that is failing. */
  static constexpr double kMaxBurstRatio = 0.5;
  /** Repeats allowed in a tenth of a window in addition to kMaxBurstRatio, for targets that
      receive hardly any requests. */
  static constexpr double kMinBurstRepeats = 2.0;
  /** Repeats reserved for each standalone request (one that is answered by this call alone),
      both in the window and in the burst limit. The reserve is at least one repeat and at most
      half of each limit. Without it, the nested calls of requests that need several answers
      would use up both limits and complete few requests. */
  static constexpr double kReservedPerStandalone = 1.0;

  /** Rejected fraction of the sends up to which all nested load is admitted: nearly all requests
      are completed by the repeats, or by none at all. */
  static constexpr double kTolerableRejection = 0.35;
  /** Rejected fraction from which NestedShare() applies in full, and nested requests get their
      repeats evenly over a window: until callers take turns, repeats complete little. */
  static constexpr double kSevereRejection = 0.45;
  /** Weight of one send in the moving average of the rejected fraction, which covers the last 50
      sends: a third of a second of a backend server under load. */
  static constexpr double kSendWeight = 0.02;
  /** Minimum value of NestedShare(). */
  static constexpr double kMinNestedShare = 0.03;
  /** What the decisions of one window rest on. */
  struct figures {
    double requests = 0.0;
    double repeats = 0.0;
    /** The part of `repeats` that are calls of repeated runs, which nobody decides about. */
    double charged = 0.0;
    double earned = 0.0;
    /** This target's share of the allowance. */
    double allowance = 0.0;
    std::size_t targets = 0;
  };

  /** @param ratio      repeats allowed for each request
      @param allowance  further repeats allowed in one window, over all targets
      @param window     period over which the bound holds */
  repeat_budget(double ratio, double allowance, duration window);

  /** Sets the number of targets that share the allowance; 0 counts as 1. */
  void SetTargets(std::size_t targets);

  /** Counts a request that arrives for the first time.
      @param nested              whether the request is one of several calls that its parent
                                 needs
      @param repeat_probability  probability, 0 to 1, that the request is a call of a repeated
                                 run. Such calls are repeats at their service although no node
                                 decided to repeat them, so they reduce the budget for later
                                 repeats */
  void OnFirstSend(bool nested, double repeat_probability, instant now);
  /** Takes one repeat from the budget; returns false if the budget is spent.
      @param nested    whether the request is one of several calls that its parent needs. The
                       parent fails if any of them fails, so when repeats are short they go to
                       standalone requests
      @param has_turn  whether the caller has chosen the request for repeats; counts for nested
                       requests while NestedShare() is below 1 */
  bool TakeOne(bool nested, instant now, bool has_turn = true);
  /** Records whether the backend server rejected a request that was sent to it. */
  void OnSendResult(bool rejected);
  /** Share of the nested load whose repeats are within the budget, from kMinNestedShare to 1; 1
      while few requests are rejected. */
  double NestedShare(instant now);
  figures FiguresAt(instant now);

 private:
  /** Counts of requests and repeats in one slice of a window. */
  struct slice {
    double requests = 0.0;
    double repeats = 0.0;
    double charged = 0.0;
    // The part of the first two counts above that concerns standalone requests.
    double standalone_requests = 0.0;
    double standalone_repeats = 0.0;
  };

  static constexpr std::size_t kSlicesPerWindow = 20;
  // Two windows, and the slice that is being filled.
  static constexpr std::size_t kSlices = 2 * kSlicesPerWindow + 1;

  void Advance(instant now);
  slice& Newest() { return slices_[static_cast<std::size_t>(newest_slice_) % kSlices]; }
  /** Sums a counter over `count` slices, ending `age` slices before the newest one. */
  double Sum(double slice::*counter, std::size_t age, std::size_t count) const;
  double EarnedRepeats() const;
  /** Returns the repeats reserved for standalone requests, of a bound over `slices` slices. */
  double ReservedForStandalone(std::size_t slices, double bound) const;
  bool MayRepeat(bool nested) const;
  double NestedBound() const;
  double MaxBurst() const;
  /** Returns the largest sum over the latest window and the two before it. */
  double LargestWindow(double slice::*counter) const;
  double Severity() const;

  double ratio_;
  double allowance_;
  duration slice_length_;
  std::size_t targets_ = 1;
  // Moving average of the rejected fraction of all sends.
  double rejected_fraction_ = 0.0;
  std::array<slice, kSlices> slices_{};
  // Number of the newest slice, counted from the epoch of `instant`.
  std::int64_t newest_slice_ = 0;
  // Fraction of the newest slice that has elapsed, 0 to 1.
  double newest_elapsed_fraction_ = 0.0;
};

}  // namespace cuminferry
