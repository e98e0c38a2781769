#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <utility>

#include "cuminferry_core/threads/lock_rank.h"

namespace cuminferry {

/** A mutex with a rank in the lock order of the process.

    Debug builds assert on each Lock() that the thread holds only mutexes of lower rank. A wrong
    order is thus detected by any test that locks both mutexes, not only when two threads deadlock.

    @see lock_rank
*/
class ABSL_LOCKABLE ranked_mutex {
 public:
  explicit ranked_mutex(lock_rank rank) : rank_(rank) {}
  ranked_mutex(const ranked_mutex&) = delete;
  ranked_mutex& operator=(const ranked_mutex&) = delete;

  void Lock() ABSL_EXCLUSIVE_LOCK_FUNCTION();
  void Unlock() ABSL_UNLOCK_FUNCTION();

  /** Waits on a condition variable that was signalled under this mutex. */
  void Wait(absl::CondVar& changed) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this);
  /** Like Wait(), with a timeout; returns true if the wait timed out. */
  bool WaitFor(absl::CondVar& changed, absl::Duration timeout) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this);

 private:
  absl::Mutex mutex_;
  lock_rank rank_;
};

/** Locks a ranked_mutex for the duration of a scope. */
class ABSL_SCOPED_LOCKABLE ranked_lock {
 public:
  explicit ranked_lock(ranked_mutex& mutex) ABSL_EXCLUSIVE_LOCK_FUNCTION(mutex) : mutex_(mutex) {
    mutex_.Lock();
  }
  ~ranked_lock() ABSL_UNLOCK_FUNCTION() { mutex_.Unlock(); }
  ranked_lock(const ranked_lock&) = delete;
  ranked_lock& operator=(const ranked_lock&) = delete;

 private:
  ranked_mutex& mutex_;
};

/** One typed section of a blackboard: a value and the mutex that guards it.

    The value is accessible only within With(). Sections are locked one at a time or in the order
    of their ranks.
*/
template <typename Value>
class section {
 public:
  template <typename... Arguments>
  explicit section(lock_rank rank, Arguments&&... arguments)
      : mutex_(rank), value_(std::forward<Arguments>(arguments)...) {}

  /** Calls an operation with the value while the mutex is locked, and returns its result. */
  template <typename Operation>
  decltype(auto) With(Operation&& operation) {
    ranked_lock lock(mutex_);
    return std::forward<Operation>(operation)(value_);
  }

 private:
  ranked_mutex mutex_;
  Value value_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cuminferry
