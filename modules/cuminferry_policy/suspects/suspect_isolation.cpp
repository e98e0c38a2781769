#include "cuminferry_policy/suspects/suspect_isolation.h"

#include <algorithm>

namespace cuminferry {

// A suspect that ran at two crashes runs alone. Copies of the same request never run concurrently,
// as the second copy could crash a backend server without adding any evidence.
bool suspect_isolation::MayRun(const suspect& next) const {
  if (running_.empty()) {
    return true;
  }
  const auto excludes_next = [&next](const auto& item) {
    return item.second.crashes > 1 || item.second.digest == next.digest;
  };
  return next.crashes <= 1 && running_.size() < max_running_ &&
         std::ranges::none_of(running_, excludes_next);
}

bool suspect_isolation::TryStart(const suspect& added) {
  // Later arrivals must not delay a queued suspect that has to run alone.
  const bool exclusive_waits =
      std::ranges::any_of(waiting_, [](const suspect& run) { return run.crashes > 1; });
  if (exclusive_waits || !MayRun(added)) {
    waiting_.push_back(added);
    return false;
  }
  running_.emplace(added.id, added);
  return true;
}

std::vector<std::uint64_t> suspect_isolation::Remove(std::uint64_t id) {
  running_.erase(id);
  waiting_.remove_if([id](const suspect& run) { return run.id == id; });
  std::vector<std::uint64_t> next;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (!MayRun(*at)) {
      if (at->crashes > 1) {
        break;
      }
      ++at;
      continue;
    }
    next.push_back(at->id);
    running_.emplace(at->id, *at);
    at = waiting_.erase(at);
  }
  return next;
}

}  // namespace cuminferry
