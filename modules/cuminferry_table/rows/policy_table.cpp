#include "cuminferry_table/rows/policy_table.h"

#include <algorithm>
#include <utility>

#include "cuminferry_table/reading/object_reader.h"
#include "cuminferry_table/rows/table_checks.h"
#include "cuminferry_table/rows/table_reader.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;
using enum presence;

bool CheckTextSize(std::string_view text, std::size_t max_bytes, problem_list& problems) {
  if (text.size() <= max_bytes) {
    return true;
  }
  problems.Add(
      result_code::kTableTooLarge, "",
      std::to_string(text.size()) + " bytes; accepted: at most " + std::to_string(max_bytes));
  return false;
}

std::vector<parsed_service> ReadServices(object_reader& reader, problem_list& problems) {
  std::vector<parsed_service> services;
  const json* list = reader.List("services", kRequired, policy_table::kMaxServices);
  for (std::size_t at = 0; list != nullptr && at < list->size(); ++at) {
    services.push_back(
        ReadService((*list)[at], PointerToItem(reader.LocationOf("services"), at), problems));
  }
  return services;
}

std::vector<parsed_row> ReadRows(object_reader& reader, problem_list& problems) {
  std::vector<parsed_row> rows;
  const json* list = reader.List("rows", kRequired, policy_table::kMaxRows);
  for (std::size_t at = 0; list != nullptr && at < list->size(); ++at) {
    rows.push_back(ReadRow((*list)[at], PointerToItem(reader.LocationOf("rows"), at), problems));
  }
  return rows;
}

std::vector<table_shard> SplitIntoShards(std::vector<parsed_service> services,
                                         std::vector<parsed_row> rows, std::uint64_t version) {
  std::ranges::sort(services, {}, [](const parsed_service& read) { return read.value.name; });
  std::vector<table_shard> shards;
  for (parsed_service& read : services) {
    table_shard shard;
    shard.service = std::move(read.value);
    shard.version = version;
    shards.push_back(std::move(shard));
  }
  for (parsed_row& read : rows) {
    const auto shard = std::ranges::lower_bound(
        shards, read.value.service, {},
        [](const table_shard& candidate) -> const std::string& { return candidate.service.name; });
    shard->rows.push_back(std::move(read.value));
  }
  std::ranges::for_each(shards, &table_shard::BuildIndex);
  return shards;
}

void CheckShardSizes(std::span<const table_shard> shards, problem_list& problems) {
  for (const table_shard& shard : shards) {
    const std::size_t size = ShardToJson(shard).size();
    if (size > policy_table::kMaxShardBytes) {
      problems.Add(result_code::kTableTooLarge, "",
                   "the part of service \"" + shard.service.name + "\" has " +
                       std::to_string(size) + " bytes as it is published; accepted: at most " +
                       std::to_string(policy_table::kMaxShardBytes));
    }
  }
}

std::optional<table_shard> ReadShard(const json& value, problem_list& problems) {
  object_reader reader(value, "", kTableCodes, problems);
  std::uint64_t version = 0;
  reader.Number("version", version, 1, kMaxVersion, kRequired);
  std::vector<parsed_service> services;
  reader.MarkKnown("service");
  if (reader.HasKey("service")) {
    services.push_back(ReadService(value["service"], "/service", problems));
  } else {
    problems.Add(result_code::kTableMissingKey, "", "the key \"service\" is required");
  }
  std::vector<parsed_row> rows = ReadRows(reader, problems);
  reader.ReportUnknownKeys();
  CheckTable(services, rows, problems);
  if (!problems.empty()) {
    return std::nullopt;
  }
  return std::move(SplitIntoShards(std::move(services), std::move(rows), version).front());
}

}  // namespace

std::uint32_t service_entry::TotalTargets() const {
  std::uint32_t total = 0;
  for (const domain_targets& domain : domains) {
    total += domain.targets;
  }
  return total;
}

//==============================================================================
const request_row* table_shard::FindRow(std::string_view method, std::string_view path) const {
  const auto position = FindRowIndex(method, path);
  return position.has_value() ? &rows[*position] : nullptr;
}

std::optional<std::uint32_t> table_shard::FindRowIndex(std::string_view method,
                                                       std::string_view path) const {
  if (index_ != nullptr && index_->rows() == rows.size()) {
    return index_->Find(method, path);
  }
  const auto found =
      std::ranges::find_if(rows, [&](const request_row& row) { return row.Matches(method, path); });
  return found == rows.end() ? std::nullopt
                             : std::optional(static_cast<std::uint32_t>(found - rows.begin()));
}

const request_row* table_shard::FindRowByName(std::string_view name) const {
  const auto found = std::ranges::find(rows, name, &request_row::name);
  return found == rows.end() ? nullptr : &*found;
}

void table_shard::BuildIndex() { index_ = std::make_shared<const row_index>(rows); }

//==============================================================================
absl::StatusOr<policy_table> policy_table::Parse(std::string_view json_text,
                                                 std::vector<table_problem>& problems) {
  problem_list list(problems);
  if (!CheckTextSize(json_text, kMaxTextBytes, list)) {
    return list.AsStatus();
  }
  const std::optional<json> value = ReadJsonText(json_text, kTableCodes, list);
  if (!value.has_value()) {
    return list.AsStatus();
  }
  policy_table table;
  object_reader reader(*value, "", kTableCodes, list);
  reader.Number("version", table.version_, 1, kMaxVersion, kRequired);
  std::vector<parsed_service> services = ReadServices(reader, list);
  std::vector<parsed_row> rows = ReadRows(reader, list);
  reader.ReportUnknownKeys();
  CheckTable(services, rows, list);
  if (list.empty()) {
    table.shards_ = SplitIntoShards(std::move(services), std::move(rows), table.version_);
    CheckShardSizes(table.shards_, list);
  }
  if (!list.empty()) {
    return list.AsStatus();
  }
  return table;
}

absl::StatusOr<policy_table> policy_table::Parse(std::string_view json_text) {
  std::vector<table_problem> problems;
  return Parse(json_text, problems);
}

void policy_table::RetainVersionsOf(const policy_table& earlier) {
  for (table_shard& shard : shards_) {
    const table_shard* same = earlier.FindShard(shard.service.name);
    if (same != nullptr && same->HasSameContent(shard)) {
      shard.version = same->version;
    }
  }
}

const table_shard* policy_table::FindShard(std::string_view service) const {
  const auto found = std::ranges::find(
      shards_, service,
      [](const table_shard& shard) -> std::string_view { return shard.service.name; });
  return found == shards_.end() ? nullptr : &*found;
}

std::string policy_table::ToJson() const {
  json services = json::array();
  json rows = json::array();
  for (const table_shard& shard : shards_) {
    services.push_back(ServiceToJson(shard.service));
    for (const request_row& row : shard.rows) {
      rows.push_back(RowToJson(row));
    }
  }
  const json whole = {
      {"version", version_}, {"services", std::move(services)}, {"rows", std::move(rows)}};
  return whole.dump(2) + "\n";
}

//==============================================================================
std::string ShardToJson(const table_shard& shard) {
  json rows = json::array();
  for (const request_row& row : shard.rows) {
    rows.push_back(RowToJson(row));
  }
  const json whole = {{"version", shard.version},
                      {"service", ServiceToJson(shard.service)},
                      {"rows", std::move(rows)}};
  return whole.dump();
}

absl::StatusOr<table_shard> ParseShard(std::string_view json_text,
                                       std::vector<table_problem>& problems) {
  problem_list list(problems);
  if (!CheckTextSize(json_text, policy_table::kMaxShardBytes, list)) {
    return list.AsStatus();
  }
  const std::optional<json> value = ReadJsonText(json_text, kTableCodes, list);
  if (!value.has_value()) {
    return list.AsStatus();
  }
  std::optional<table_shard> shard = ReadShard(*value, list);
  if (!shard.has_value()) {
    return list.AsStatus();
  }
  return *std::move(shard);
}

absl::StatusOr<table_shard> ParseShard(std::string_view json_text) {
  std::vector<table_problem> problems;
  return ParseShard(json_text, problems);
}

std::uint64_t ShardDigest(const table_shard& shard) { return DigestOf(ShardToJson(shard)); }

}  // namespace cuminferry
