#include "cuminferry_core/threads/worker_pool.h"

#include <pthread.h>

#include <cassert>
#include <deque>
#include <utility>
#include <vector>

#include "cuminferry_core/threads/ranked_mutex.h"

namespace cuminferry {
namespace {

void* RunThreadFunction(void* argument) {
  const std::unique_ptr<std::function<void()>> body(static_cast<std::function<void()>*>(argument));
  (*body)();
  return nullptr;
}

// Returns false if the system can't create another thread.
bool StartThread(const std::string& name, std::size_t stack_bytes, std::function<void()> body,
                 pthread_t& thread) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, stack_bytes);
  auto argument = std::make_unique<std::function<void()>>(std::move(body));
  const int failed = pthread_create(&thread, &attributes, RunThreadFunction, argument.get());
  pthread_attr_destroy(&attributes);
  if (failed != 0) {
    return false;
  }
  static_cast<void>(argument.release());
  constexpr std::size_t kMaxThreadNameLength = 15;
  pthread_setname_np(thread, name.substr(0, kMaxThreadNameLength).c_str());
  return true;
}

}  // namespace

class worker_pool::state {
 public:
  explicit state(options chosen_options) : options_(std::move(chosen_options)) {}

  bool Submit(std::function<void()> task) {
    ranked_lock lock(mutex_);
    if (stopping_ || tasks_.size() >= options_.max_queued_tasks) {
      return false;
    }
    if (idle_threads_ <= tasks_.size() && threads_.size() < options_.threads) {
      pthread_t thread{};
      if (StartThread(
              options_.name, options_.stack_bytes, [this] { RunTasks(); }, thread)) {
        threads_.push_back(thread);
      } else if (threads_.empty()) {
        return false;
      }
    }
    tasks_.push_back(std::move(task));
    changed_.Signal();
    return true;
  }

  void Stop() {
    std::vector<pthread_t> joined_threads;
    {
      ranked_lock lock(mutex_);
      stopping_ = true;
      joined_threads.swap(threads_);
      changed_.SignalAll();
    }
    for (const pthread_t thread : joined_threads) {
      pthread_join(thread, nullptr);
    }
  }

  std::size_t queued() {
    ranked_lock lock(mutex_);
    return tasks_.size();
  }

  std::size_t threads() {
    ranked_lock lock(mutex_);
    return threads_.size();
  }

 private:
  void RunTasks() {
    while (std::function<void()> task = WaitForTask()) {
      task();
    }
  }

  std::function<void()> WaitForTask() {
    ranked_lock lock(mutex_);
    ++idle_threads_;
    while (tasks_.empty() && !stopping_) {
      mutex_.Wait(changed_);
    }
    --idle_threads_;
    if (tasks_.empty()) {
      return {};
    }
    std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    return task;
  }

  const options options_;
  ranked_mutex mutex_{lock_rank::kWorkers};
  absl::CondVar changed_;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<pthread_t> threads_ ABSL_GUARDED_BY(mutex_);
  std::size_t idle_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

worker_pool::worker_pool(options chosen_options)
    : state_(std::make_unique<state>(std::move(chosen_options))) {}

worker_pool::~worker_pool() { Stop(); }

bool worker_pool::Submit(std::function<void()> task) { return state_->Submit(std::move(task)); }

void worker_pool::Stop() { state_->Stop(); }

std::size_t worker_pool::queued() const { return state_->queued(); }

std::size_t worker_pool::threads() const { return state_->threads(); }

class joined_thread::state {
 public:
  pthread_t thread{};
};

joined_thread::joined_thread(std::string name, std::size_t stack_bytes, std::function<void()> body)
    : state_(std::make_unique<state>()) {
  const bool started = StartThread(name, stack_bytes, std::move(body), state_->thread);
  assert(started);
  static_cast<void>(started);
}

joined_thread::~joined_thread() { pthread_join(state_->thread, nullptr); }

}  // namespace cuminferry
