#include "cuminferry_node/runtime/running_request.h"

#include <sys/random.h>

#include <array>
#include <cstdio>
#include <utility>
#include <vector>

namespace cuminferry {

std::uint64_t running_request::AddChildCall(std::function<void()> on_cancel, bool& is_first) {
  bool was_cancelled = false;
  std::uint64_t child_id = 0;
  {
    ranked_lock lock(mutex_);
    is_first = child_calls_.empty();
    child_id = next_child_id_++;
    was_cancelled = cancelled_;
    child_calls_.emplace(child_id, on_cancel);
  }
  if (was_cancelled) {
    on_cancel();
  }
  return child_id;
}

void running_request::RemoveChildCall(std::uint64_t child_id, bool& is_last) {
  ranked_lock lock(mutex_);
  child_calls_.erase(child_id);
  is_last = child_calls_.empty();
}

void running_request::Cancel() {
  std::vector<std::function<void()>> hooks;
  {
    ranked_lock lock(mutex_);
    cancelled_ = true;
    for (const auto& [child_id, hook] : child_calls_) {
      hooks.push_back(hook);
    }
  }
  cancel_.Cancel();
  for (const auto& hook : hooks) {
    hook();
  }
}

std::string running_request_registry::Add(std::shared_ptr<running_request> request) {
  // Handles come from the system's random source, not from a seeded one: a backend server
  // that could predict a handle could make calls in the name of another request.
  std::array<std::uint64_t, 2> random{};
  static_cast<void>(::getrandom(random.data(), sizeof(random), 0));
  const std::string handle = ToString(request_id{random[0], random[1]});
  ranked_lock lock(mutex_);
  requests_.emplace(handle, std::move(request));
  return handle;
}

void running_request_registry::Remove(const std::string& handle) {
  ranked_lock lock(mutex_);
  requests_.erase(handle);
}

std::shared_ptr<running_request> running_request_registry::Find(std::string_view handle) {
  ranked_lock lock(mutex_);
  const auto found = requests_.find(handle);
  return found == requests_.end() ? nullptr : found->second;
}

}  // namespace cuminferry
