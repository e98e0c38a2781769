#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <utility>

#include "cuminferry_core/threads/lock_rank.h"

namespace cuminferry {

/** A mutex with a place in the process's lock order.

    Debug builds assert on each Lock() that the thread holds only mutexes of
    lower rank, so that a wrong order shows in the first test that takes both,
    not in the rare run in which two threads meet.

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
  /** As Wait(); true when the time ran out first. */
  bool WaitFor(absl::CondVar& changed, absl::Duration longest) ABSL_EXCLUSIVE_LOCKS_REQUIRED(this);

 private:
  absl::Mutex mutex_;
  lock_rank rank_;
};

/** Holds a ranked_mutex for a scope. */
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

    Controllers reach the value only inside With(), one section at a time or
    in rank order.
*/
template <typename Value>
class section {
 public:
  template <typename... Arguments>
  explicit section(lock_rank rank, Arguments&&... arguments)
      : mutex_(rank), value_(std::forward<Arguments>(arguments)...) {}

  /** Runs an operation on the value under the section's mutex and returns its result. */
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
