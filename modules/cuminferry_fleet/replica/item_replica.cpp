#include "cuminferry_fleet/replica/item_replica.h"

#include <algorithm>
#include <set>

namespace cuminferry {

std::vector<std::string> item_replica::Apply(const item_update& update) {
  std::vector<std::string> changed;
  const bool older = update.complete_to < complete_to_;
  for (const published_item& item : update.items) {
    if (update.every_change && IsRenewal(item)) {
      continue;
    }
    // A copy older than this one may still hold what is known to be removed,
    // also where the note of the removal is forgotten.
    const bool outlived = older && item.revision <= complete_to_ && !items_.contains(item.key);
    if (!outlived && Take(item)) {
      changed.push_back(item.key);
    }
  }
  if (update.whole) {
    RemoveAbsent(update, changed);
    // Removals between the two copies were seen as absences only.
    forgotten_to_ = std::max(forgotten_to_, update.complete_to);
  }
  complete_to_ = std::max(complete_to_, update.complete_to);
  ForgetOldRemovals();
  return changed;
}

bool item_replica::IsOfReturned(const item_update& update) const {
  return complete_to_ > 0 &&
         item_revision::ReturnsOf(update.complete_to) > item_revision::ReturnsOf(complete_to_);
}

// The same value at a later revision: no change was missed in between, and the item was
// not removed and created anew, which others may have heard of.
bool item_replica::IsRenewal(const published_item& item) const {
  const auto known = items_.find(item.key);
  return known != items_.end() && !known->second.removed && !item.removed &&
         known->second.created == item.created && known->second.value == item.value;
}

bool item_replica::Take(const published_item& item) {
  const auto known = items_.find(item.key);
  if (known != items_.end() && known->second.revision >= item.revision) {
    return false;
  }
  changed_at_ = std::max(changed_at_, item.revision);
  if (known == items_.end()) {
    items_.emplace(item.key, item);
    return !item.removed;
  }
  known->second = item;
  return true;
}

void item_replica::RemoveAbsent(const item_update& whole, std::vector<std::string>& changed) {
  std::set<std::string_view> present;
  for (const published_item& item : whole.items) {
    present.insert(item.key);
  }
  for (auto at = items_.begin(); at != items_.end();) {
    const published_item& item = at->second;
    if (item.revision > whole.complete_to || present.contains(item.key)) {
      ++at;
      continue;
    }
    if (!item.removed) {
      changed.push_back(item.key);
    }
    at = items_.erase(at);
  }
}

void item_replica::ForgetOldRemovals() {
  std::vector<std::uint64_t> removals;
  for (const auto& [key, item] : items_) {
    if (item.removed) {
      removals.push_back(item.revision);
    }
  }
  if (removals.size() <= kRemovalsKept) {
    return;
  }
  const auto cut = removals.end() - static_cast<std::ptrdiff_t>(kRemovalsKept / 2);
  std::nth_element(removals.begin(), cut, removals.end());
  forgotten_to_ = std::max(forgotten_to_, *cut);
  std::erase_if(items_, [this](const auto& entry) {
    return entry.second.removed && entry.second.revision <= forgotten_to_;
  });
}

item_update item_replica::UpdateSince(std::uint64_t revision) const {
  item_update update;
  update.complete_to = complete_to_;
  update.whole = revision < forgotten_to_;
  for (const auto& [key, item] : items_) {
    const bool lacking = update.whole ? !item.removed : item.revision > revision;
    if (lacking) {
      update.items.push_back(item);
    }
  }
  return update;
}

const published_item* item_replica::Find(std::string_view key) const {
  const auto found = items_.find(key);
  return found == items_.end() || found->second.removed ? nullptr : &found->second;
}

std::vector<const published_item*> item_replica::FindAll(std::string_view prefix) const {
  std::vector<const published_item*> found;
  for (auto at = items_.lower_bound(prefix); at != items_.end(); ++at) {
    if (!std::string_view(at->first).starts_with(prefix)) {
      break;
    }
    if (!at->second.removed) {
      found.push_back(&at->second);
    }
  }
  return found;
}

}  // namespace cuminferry
