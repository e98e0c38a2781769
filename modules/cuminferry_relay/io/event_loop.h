#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One thread's loop over sockets and timers (libuv).

    The call path runs on a single loop: a thread for each waiting call would
    cost a stack and two wake-ups a call on instances that have less than half
    a core. All objects of a loop are used on its thread only.
*/
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  //============================================================================
  /** Serves sockets and timers until Stop(). */
  void Run();
  /** Makes Run() return after the current callback. */
  void Stop();

  /** Runs the hook each time the process receives this signal. */
  void OnSignal(int signal, std::function<void()> hook);

  /** Runs the hook once, after the other callbacks of this turn and before the loop
      waits again. Whatever the hook uses must last until then. */
  void AtEndOfTurn(std::function<void()> hook) { turn_ends_.push_back(std::move(hook)); }

  /** Time since boot, suspended time included: a deadline that passed while
      the instance was suspended has passed. */
  instant Now() const { return boot_clock::Now(); }

  uv_loop_t* raw() { return &loop_; }

 private:
  struct signal_watch;

  void EndTurn();

  uv_loop_t loop_{};
  // Before and after the loop waits: callbacks of timers and of sockets come there.
  uv_prepare_t before_wait_{};
  uv_check_t after_wait_{};
  std::vector<std::function<void()>> turn_ends_;
  std::vector<std::unique_ptr<signal_watch>> signals_;
};

/** A timer of a loop. Ends with its owner; a hook may destroy its own timer. */
class loop_timer {
 public:
  explicit loop_timer(event_loop& loop);
  ~loop_timer();
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  /** Runs the hook once after this delay; replaces an earlier start. */
  void StartOnce(duration delay, std::function<void()> hook);
  /** Runs the hook at this period until Stop(). */
  void StartPeriodic(duration period, std::function<void()> hook);
  void Stop();

 private:
  struct state;
  state* state_;
};

}  // namespace cuminferry
