#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** The targets of one service in virtual time. Each has a node with a real repeat_budget; requests
    fail at random, and are sent again where a node allows it. */
class repeat_fleet {
 public:
  static constexpr duration kStep = std::chrono::milliseconds(10);
  static constexpr duration kWindow = std::chrono::seconds(10);
  static constexpr double kRatio = 0.2;
  static constexpr double kAllowance = 48.0;

  explicit repeat_fleet(std::uint64_t seed) : random_(seed) {}

  //============================================================================
  /** Adds a target whose node starts now. It knows no targets until SetView().
      @returns the number of the target, counted from 0 */
  std::size_t AddTarget(double load_share);
  /** The node gets a new process, which takes requests `down_for` from now on. */
  void Restart(std::size_t target, duration down_for);
  /** The node does nothing for this long. Its clock goes on. */
  void Freeze(std::size_t target, duration frozen_for);
  /** The settings of the node are reloaded, with the same bounds. */
  void Reload(std::size_t target);
  /** The target gets no more requests. */
  void Remove(std::size_t target) { targets_[target].load_share = 0.0; }
  void SetLoadShare(std::size_t target, double share) { targets_[target].load_share = share; }
  /** The node lists this many targets from now on. */
  void SetView(std::size_t target, std::size_t listed);
  /** Each request waits up to this long before each of its sends reaches a target. */
  void SetLongestWait(duration longest) { longest_wait_ = longest; }
  /** Requests that tell how many targets their senders know tell this number, from now on. */
  void SetCallersView(std::size_t listed) { callers_view_ = listed; }

  /** Sends requests for this long, of which this share fails at each target they are sent to. */
  void Play(duration length, double requests_a_second, double failing_share);

  //============================================================================
  std::size_t size() const { return targets_.size(); }
  /** Largest part of the bound that the repeats of any window reached; above 1 it is exceeded.
      @param from  windows that begin earlier don't count, from the first request on */
  double LargestUse(duration from = duration::zero()) const;
  /** Share of the requests that succeeded in the end. */
  double served() const;

 private:
  struct target {
    repeat_budget budget;
    double load_share = 1.0;
    std::size_t listed = 0;
    instant busy_until{};
  };

  /** A request before its next send. */
  struct waiting_request {
    instant sent_at{};
    int sends = 0;
  };

  static repeat_budget MakeBudget(instant now);
  void Wait(const waiting_request& request);
  void Arrive(waiting_request request, double failing_share);
  /** Draws a target by load share among those that take requests; nullptr where none does. */
  target* Draw();

  random_source random_;
  std::deque<target> targets_;
  std::size_t callers_view_ = 0;
  instant now_ = FromMicros(1'000'000'000);
  double due_ = 0.0;
  duration longest_wait_{};
  std::multimap<instant, waiting_request> waiting_;
  // Requests and repeats by step.
  std::vector<int> requests_;
  std::vector<int> repeats_;
  std::size_t sent_ = 0;
  std::size_t succeeded_ = 0;
};

}  // namespace cuminferry::testing
