#include "cuminferry_relay/path/recent_ids.h"

namespace cuminferry {

bool recent_ids::Insert(std::string_view id, std::int64_t started_millis) {
  const auto [found, is_new] = runs_.try_emplace(std::string(id), started_millis);
  if (!is_new) {
    const bool is_another_run = found->second != started_millis;
    found->second = started_millis;
    return is_another_run;
  }
  order_.emplace_back(id);
  while (order_.size() > max_size_) {
    runs_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

void recent_ids::Erase(std::string_view id) {
  const auto found = runs_.find(id);
  if (found != runs_.end()) {
    runs_.erase(found);
  }
}

std::optional<std::int64_t> recent_ids::RunOf(std::string_view id) const {
  const auto found = runs_.find(id);
  return found == runs_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace cuminferry
