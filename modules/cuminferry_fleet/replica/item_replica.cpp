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
    // An update older than this copy may still hold an item that this copy knows to be removed,
    // also where the record of the removal is no longer stored.
    const bool known_removed = older && item.revision <= complete_to_ && !items_.contains(item.key);
    if (!known_removed && Take(item)) {
      changed.push_back(item.key);
    }
  }
  if (update.whole) {
    RemoveAbsent(update, changed);
    // Items removed since the earlier copy were only absent, so no removal is stored for them.
    removals_dropped_to_ = std::max(removals_dropped_to_, update.complete_to);
  }
  complete_to_ = std::max(complete_to_, update.complete_to);
  DropOldRemovals();
  return changed;
}

bool item_replica::IsAfterRestore(const item_update& update) const {
  return complete_to_ > 0 &&
         item_revision::RestoresOf(update.complete_to) > item_revision::RestoresOf(complete_to_);
}

// Whether an item has the same value at a later revision, with no change in between and no
// removal and new creation, which other nodes may have received.
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
  latest_change_ = std::max(latest_change_, item.revision);
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

void item_replica::DropOldRemovals() {
  std::vector<std::uint64_t> removals;
  for (const auto& [key, item] : items_) {
    if (item.removed) {
      removals.push_back(item.revision);
    }
  }
  if (removals.size() <= kMaxRemovals) {
    return;
  }
  const auto cut = removals.end() - static_cast<std::ptrdiff_t>(kMaxRemovals / 2);
  std::nth_element(removals.begin(), cut, removals.end());
  removals_dropped_to_ = std::max(removals_dropped_to_, *cut);
  std::erase_if(items_, [this](const auto& entry) {
    return entry.second.removed && entry.second.revision <= removals_dropped_to_;
  });
}

item_update item_replica::UpdateSince(std::uint64_t revision) const {
  item_update update;
  update.complete_to = complete_to_;
  update.whole = revision < removals_dropped_to_;
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
