#include "cuminferry_fleet/replica/item_replica.h"

#include <algorithm>
#include <tuple>

namespace cuminferry {
namespace {

// Whether `one` is left out later than `other`.
bool IsKeptLonger(const published_item& one, const published_item& other) {
  return std::tie(one.is_unreadable, one.rank, one.created, one.key) <
         std::tie(other.is_unreadable, other.rank, other.created, other.key);
}

}  // namespace

void item_replica::LeaveOutExcess(std::vector<published_item>& items) {
  const auto present = std::partition(items.begin(), items.end(),
                                      [](const published_item& item) { return item.removed; });
  // One more than is kept, by which the copy notices that there are more.
  constexpr std::ptrdiff_t kLeft = kMaxItems + 1;
  if (items.end() - present > kLeft) {
    const auto end = present + kLeft;
    std::nth_element(present, end, items.end(), IsKeptLonger);
    items.erase(end, items.end());
  }
}

std::vector<std::string> item_replica::Apply(const item_update& update) {
  std::vector<std::string> changed;
  const bool older = update.complete_to < complete_to_;
  for (const published_item& item : update.items) {
    if ((update.every_change && IsRenewal(item)) || IsOfNoUse(item, update)) {
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
  DropExcess(changed);
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

// Whether an item is unreadable and no node can know an earlier value of it. Where the update lacks
// changes, one may have been written and replaced in between.
bool item_replica::IsOfNoUse(const published_item& item, const item_update& update) const {
  return item.is_unreadable && update.every_change && !items_.contains(item.key);
}

void item_replica::AddToIndex(const published_item& item) {
  by_revision_.emplace(item.revision, item.key);
  if (item.removed || item.is_unreadable) {
    removals_.emplace(item.revision, item.key);
  }
}

void item_replica::RemoveFromIndex(const published_item& item) {
  by_revision_.erase({item.revision, item.key});
  removals_.erase({item.revision, item.key});
}

bool item_replica::Take(const published_item& item) {
  const auto known = items_.find(item.key);
  if (known != items_.end() && known->second.revision >= item.revision) {
    return false;
  }
  latest_change_ = std::max(latest_change_, item.revision);
  if (known == items_.end()) {
    const auto added = items_.emplace(item.key, item).first;
    AddToIndex(added->second);
    return !item.removed;
  }
  RemoveFromIndex(known->second);
  known->second = item;
  AddToIndex(known->second);
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
    RemoveFromIndex(item);
    at = items_.erase(at);
  }
}

void item_replica::DropOldRemovals() {
  if (removals_.size() <= kMaxRemovals) {
    return;
  }
  while (removals_.size() > kMaxRemovals / 2) {
    const auto [revision, key] = *removals_.begin();
    removals_dropped_to_ = std::max(removals_dropped_to_, revision);
    const auto found = items_.find(key);
    RemoveFromIndex(found->second);
    items_.erase(found);
  }
}

void item_replica::DropExcess(std::vector<std::string>& changed) {
  const std::size_t count = items_.size() - removals_.size();
  if (count <= kMaxItems) {
    return;
  }
  std::vector<const published_item*> present;
  present.reserve(count);
  for (const auto& [key, item] : items_) {
    if (!item.removed && !item.is_unreadable) {
      present.push_back(&item);
    }
  }
  const auto end = present.begin() + kMaxItems;
  std::nth_element(present.begin(), end, present.end(),
                   [](const published_item* one, const published_item* other) {
                     return IsKeptLonger(*one, *other);
                   });
  std::for_each(end, present.end(), [&](const published_item* item) {
    changed.push_back(item->key);
    RemoveFromIndex(*item);
    items_.erase(items_.find(changed.back()));
    ++left_out_;
  });
}

item_update item_replica::UpdateSince(std::uint64_t revision, const page_limits& limits) const {
  const bool whole = revision < removals_dropped_to_;
  return PageAfter(whole ? 0 : revision, whole, limits);
}

item_update item_replica::PageAfter(std::uint64_t revision, bool whole,
                                    const page_limits& limits) const {
  item_update page;
  page.complete_to = complete_to_;
  page.whole = whole;
  std::size_t bytes = 0;
  std::uint64_t last = revision;
  for (auto at = by_revision_.upper_bound({revision, std::string_view()}); at != by_revision_.end();
       ++at) {
    const published_item& item = items_.find(at->second)->second;
    if (item.revision <= revision || (whole && item.removed)) {
      continue;
    }
    const std::size_t length = item.key.size() + item.value.size();
    const bool is_full = page.items.size() >= limits.items || bytes + length > limits.bytes;
    // Items of one revision stay together, as the next page begins after a revision.
    if (is_full && !page.items.empty() && item.revision != last) {
      page.has_more = true;
      break;
    }
    bytes += length;
    last = item.revision;
    page.items.push_back(item);
  }
  return page;
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
