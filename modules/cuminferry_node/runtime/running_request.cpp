#include "cuminferry_node/runtime/running_request.h"

#include <sys/random.h>

#include <array>
#include <cstdio>
#include <utility>
#include <vector>

namespace cuminferry {

std::uint64_t running_request::BeginChild(std::function<void()> on_cancel, bool& first) {
  bool gone = false;
  std::uint64_t number = 0;
  {
    ranked_lock lock(mutex_);
    first = children_.empty();
    number = next_child_++;
    gone = cancelled_;
    children_.emplace(number, on_cancel);
  }
  if (gone) {
    on_cancel();
  }
  return number;
}

void running_request::EndChild(std::uint64_t number, bool& last) {
  ranked_lock lock(mutex_);
  children_.erase(number);
  last = children_.empty();
}

void running_request::Cancel() {
  std::vector<std::function<void()>> hooks;
  {
    ranked_lock lock(mutex_);
    cancelled_ = true;
    for (const auto& [number, hook] : children_) {
      hooks.push_back(hook);
    }
  }
  cancel_.Cancel();
  for (const auto& hook : hooks) {
    hook();
  }
}

std::string request_records::Add(std::shared_ptr<running_request> request) {
  // From the system, not from a seeded source: a backend server that could work
  // out the next handle could act for another caller's request.
  std::array<std::uint64_t, 2> random{};
  static_cast<void>(::getrandom(random.data(), sizeof(random), 0));
  const std::string handle = ToString(request_id{random[0], random[1]});
  ranked_lock lock(mutex_);
  requests_.emplace(handle, std::move(request));
  return handle;
}

void request_records::Remove(const std::string& handle) {
  ranked_lock lock(mutex_);
  requests_.erase(handle);
}

std::shared_ptr<running_request> request_records::Find(std::string_view handle) {
  ranked_lock lock(mutex_);
  const auto found = requests_.find(handle);
  return found == requests_.end() ? nullptr : found->second;
}

}  // namespace cuminferry
