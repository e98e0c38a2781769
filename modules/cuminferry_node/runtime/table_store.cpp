#include "cuminferry_node/runtime/table_store.h"

namespace cuminferry {

void table_store::Put(const table_shard& shard) {
  auto stored = std::make_shared<const table_shard>(shard);
  ranked_lock lock(mutex_);
  shards_[shard.service.name] = std::move(stored);
  changed_.SignalAll();
}

std::shared_ptr<const table_shard> table_store::Find(std::string_view service) {
  ranked_lock lock(mutex_);
  const auto found = shards_.find(service);
  return found == shards_.end() ? nullptr : found->second;
}

std::shared_ptr<const table_shard> table_store::WaitFor(std::string_view service, instant until) {
  ranked_lock lock(mutex_);
  while (true) {
    const auto found = shards_.find(service);
    if (found != shards_.end()) {
      return found->second;
    }
    const duration left = until - boot_clock::Now();
    if (left <= duration::zero()) {
      return nullptr;
    }
    mutex_.WaitFor(changed_, absl::FromChrono(left));
  }
}

void table_store::MarkTargetsKnown(std::string_view service) {
  ranked_lock lock(mutex_);
  if (services_with_targets_.find(service) == services_with_targets_.end()) {
    services_with_targets_.emplace(service);
    changed_.SignalAll();
  }
}

void table_store::WaitForTargets(std::string_view service, instant until) {
  ranked_lock lock(mutex_);
  while (services_with_targets_.find(service) == services_with_targets_.end()) {
    const duration left = until - boot_clock::Now();
    if (left <= duration::zero()) {
      return;
    }
    mutex_.WaitFor(changed_, absl::FromChrono(left));
  }
}

}  // namespace cuminferry
