#include "cuminferry_node/http/connection_watch.h"

#include <absl/container/flat_hash_map.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {
namespace {

constexpr std::size_t kThreadStackBytes = 128 * 1024;
constexpr std::uint64_t kWakeKey = 0;
constexpr int kMaxEventsPerWait = 64;

}  // namespace

class connection_watch::state {
 public:
  state() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC)) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = kWakeKey;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
    thread_ = std::make_unique<joined_thread>("caller-watch", kThreadStackBytes,
                                              [this] { DispatchEvents(); });
  }

  ~state() {
    stopping_ = true;
    const std::uint64_t one = 1;
    static_cast<void>(::write(wake_, &one, sizeof(one)));
    thread_.reset();
    ::close(wake_);
    ::close(epoll_);
  }

  std::uint64_t Add(int descriptor, std::function<void()> on_disconnect) {
    ranked_lock lock(mutex_);
    const std::uint64_t key = next_key_++;
    hooks_.emplace(key, std::move(on_disconnect));
    epoll_event event{};
    // Without EPOLLONESHOT, epoll would report a closed connection in every wait.
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = key;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
    return key;
  }

  void Remove(int descriptor, std::uint64_t key) {
    ranked_lock lock(mutex_);
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
    hooks_.erase(key);
    // A running hook refers to objects that the owner of the guard is about to destroy.
    while (running_key_ == key) {
      mutex_.Wait(hook_finished_);
    }
  }

 private:
  void DispatchEvents() {
    std::array<epoll_event, kMaxEventsPerWait> events{};
    while (!stopping_) {
      const int count = ::epoll_wait(epoll_, events.data(), kMaxEventsPerWait, -1);
      for (int index = 0; index < count; ++index) {
        RunHook(events[static_cast<std::size_t>(index)].data.u64);
      }
    }
  }

  void RunHook(std::uint64_t key) {
    std::function<void()> hook;
    {
      ranked_lock lock(mutex_);
      const auto found = hooks_.find(key);
      if (found == hooks_.end()) {
        return;
      }
      hook = std::move(found->second);
      hooks_.erase(found);
      running_key_ = key;
    }
    hook();
    ranked_lock lock(mutex_);
    running_key_ = kWakeKey;
    hook_finished_.SignalAll();
  }

  const int epoll_;
  const int wake_;
  std::atomic<bool> stopping_ = false;
  ranked_mutex mutex_{lock_rank::kWorkers};
  absl::CondVar hook_finished_;
  absl::flat_hash_map<std::uint64_t, std::function<void()>> hooks_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t next_key_ ABSL_GUARDED_BY(mutex_) = kWakeKey + 1;
  std::uint64_t running_key_ ABSL_GUARDED_BY(mutex_) = kWakeKey;
  std::unique_ptr<joined_thread> thread_;
};

connection_watch::connection_watch() : state_(std::make_unique<state>()) {}
connection_watch::~connection_watch() = default;

connection_watch::guard::guard(connection_watch& watch, int descriptor,
                               std::function<void()> on_disconnect)
    : watch_(watch),
      descriptor_(descriptor),
      key_(watch.state_->Add(descriptor, std::move(on_disconnect))) {}

connection_watch::guard::~guard() { watch_.state_->Remove(descriptor_, key_); }

}  // namespace cuminferry
