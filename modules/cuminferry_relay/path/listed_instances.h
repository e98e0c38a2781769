#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {

/** Reads the listed instances from the published items, each item only when it changes.

    An instance whose service the table doesn't declare is left out. Its entry may be one that
    another program wrote with the address of a listed instance, which would lose its requests.
*/
class listed_instances {
 public:
  /** Returns the instance that an item describes; nothing for an item of another kind, or one that
      can't be read. */
  using reader = std::function<std::optional<service_instance>(const published_item&)>;

  explicit listed_instances(reader read) : read_(std::move(read)) {}

  /** Returns the changes of the list that changed items cause.
      @param keys  keys of the items that were changed or removed */
  std::vector<instance_change> OnChanged(const item_replica& items,
                                         const std::vector<std::string>& keys);
  /** Sets the services that the table declares, and returns the changes of the list. */
  std::vector<instance_change> SetServices(const item_replica& items, const route_table& table);

 private:
  void AddChangeOf(const std::string& key, const published_item* item,
                   std::vector<instance_change>& changes);

  reader read_;
  // Nothing before the first table.
  std::optional<std::set<std::string>> services_;
  // Ids of the listed instances by the keys of their items.
  std::map<std::string, std::string> ids_by_key_;
};

}  // namespace cuminferry
