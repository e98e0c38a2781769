#include "cuminferry_fleet/replica/instance_list.h"

#include <algorithm>
#include <utility>

namespace cuminferry {

void instance_list::OnPlatformReturned(instant now) { keep_missing_until_ = now + kRelistTime; }

void instance_list::KeepMissingFor(duration span, instant now) {
  keep_missing_until_ = std::max(keep_missing_until_, now + std::min(span, duration(kRelistTime)));
}

duration instance_list::KeepsMissing(instant now) const {
  return std::max(duration::zero(), keep_missing_until_ - now);
}

bool instance_list::Update(std::vector<service_instance> listed, instant now) {
  bool changed = false;
  for (auto& [id, known] : entries_) {
    known.listed = false;
  }
  for (service_instance& found : listed) {
    const auto known = entries_.find(found.id);
    if (known == entries_.end()) {
      std::string id = found.id;
      entries_.emplace(std::move(id), entry{.instance = std::move(found), .listed = true});
      changed = true;
      continue;
    }
    changed = changed || !(known->second.instance == found);
    known->second = {.instance = std::move(found), .listed = true};
  }
  return Expire(now) || changed;
}

bool instance_list::Expire(instant now) {
  if (now < keep_missing_until_) {
    return false;
  }
  return std::erase_if(entries_, [](const auto& item) { return !item.second.listed; }) > 0;
}

std::vector<service_instance> instance_list::All() const {
  std::vector<service_instance> all;
  for (const auto& [id, known] : entries_) {
    all.push_back(known.instance);
  }
  return all;
}

const service_instance* instance_list::Find(std::string_view id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.instance;
}

}  // namespace cuminferry
