#include "cuminferry_fleet/replica/instance_list.h"

#include <algorithm>
#include <utility>

namespace cuminferry {

void instance_list::OnPlatformRecovered(instant now) { retain_missing_until_ = now + kRelistTime; }

void instance_list::RetainMissingFor(duration span, instant now) {
  retain_missing_until_ =
      std::max(retain_missing_until_, now + std::min(span, duration(kRelistTime)));
}

duration instance_list::RemainingRetention(instant now) const {
  return std::max(duration::zero(), retain_missing_until_ - now);
}

void instance_list::OnPublisherRestored(instant now) {
  OnPlatformRecovered(now);
  restored_at_ = now;
  distrust_until_ = now + kDistrustTime;
}

bool instance_list::WasRemoved(std::string_view id) const {
  const auto found = removed_at_.find(id);
  return found != removed_at_.end() && found->second < restored_at_;
}

bool instance_list::Take(service_instance found, instant now) {
  const auto known = entries_.find(found.id);
  if (known == entries_.end()) {
    if (IsDistrusted(now) && WasRemoved(found.id)) {
      withheld_.push_back(std::move(found));
      return false;
    }
    std::string id = found.id;
    entries_.emplace(std::move(id), entry{.instance = std::move(found), .listed = true});
    return true;
  }
  entry& of = known->second;
  of.draining_retained = IsDistrusted(now) && of.instance.draining && !found.draining;
  found.draining = found.draining || of.draining_retained;
  const bool changed = !(of.instance == found);
  of.instance = std::move(found);
  of.listed = true;
  return changed;
}

bool instance_list::Update(std::vector<service_instance> listed, instant now) {
  bool changed = false;
  for (auto& [id, known] : entries_) {
    known.listed = false;
  }
  withheld_.clear();
  for (service_instance& found : listed) {
    changed = Take(std::move(found), now) || changed;
  }
  const bool taken = TakeWithheld(now);
  const bool dropped = DropMissing(now);
  changed = changed || taken || dropped;
  if (changed) {
    ChooseAtAddresses();
  }
  return changed;
}

bool instance_list::Expire(instant now) {
  const bool taken = TakeWithheld(now);
  const bool dropped = DropMissing(now);
  if (taken || dropped) {
    ChooseAtAddresses();
  }
  return taken || dropped;
}

// Applies the publisher's entries that were withheld, once its list is trusted again.
bool instance_list::TakeWithheld(instant now) {
  if (IsDistrusted(now)) {
    return false;
  }
  bool changed = !withheld_.empty();
  for (service_instance& found : std::exchange(withheld_, {})) {
    std::string id = found.id;
    entries_.emplace(std::move(id), entry{.instance = std::move(found), .listed = true});
  }
  for (auto& [id, known] : entries_) {
    if (std::exchange(known.draining_retained, false)) {
      known.instance.draining = false;
      changed = true;
    }
  }
  return changed;
}

bool instance_list::DropMissing(instant now) {
  std::erase_if(removed_at_,
                [now](const auto& item) { return now - item.second > kRemovedIdRetention; });
  if (now < retain_missing_until_) {
    return false;
  }
  return std::erase_if(entries_, [&](const auto& item) {
           if (!item.second.listed) {
             removed_at_[item.first] = now;
           }
           return !item.second.listed;
         }) > 0;
}

bool instance_list::OnInstanceAbsent(std::string_view id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.reported_absent) {
    return false;
  }
  found->second.reported_absent = true;
  const std::string before = at_address_.at(found->second.instance.backend);
  ChooseAtAddresses();
  return at_address_.at(found->second.instance.backend) != before;
}

void instance_list::ChooseAtAddresses() {
  // Where all instances at an address were reported as absent, the last created one still
  // counts: the reporting node may itself have been draining.
  const auto rank = [](const entry& of) {
    return std::pair(!of.reported_absent, of.instance.created);
  };
  at_address_.clear();
  for (const auto& [id, known] : entries_) {
    std::string& chosen = at_address_[known.instance.backend];
    if (chosen.empty() || rank(entries_.at(chosen)) < rank(known)) {
      chosen = id;
    }
  }
}

std::vector<service_instance> instance_list::AllInstances() const {
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
