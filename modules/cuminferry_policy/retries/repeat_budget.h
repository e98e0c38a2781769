#pragma once

#include <cstddef>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/retries/repeat_counts.h"

namespace cuminferry {

/** Limits how many requests reach one backend server more than once, as its share of a
    bound on the whole service.

    The bound holds over all targets of a service: in any window, the number of repeats is at most a
    ratio of the requests of that window, of the window before it or of the one half a window before
    it, plus a fixed allowance. Each target's node counts the requests that reach its own backend
    server and allows repeats by them, and by its share of the allowance. Repeats requested by
    different nodes are charged to one budget.

    Nobody adds the targets up, so each node keeps to a bound that can be added up: in any window,
    at most the ratio of kLatestWeight of that window's requests and kShiftedWeight of those of the
    window that began half a window earlier. The sum over all processes, however the load moved
    among them, is the same mean of the service's two windows, and the larger of these allows at
    least as much. A process that has lost its counts has lost what they earned as well. If each
    node went by the larger of its own windows, the sum would exceed the bound where load moves or a
    process restarts: one process spends what the earlier window earned, another what the latest
    did.

    The allowance is not earned, so its shares are what could be spent twice. In its first window a
    process gets its share little by little: all processes that ran at one place in a window get no
    more than one share, and the one before them another. Shares go by the most targets known in
    the last minutes, as lists lose entries of targets that serve.

    When a request runs again, its calls are repeats at the services further down as well; they are
    charged when they arrive.

    A backend server that rejects about half of its requests at random needs more repeats than the
    budget has. Spread evenly, they complete hardly any request that needs several answers. The
    budget therefore tells which share of the nested load it can complete (NestedShare()), and
    the callers choose that share of their runs. @see repeat_turns
*/
class repeat_budget {
 public:
  /** Weight of a window's own requests in the repeats that it may have. The higher it is, the more
      a process may repeat that has just started. */
  static constexpr double kLatestWeight = 0.4;
  /** Weight of the requests of the window that began half a window earlier. The higher it is, the
      more of a short fault is covered by what was earned before it. */
  static constexpr double kShiftedWeight = 1.0 - kLatestWeight;
  /** What a nested request earns, as a fraction of the ratio. The rest covers calls of repeated
      runs, which arrive whether or not there is budget left. */
  static constexpr double kNestedEarning = 0.9;
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

  /** What operators set. */
  struct bounds {
    /** Repeats allowed for each request. */
    double ratio = 0.0;
    /** Further repeats allowed in one window, over all targets. */
    double allowance = 0.0;
    /** Period over which the bound holds. */
    duration window{};

    bool operator==(const bounds&) const = default;
  };

  /** @param started_at  when the process started */
  repeat_budget(const bounds& chosen, instant started_at);

  /** Changes the bounds. What was counted stays, unless the window changes. */
  void SetBounds(const bounds& chosen, instant now);
  /** Sets the number of targets that this node lists. */
  void SetTargets(std::size_t targets, instant now) { targets_.Set(targets, now); }
  /** Another node lists this many targets of the service. */
  void OnTargetsTold(std::size_t targets, instant now) { targets_.Add(targets, now); }

  /** Counts a request that arrives for the first time.
      @param nested              whether the request is one of several calls that its parent
                                 needs
      @param repeat_probability  probability, 0 to 1, that the request is a call of a repeated
                                 run. Such calls are repeats at their service although no node
                                 decided to repeat them, so they reduce the budget for later
                                 repeats
      @param sent_at             when its sender sent it, as far as that is known. The bound counts
                                 it then, however long it waited */
  void OnFirstSend(bool nested, double repeat_probability, instant sent_at, instant now);
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
  using slice = repeat_counts::slice;

  static constexpr std::size_t kSlicesPerWindow = repeat_counts::kSlicesPerWindow;
  static constexpr std::size_t kHalfWindow = kSlicesPerWindow / 2;

  /** This node's share of the allowance. */
  double AllowanceAt(instant now);
  /** Repeats that the requests allow in the latest window. */
  double EarnedRepeats() const;
  /** Repeats that no window that includes the present lacks. */
  double LeftInWindows(double allowance) const;
  /** Returns the repeats reserved for standalone requests, of a bound over `slices` slices. */
  double ReservedForStandalone(std::size_t slices, double bound) const;
  bool MayRepeat(bool nested, instant now);
  double NestedBound(double allowance) const;
  double MaxBurst() const;
  /** Returns the largest sum over the latest window and the two before it. */
  double LargestWindow(double slice::*counter) const;
  double Severity() const;

  bounds bounds_;
  instant counted_since_;
  recent_maximum targets_;
  // Moving average of the rejected fraction of all sends.
  double rejected_fraction_ = 0.0;
  repeat_counts counts_;
};

}  // namespace cuminferry
