#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "cuminferry_table/routes/customer.h"

namespace cuminferry {

/** The customers of one version of the table, found by their keys. Immutable.

    Each request at an ingress node needs a lookup. The hash map has a random seed in each process,
    so that nobody can choose keys that collide.
*/
class customer_registry {
 public:
  /** Indexes the customers. Fails with kTableMissingKey where a customer has no name,
      kTableDuplicateRow where two have the same name, kTableDuplicateKey where two have the same
      key, and kTableOutOfRange for a name with spaces or control characters and for a rate or
      burst that is negative or not finite. The message names the customer, never a key. */
  static absl::StatusOr<std::shared_ptr<const customer_registry>> Make(
      std::vector<customer> customers);

  /** Returns nullptr where no customer has this key. The registry owns the customer. */
  const customer* FindByKey(std::string_view key) const;
  /** Returns nullptr where no customer has this name. */
  const customer* FindByName(std::string_view name) const;
  const std::vector<customer>& customers() const { return customers_; }

 private:
  customer_registry() = default;
  absl::Status Index();

  std::vector<customer> customers_;
  // Positions in customers_.
  absl::flat_hash_map<key_digest, std::size_t> by_key_;
  absl::flat_hash_map<std::string, std::size_t> by_name_;
};

}  // namespace cuminferry
