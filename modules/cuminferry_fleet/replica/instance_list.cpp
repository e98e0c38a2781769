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

void instance_list::OnPublisherReturned(instant now) {
  OnPlatformReturned(now);
  returned_at_ = now;
  distrust_until_ = now + kDistrustTime;
}

bool instance_list::WasGone(std::string_view id) const {
  const auto found = gone_.find(id);
  return found != gone_.end() && found->second < returned_at_;
}

bool instance_list::Take(service_instance found, instant now) {
  const auto known = entries_.find(found.id);
  if (known == entries_.end()) {
    if (IsDistrusted(now) && WasGone(found.id)) {
      withheld_.push_back(std::move(found));
      return false;
    }
    std::string id = found.id;
    entries_.emplace(std::move(id), entry{.instance = std::move(found), .listed = true});
    return true;
  }
  entry& of = known->second;
  of.leaving_kept = IsDistrusted(now) && of.instance.leaving && !found.leaving;
  found.leaving = found.leaving || of.leaving_kept;
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

// What the publisher says is believed again.
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
    if (std::exchange(known.leaving_kept, false)) {
      known.instance.leaving = false;
      changed = true;
    }
  }
  return changed;
}

bool instance_list::DropMissing(instant now) {
  std::erase_if(gone_, [now](const auto& item) { return now - item.second > kGoneKept; });
  if (now < keep_missing_until_) {
    return false;
  }
  return std::erase_if(entries_, [&](const auto& item) {
           if (!item.second.listed) {
             gone_[item.first] = now;
           }
           return !item.second.listed;
         }) > 0;
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
