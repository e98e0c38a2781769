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
    known->second.instance = std::move(found);
    known->second.listed = true;
  }
  changed = Expire(now) || changed;
  if (changed) {
    ChooseAtAddresses();
  }
  return changed;
}

bool instance_list::Expire(instant now) {
  if (now < keep_missing_until_) {
    return false;
  }
  if (std::erase_if(entries_, [](const auto& item) { return !item.second.listed; }) == 0) {
    return false;
  }
  ChooseAtAddresses();
  return true;
}

bool instance_list::OnNotThere(std::string_view id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.not_there) {
    return false;
  }
  found->second.not_there = true;
  const std::string before = at_address_.at(found->second.instance.backend);
  ChooseAtAddresses();
  return at_address_.at(found->second.instance.backend) != before;
}

void instance_list::ChooseAtAddresses() {
  // Where all are said not to be there, a node may only have been leaving itself.
  const auto rank = [](const entry& of) { return std::pair(!of.not_there, of.instance.created); };
  at_address_.clear();
  for (const auto& [id, known] : entries_) {
    std::string& chosen = at_address_[known.instance.backend];
    if (chosen.empty() || rank(entries_.at(chosen)) < rank(known)) {
      chosen = id;
    }
  }
}

std::vector<service_instance> instance_list::All() const {
  std::vector<service_instance> all;
  for (const auto& [id, known] : entries_) {
    if (at_address_.at(known.instance.backend) == id) {
      all.push_back(known.instance);
    }
  }
  return all;
}

const service_instance* instance_list::Find(std::string_view id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.instance;
}

}  // namespace cuminferry
