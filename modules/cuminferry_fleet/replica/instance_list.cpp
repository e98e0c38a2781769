#include "cuminferry_fleet/replica/instance_list.h"

#include <algorithm>
#include <tuple>
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

void instance_list::AddEntry(service_instance found) {
  const endpoint address = found.backend;
  std::string id = found.id;
  ids_at_[address].insert(id);
  entries_.emplace(std::move(id), entry{.instance = std::move(found)});
  ChooseAt(address);
}

void instance_list::MoveEntry(const std::string& id, const endpoint& from, const endpoint& to) {
  if (from != to) {
    ids_at_[from].erase(id);
    ids_at_[to].insert(id);
    ChooseAt(from);
  }
  ChooseAt(to);
}

bool instance_list::Take(service_instance found, instant now) {
  const auto known = entries_.find(found.id);
  if (known == entries_.end()) {
    if (IsDistrusted(now) && WasRemoved(found.id)) {
      withheld_.insert_or_assign(found.id, std::move(found));
      return false;
    }
    withheld_.erase(found.id);
    AddEntry(std::move(found));
    return true;
  }
  entry& of = known->second;
  if (of.is_retained && IsDistrusted(now) && of.unlisted_since < restored_at_) {
    // The restored publisher may have lost the removal. The instance is retained by confirmation
    // meanwhile.
    withheld_.insert_or_assign(found.id, std::move(found));
    return false;
  }
  missing_.erase(found.id);
  const bool was_unlisted = !std::exchange(of.listed, true);
  of.is_retained = false;
  of.ranks_behind_listed = false;
  if (IsDistrusted(now) && of.instance.draining && !found.draining) {
    found.draining = true;
    draining_retained_.insert(found.id);
  } else {
    draining_retained_.erase(found.id);
  }
  if (of.instance == found) {
    if (was_unlisted && retention_.is_on()) {
      ChooseAt(of.instance.backend);
      return true;
    }
    return false;
  }
  if (of.instance.started_millis != found.started_millis) {
    of.reported_absent = false;
  }
  const service_instance before = std::exchange(of.instance, std::move(found));
  MoveEntry(known->first, before.backend, of.instance.backend);
  return true;
}

// Returns whether the change must be reported although the instance still counts.
bool instance_list::SetMissing(std::string_view id, bool is_item_gone, instant now) {
  if (const auto withheld = withheld_.find(id); withheld != withheld_.end()) {
    withheld_.erase(withheld);
  }
  const auto known = entries_.find(id);
  if (known == entries_.end()) {
    return false;
  }
  entry& of = known->second;
  const bool was_listed = std::exchange(of.listed, false);
  if (was_listed) {
    missing_.insert(known->first);
    of.unlisted_since = now;
    of.awaits_confirmation_since = now;
    of.confirmed_at.reset();
    of.is_retainable = !of.instance.draining;
  }
  of.is_retainable = of.is_retainable && is_item_gone;
  // The node beside the instance decides from now on which requests are accepted.
  const bool is_reported = was_listed && retention_.is_on();
  if (is_reported) {
    changed_addresses_.insert(of.instance.backend);
  }
  return is_reported;
}

bool instance_list::Update(std::vector<service_instance> listed, instant now) {
  std::set<std::string_view> ids;
  for (const service_instance& found : listed) {
    ids.insert(found.id);
  }
  std::vector<instance_change> changes;
  for (const auto& [id, known] : entries_) {
    if (!ids.contains(id)) {
      changes.push_back({.id = id, .listed = std::nullopt, .is_item_gone = true});
    }
  }
  for (const auto& [id, known] : withheld_) {
    if (!ids.contains(id)) {
      changes.push_back({.id = id, .listed = std::nullopt, .is_item_gone = true});
    }
  }
  for (service_instance& found : listed) {
    std::string id = found.id;
    changes.push_back({.id = std::move(id), .listed = std::move(found)});
  }
  return Apply(std::move(changes), now);
}

bool instance_list::Apply(std::vector<instance_change> changes, instant now) {
  bool changed = false;
  for (instance_change& change : changes) {
    if (change.listed) {
      changed = Take(*std::move(change.listed), now) || changed;
    } else {
      changed = SetMissing(change.id, change.is_item_gone, now) || changed;
    }
  }
  const bool taken = TakeWithheld(now);
  const bool dropped = DropMissing(now);
  return changed || taken || dropped;
}

bool instance_list::Expire(instant now) {
  const bool taken = TakeWithheld(now);
  const bool dropped = DropMissing(now);
  return taken || dropped;
}

// Applies the publisher's entries that were withheld, once its list is trusted again.
bool instance_list::TakeWithheld(instant now) {
  if (IsDistrusted(now)) {
    return false;
  }
  const bool changed = !withheld_.empty() || !draining_retained_.empty();
  for (auto& [id, found] : std::exchange(withheld_, {})) {
    Take(std::move(found), now);
  }
  for (const std::string& id : std::exchange(draining_retained_, {})) {
    service_instance& instance = entries_.find(id)->second.instance;
    instance.draining = false;
    ChooseAt(instance.backend);
  }
  return changed;
}

bool instance_list::DropMissing(instant now) {
  ForgetRemoved(now);
  if (now < retain_missing_until_ || missing_.empty()) {
    return false;
  }
  // All are marked before the first one is compared with others at its address. Otherwise a later
  // instance that is marked ranks behind an earlier one that is not yet.
  for (const std::string& id : missing_) {
    entry& of = entries_.find(id)->second;
    if (!std::exchange(of.ranks_behind_listed, true)) {
      ChooseAt(of.instance.backend);
    }
  }
  bool is_any_retained = false;
  std::vector<std::string> ended;
  for (const std::string& id : missing_) {
    entry& of = entries_.find(id)->second;
    const bool was_retained = of.is_retained;
    if (!Retain(id, of, now)) {
      ended.push_back(id);
    } else if (!was_retained) {
      is_any_retained = true;
    }
  }
  for (const std::string& id : ended) {
    Drop(id, now);
  }
  return is_any_retained || !ended.empty();
}

// Whether an entry that is no longer listed still counts, now that the time is over in which all
// of them do.
bool instance_list::Retain(const std::string& id, entry& of, instant now) {
  const bool is_new = !of.is_retained;
  const auto ends_as = [&](retention_event_kind kind) {
    if (!is_new) {
      events_.push_back({.id = id, .service = of.instance.service, .kind = kind});
    }
    return false;
  };
  if (!IsHeld(of, now)) {
    return ends_as(retention_event_kind::kNotConfirmed);
  }
  of.is_retained = true;
  if (!IsChosen(id, of)) {
    return ends_as(retention_event_kind::kReplaced);
  }
  if (is_new) {
    events_.push_back(
        {.id = id, .service = of.instance.service, .kind = retention_event_kind::kRetained});
  }
  return true;
}

bool instance_list::IsHeld(const entry& of, instant now) const {
  if (!retention_.is_on() || !of.is_retainable) {
    return false;
  }
  return now < of.awaits_confirmation_since + retention_.unconfirmed ||
         (of.confirmed_at && now < *of.confirmed_at + retention_.confirmed);
}

bool instance_list::IsChosen(const std::string& id, const entry& of) const {
  return at_address_.at(of.instance.backend) == id;
}

void instance_list::Drop(const std::string& id, instant now) {
  const auto dropped = entries_.extract(id);
  const entry& of = dropped.mapped();
  const endpoint address = of.instance.backend;
  // The publisher removed the entry when retention by confirmation began, at the latest.
  const instant removed_at = of.is_retained ? of.unlisted_since : now;
  missing_.erase(dropped.key());
  draining_retained_.erase(dropped.key());
  removed_at_[dropped.key()] = removed_at;
  removals_.emplace_back(removed_at, dropped.key());
  ids_at_[address].erase(dropped.key());
  ChooseAt(address);
}

void instance_list::ForgetRemoved(instant now) {
  while (!removals_.empty() && now - removals_.front().first > kRemovedIdRetention) {
    const auto found = removed_at_.find(removals_.front().second);
    // An id that was removed again later has another removal behind.
    if (found != removed_at_.end() && found->second == removals_.front().first) {
      removed_at_.erase(found);
    }
    removals_.pop_front();
  }
}

const instance_list::entry* instance_list::FindUnlisted(std::string_view id) const {
  if (!may_have_unlisted() || !missing_.contains(id)) {
    return nullptr;
  }
  const entry& of = entries_.find(id)->second;
  return of.is_retainable ? &of : nullptr;
}

std::optional<instant> instance_list::UnlistedSince(std::string_view id) const {
  const entry* found = FindUnlisted(id);
  return found == nullptr ? std::nullopt : std::optional(found->unlisted_since);
}

bool instance_list::OnConfirmed(std::string_view id, std::int64_t started_millis, instant now) {
  const entry* found = FindUnlisted(id);
  if (found == nullptr) {
    return false;
  }
  const std::int64_t known_run = found->instance.started_millis;
  if (started_millis != 0 && known_run != 0 && started_millis != known_run) {
    return false;
  }
  entries_.find(id)->second.confirmed_at = now;
  return true;
}

bool instance_list::OnDenied(std::string_view id, instant now) {
  if (FindUnlisted(id) == nullptr) {
    return false;
  }
  Drop(std::string(id), now);
  return true;
}

bool instance_list::AddUnlisted(const std::vector<unlisted_instance>& reported, instant now) {
  bool changed = false;
  for (const unlisted_instance& found : reported) {
    const std::string& id = found.instance.id;
    if (!retention_.is_on() || found.instance.draining || entries_.contains(id) ||
        withheld_.contains(id) || removed_at_.contains(id)) {
      continue;
    }
    AddEntry(found.instance);
    entry& of = entries_.find(id)->second;
    of.listed = false;
    of.is_retainable = true;
    of.unlisted_since = now - std::max(duration::zero(), found.unlisted_for);
    of.awaits_confirmation_since = now;
    missing_.insert(id);
    changed = true;
  }
  const bool dropped = DropMissing(now);
  return changed || dropped;
}

void instance_list::ForEachUnlisted(
    const std::function<void(const service_instance&, const std::optional<instant>& confirmed_at)>&
        on_each) const {
  if (!may_have_unlisted()) {
    return;
  }
  for (const std::string& id : missing_) {
    const entry& of = entries_.find(id)->second;
    if (of.is_retainable && IsChosen(id, of)) {
      on_each(of.instance, of.confirmed_at);
    }
  }
}

std::vector<unlisted_instance> instance_list::UnlistedInstances(instant now) const {
  std::vector<unlisted_instance> unlisted;
  ForEachUnlisted([&](const service_instance& found, const std::optional<instant>& confirmed_at) {
    unlisted.push_back({.instance = found,
                        .unlisted_for = now - entries_.find(found.id)->second.unlisted_since,
                        .confirmed_at = confirmed_at});
  });
  return unlisted;
}

std::set<std::string, std::less<>> instance_list::ListedServices() const {
  std::set<std::string, std::less<>> services;
  for (const auto& [id, known] : entries_) {
    if (known.listed && !known.instance.draining) {
      services.insert(known.instance.service);
    }
  }
  return services;
}

bool instance_list::OnInstanceAbsent(std::string_view id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.reported_absent) {
    return false;
  }
  found->second.reported_absent = true;
  const endpoint address = found->second.instance.backend;
  const std::string before = at_address_.at(address);
  ChooseAt(address);
  return at_address_.at(address) != before;
}

void instance_list::ChooseAt(const endpoint& address) {
  changed_addresses_.insert(address);
  const auto ids = ids_at_.find(address);
  if (ids == ids_at_.end() || ids->second.empty()) {
    ids_at_.erase(address);
    at_address_.erase(address);
    return;
  }
  // Where all instances at an address were reported as absent, the last created one still
  // counts: the reporting node may itself have been draining.
  const auto rank = [this](const std::string& id) {
    const entry& of = entries_.find(id)->second;
    return std::tuple(!of.reported_absent, !of.ranks_behind_listed, of.instance.created);
  };
  at_address_[address] = *std::ranges::max_element(ids->second, {}, rank);
}

std::vector<address_change> instance_list::TakeChanges() {
  std::vector<address_change> changes;
  for (const endpoint& address : std::exchange(changed_addresses_, {})) {
    const auto chosen = at_address_.find(address);
    changes.push_back({.backend = address, .instance = std::nullopt});
    if (chosen != at_address_.end()) {
      changes.back().instance = entries_.find(chosen->second)->second.instance;
    }
  }
  return changes;
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
