#include "cuminferry_fleet/tables/value_version.h"

#include "cuminferry_fleet/platform/published_values.h"

namespace cuminferry {
namespace {

constexpr std::string_view kInstancesPrefix = "instances/";

}  // namespace

std::string InstancesName(std::string_view service) {
  return std::string(kInstancesPrefix) + std::string(service);
}

value_kind KindOf(std::string_view name) {
  if (name.empty()) {
    return value_kind::kIndex;
  }
  return name.starts_with(kInstancesPrefix) ? value_kind::kInstances : value_kind::kShard;
}

std::string_view ServiceOf(std::string_view name) {
  return KindOf(name) == value_kind::kInstances ? name.substr(kInstancesPrefix.size()) : name;
}

std::string PlatformKeyOf(std::string_view name) {
  switch (KindOf(name)) {
    case value_kind::kIndex:
      return kIndexKey;
    case value_kind::kShard:
      return kShardKeyPrefix + std::string(name);
    case value_kind::kInstances:
      return kInstancesKeyPrefix + std::string(ServiceOf(name));
  }
  return {};
}

}  // namespace cuminferry
