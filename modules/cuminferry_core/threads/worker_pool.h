#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cuminferry {

/** A pool of POSIX threads with small stacks and one bounded queue of tasks.

    Threads are started when tasks need them, up to the maximum, and run until the pool stops. If
    the queue is full, Submit() fails; it never blocks.
*/
class worker_pool {
 public:
  struct options {
    std::string name = "worker";
    std::size_t threads = 8;
    std::size_t stack_bytes = 256 * 1024;
    std::size_t max_queued_tasks = 4096;
  };

  explicit worker_pool(options chosen_options);
  /** Calls Stop(). */
  ~worker_pool();

  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  //============================================================================
  /** Queues a task. Returns false if the queue is full, the pool is stopping or no thread could be
      started; the task is then never run. */
  bool Submit(std::function<void()> task);

  /** Runs the queued tasks and then stops the threads. Submit() fails from now on. */
  void Stop();

  //============================================================================
  std::size_t queued() const;
  std::size_t threads() const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

/** A POSIX thread with a given stack size that is joined on destruction. */
class joined_thread {
 public:
  joined_thread(std::string name, std::size_t stack_bytes, std::function<void()> body);
  /** Waits until the thread's function returns. */
  ~joined_thread();
  joined_thread(const joined_thread&) = delete;
  joined_thread& operator=(const joined_thread&) = delete;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
