#include "cuminferry_policy/suspects/suspect_lane.h"

#include <algorithm>

namespace cuminferry {

// One that ended two backend servers is the only suspect that runs, and copies of the same
// request never run together: the second would end another backend server for nothing.
bool suspect_lane::MayRun(const suspect& next) const {
  if (running_.empty()) {
    return true;
  }
  const auto bars = [&next](const auto& item) {
    return item.second.ends > 1 || item.second.digest == next.digest;
  };
  return next.ends <= 1 && running_.size() < width_ && std::ranges::none_of(running_, bars);
}

bool suspect_lane::Enter(const suspect& entering) {
  // Those that come later must not keep one from running alone.
  const bool bars = std::ranges::any_of(waiting_, [](const suspect& one) { return one.ends > 1; });
  if (bars || !MayRun(entering)) {
    waiting_.push_back(entering);
    return false;
  }
  running_.emplace(entering.id, entering);
  return true;
}

std::vector<std::uint64_t> suspect_lane::Leave(std::uint64_t id) {
  running_.erase(id);
  waiting_.remove_if([id](const suspect& one) { return one.id == id; });
  std::vector<std::uint64_t> next;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (!MayRun(*at)) {
      if (at->ends > 1) {
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
