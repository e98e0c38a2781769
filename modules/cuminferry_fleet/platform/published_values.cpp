#include "cuminferry_fleet/platform/published_values.h"

#include <nlohmann/json.hpp>

#include "cuminferry_table/reading/bounded_json.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;

// An index of 360 services, or a service's instances, some ten values in 200 bytes for each.
constexpr json_bounds kValueBounds{
    .max_bytes = 16 * 1024 * 1024, .max_depth = 16, .max_values = 512 * 1024};

absl::Status BadValue(std::string_view what) {
  return MakeStatus(result_code::kPlatformBadValue, what);
}

endpoint EndpointFrom(const json& text) {
  endpoint at;
  if (!endpoint::Parse(text.get<std::string>(), at)) {
    throw json::type_error::create(302, "not an address and port", nullptr);
  }
  return at;
}

}  // namespace

std::string published_index::ToJson() const {
  json lines = json::array();
  for (const published_shard& shard : shards) {
    lines.push_back(
        {{"service", shard.service}, {"version", shard.version}, {"digest", shard.digest}});
  }
  return json{{"version", version}, {"fleet_size", fleet_size}, {"shards", lines}}.dump();
}

absl::StatusOr<published_index> published_index::Parse(std::string_view text) {
  const absl::StatusOr<json> parsed = ParseBoundedJson(text, kValueBounds);
  if (!parsed.ok()) {
    return parsed.status();
  }
  try {
    const json& value = *parsed;
    published_index index;
    index.version = value.at("version").get<std::uint64_t>();
    index.fleet_size = value.at("fleet_size").get<std::uint32_t>();
    for (const json& line : value.at("shards")) {
      index.shards.push_back({line.at("service").get<std::string>(),
                              line.at("version").get<std::uint64_t>(),
                              line.at("digest").get<std::uint64_t>()});
    }
    return index;
  } catch (const json::exception& failure) {
    return BadValue(failure.what());
  }
}

std::string published_instances::ToJson() const {
  json lines = json::array();
  for (const published_instance& one : instances) {
    lines.push_back({{"instance", one.instance},
                     {"failure_domain", one.failure_domain},
                     {"region", one.region},
                     {"peer", one.peer.ToString()},
                     {"target_slot", one.target_slot},
                     {"state", one.draining ? "leaving" : "live"}});
  }
  return json{{"service", service}, {"version", version}, {"instances", lines}}.dump();
}

absl::StatusOr<published_instances> published_instances::Parse(std::string_view text) {
  const absl::StatusOr<json> parsed = ParseBoundedJson(text, kValueBounds);
  if (!parsed.ok()) {
    return parsed.status();
  }
  try {
    const json& value = *parsed;
    published_instances list;
    list.service = value.at("service").get<std::string>();
    list.version = value.at("version").get<std::uint64_t>();
    for (const json& line : value.at("instances")) {
      published_instance one;
      one.instance = line.at("instance").get<std::string>();
      one.failure_domain = line.at("failure_domain").get<std::string>();
      one.region = line.at("region").get<std::string>();
      one.peer = EndpointFrom(line.at("peer"));
      one.target_slot = line.at("target_slot").get<std::uint32_t>();
      one.draining = line.at("state").get<std::string>() == "leaving";
      list.instances.push_back(std::move(one));
    }
    return list;
  } catch (const json::exception& failure) {
    return BadValue(failure.what());
  }
}

}  // namespace cuminferry
