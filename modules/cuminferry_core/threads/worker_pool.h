#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cuminferry {

/** A pool of POSIX threads with small stacks over one bounded queue of tasks.

    Threads start as tasks need them, up to the stated number, and stay. A full
    queue refuses; it never blocks the thread that submits.
*/
class worker_pool {
 public:
  /** What the pool is made of. */
  struct options {
    std::string name = "worker";
    std::size_t threads = 8;
    std::size_t stack_bytes = 256 * 1024;
    std::size_t queue_bound = 4096;
  };

  explicit worker_pool(options chosen);
  /** Runs what is queued, then ends the threads. */
  ~worker_pool();

  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  //============================================================================
  /** Queues a task. False where the queue is full or the pool is stopping; the
      task was then not run and never will be. */
  bool Submit(std::function<void()> task);

  /** Runs what is queued, then ends the threads. Submit() refuses from now on. */
  void Stop();

  //============================================================================
  std::size_t queued() const;
  std::size_t threads() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

/** A single joined POSIX thread with a stated stack. */
class joined_thread {
 public:
  joined_thread(std::string name, std::size_t stack_bytes, std::function<void()> body);
  /** Waits for the body to return. */
  ~joined_thread();
  joined_thread(const joined_thread&) = delete;
  joined_thread& operator=(const joined_thread&) = delete;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
