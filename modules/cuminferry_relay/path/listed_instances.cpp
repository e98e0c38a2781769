#include "cuminferry_relay/path/listed_instances.h"

#include <utility>

namespace cuminferry {

void listed_instances::AddChangeOf(const std::string& key, const published_item* item,
                                   std::vector<instance_change>& changes) {
  std::optional<service_instance> found = item == nullptr ? std::nullopt : read_(*item);
  if (found && services_ && !services_->contains(found->service)) {
    found.reset();
  }
  const auto known = ids_by_key_.find(key);
  if (found) {
    ids_by_key_.insert_or_assign(key, found->id);
    std::string id = found->id;
    changes.push_back({.id = std::move(id), .listed = std::move(found)});
  } else if (known != ids_by_key_.end()) {
    changes.push_back(
        {.id = known->second, .listed = std::nullopt, .is_item_gone = item == nullptr});
    ids_by_key_.erase(known);
  }
}

std::vector<instance_change> listed_instances::OnChanged(const item_replica& items,
                                                         const std::vector<std::string>& keys) {
  std::vector<instance_change> changes;
  for (const std::string& key : keys) {
    AddChangeOf(key, items.Find(key), changes);
  }
  return changes;
}

std::vector<instance_change> listed_instances::SetServices(const item_replica& items,
                                                           const route_table& table) {
  std::set<std::string> declared;
  for (const routed_service& service : table.services()) {
    declared.insert(service.name);
  }
  if (services_ == declared) {
    return {};
  }
  services_ = std::move(declared);
  std::vector<instance_change> changes;
  for (const published_item* item : items.FindAll("")) {
    AddChangeOf(item->key, item, changes);
  }
  return changes;
}

}  // namespace cuminferry
