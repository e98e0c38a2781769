#include "cuminferry_table/routes/customer_registry.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {
namespace {

// Customer names are sent in header fields, so spaces and control characters are rejected.
bool IsHeaderFieldText(std::string_view text) {
  return std::ranges::all_of(
      text, [](char byte) { return static_cast<unsigned char>(byte) > ' ' && byte != 0x7F; });
}

bool IsFiniteAndNotNegative(double number) { return std::isfinite(number) && number >= 0.0; }

}  // namespace

absl::StatusOr<std::shared_ptr<const customer_registry>> customer_registry::Make(
    std::vector<customer> customers) {
  std::shared_ptr<customer_registry> registry(new customer_registry);
  registry->customers_ = std::move(customers);
  const absl::Status indexed = registry->Index();
  if (!indexed.ok()) {
    return indexed;
  }
  return registry;
}

absl::Status customer_registry::Index() {
  std::size_t keys = 0;
  for (const customer& entry : customers_) {
    keys += entry.keys.size();
  }
  by_key_.reserve(keys);
  by_name_.reserve(customers_.size());
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    const customer& entry = customers_[i];
    if (entry.name.empty()) {
      return MakeStatus(result_code::kTableMissingKey, "a customer without a name");
    }
    if (!IsHeaderFieldText(entry.name)) {
      return MakeStatus(result_code::kTableOutOfRange, "a customer's name with control characters");
    }
    if (!IsFiniteAndNotNegative(entry.rate) || !IsFiniteAndNotNegative(entry.burst)) {
      return MakeStatus(result_code::kTableOutOfRange, entry.name + ": rate or burst");
    }
    if (!by_name_.emplace(entry.name, i).second) {
      return MakeStatus(result_code::kTableDuplicateRow, entry.name);
    }
    for (const key_digest& key : entry.keys) {
      const auto [existing, added] = by_key_.emplace(key, i);
      if (!added && existing->second != i) {
        return MakeStatus(result_code::kTableDuplicateKey,
                          customers_[existing->second].name + " and " + entry.name);
      }
    }
  }
  return absl::OkStatus();
}

const customer* customer_registry::FindByKey(std::string_view key) const {
  const auto entry = by_key_.find(key_digest::Of(key));
  return entry == by_key_.end() ? nullptr : &customers_[entry->second];
}

const customer* customer_registry::FindByName(std::string_view name) const {
  const auto entry = by_name_.find(std::string(name));
  return entry == by_name_.end() ? nullptr : &customers_[entry->second];
}

}  // namespace cuminferry
