#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** A single-threaded event loop over sockets and timers, based on libuv.

    The call path runs on one loop, because a thread for each waiting call would cost a stack and
    two wake-ups a call on instances that have less than half a core. All objects that belong to a
    loop must be used on its thread only.
*/
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  //============================================================================
  /** Runs the callbacks of sockets and timers until Stop() is called. */
  void Run();
  /** Makes Run() return after the current callback. */
  void Stop();

  /** Runs the hook each time the process receives this signal. */
  void OnSignal(int signal, std::function<void()> hook);

  /** Runs the hook once, after the other callbacks of this loop iteration and before the loop
      waits again. All objects that the hook uses must exist until then. */
  void RunAtEndOfIteration(std::function<void()> hook) {
    end_of_iteration_hooks_.push_back(std::move(hook));
  }

  /** The time since boot, including the time in which the instance was suspended. A deadline that
      passes while the instance is suspended is therefore recognized as passed. */
  instant Now() const { return boot_clock::Now(); }

  uv_loop_t* raw() { return &loop_; }

 private:
  struct signal_watch;

  void RunEndOfIterationHooks();

  uv_loop_t loop_{};
  // libuv runs timer callbacks before the loop waits and socket callbacks after it, so the hooks
  // run at both places.
  uv_prepare_t before_wait_{};
  uv_check_t after_wait_{};
  std::vector<std::function<void()>> end_of_iteration_hooks_;
  std::vector<std::unique_ptr<signal_watch>> signals_;
};

/** A timer of an event loop. The destructor stops the timer. A hook may destroy its own timer. */
class loop_timer {
 public:
  explicit loop_timer(event_loop& loop);
  ~loop_timer();
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  /** Runs the hook once after this delay, and cancels an earlier start. */
  void StartOnce(duration delay, std::function<void()> hook);
  /** Runs the hook periodically until Stop() is called, and cancels an earlier start. */
  void StartPeriodic(duration period, std::function<void()> hook);
  void Stop();

 private:
  struct state;
  state* state_;
};

}  // namespace cuminferry
