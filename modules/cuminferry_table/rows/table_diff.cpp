#include "cuminferry_table/rows/table_diff.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "cuminferry_table/reading/word_suggestion.h"
#include "cuminferry_table/rows/table_reader.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;

std::string DescribeLimit(std::uint32_t limit) {
  return limit == 0 ? "any number" : "at most " + std::to_string(limit);
}

std::string DescribeRequest(const request_row& row) { return row.method + " " + row.path_pattern; }

/** Returns the rows whose order of refusal relative to a row changes with that row's weight. */
std::vector<std::string> RowsOvertaken(const policy_table& table, std::uint16_t from,
                                       std::uint16_t to) {
  std::vector<std::string> overtaken;
  for (const table_shard& shard : table.shards()) {
    for (const request_row& row : shard.rows) {
      const bool was_before = from <= row.weight;
      const bool is_before = to <= row.weight;
      if (was_before != is_before) {
        overtaken.push_back(row.name);
      }
    }
  }
  return overtaken;
}

std::string WeightEffect(const policy_table& table, const request_row& before,
                         const request_row& after) {
  constexpr std::size_t kMaxNamedRows = 5;
  const bool is_raised = after.weight > before.weight;
  std::string effect =
      is_raised ? "refused later under overload" : "refused earlier under overload";
  std::vector<std::string> overtaken = RowsOvertaken(table, before.weight, after.weight);
  std::erase(overtaken, after.name);
  if (overtaken.empty()) {
    return effect + "; in the same order among all rows";
  }
  const std::size_t unnamed = overtaken.size() - std::min(overtaken.size(), kMaxNamedRows);
  overtaken.resize(overtaken.size() - unnamed);
  effect += (is_raised ? ", now after " : ", now before ") + JoinWords(overtaken);
  return unnamed == 0 ? effect : effect + " and " + std::to_string(unnamed) + " more";
}

std::string IdempotentEffect(bool idempotent) {
  return idempotent ? "may be run again after a lost answer; callers get no ticket any more"
                    : "runs at most once from now on; callers get a ticket with each request";
}

std::string FieldEffect(const policy_table& table, std::string_view field,
                        const request_row& before, const request_row& after) {
  if (field == "weight") {
    return WeightEffect(table, before, after);
  }
  if (field == "fleet_limit") {
    return DescribeLimit(after.fleet_limit) + " run at once in the fleet, was " +
           DescribeLimit(before.fleet_limit) + "; running ones go on";
  }
  if (field == "target_limit") {
    return DescribeLimit(after.target_limit) + " run at once at one target, was " +
           DescribeLimit(before.target_limit);
  }
  if (field == "deadline_ms") {
    return after.deadline > before.deadline ? "callers may wait longer for an answer"
                                            : "callers are answered, or given up, sooner";
  }
  if (field == "idempotent") {
    return IdempotentEffect(after.idempotent);
  }
  if (field == "retry_allowance") {
    return "at most " + std::to_string(after.retry_allowance) +
           " attempts beyond the first in the whole tree of a request";
  }
  if (field == "largest_answer_bytes") {
    return after.max_answer_bytes > before.max_answer_bytes
               ? "larger answers are passed on"
               : "answers above it end in answer_too_large, although they ran";
  }
  return DescribeRequest(before) + " is no longer this row; " + DescribeRequest(after) + " is";
}

void AddRowChanges(const policy_table& table, const request_row& before, const request_row& after,
                   std::vector<table_change>& changes) {
  const json old_row = RowToJson(before);
  const json new_row = RowToJson(after);
  for (const auto& [field, value] : new_row.items()) {
    if (old_row[field] != value) {
      changes.push_back({after.service, after.name, field, old_row[field].dump(), value.dump(),
                         FieldEffect(table, field, before, after)});
    }
  }
}

std::string SummarizeRow(const request_row& row) {
  return DescribeRequest(row) + ", weight " + std::to_string(row.weight);
}

/** Returns the names of the rows that both shards have, in the order of the first shard. */
std::vector<std::string_view> CommonRows(const table_shard& ordered_shard,
                                         const table_shard& other) {
  std::vector<std::string_view> names;
  for (const request_row& row : ordered_shard.rows) {
    if (other.FindRowByName(row.name) != nullptr) {
      names.push_back(row.name);
    }
  }
  return names;
}

void AddOrderChange(const table_shard& before, const table_shard& after,
                    std::vector<table_change>& changes) {
  if (CommonRows(before, after) != CommonRows(after, before)) {
    changes.push_back({after.service.name, "", "order", "", "",
                       "rows stand in another order: requests that several rows match may be of "
                       "another row now"});
  }
}

std::string ServiceEffect(std::string_view field) {
  if (field == "domains") {
    return "shares of fleet-wide limits are cut anew; shares that grow do so after 15 s";
  }
  if (field == "slots") {
    return "each target of the service works on as many requests at once";
  }
  return "each target of the service accepts as many connections";
}

void AddServiceChanges(const service_entry& before, const service_entry& after,
                       std::vector<table_change>& changes) {
  const json old_entry = ServiceToJson(before);
  const json new_entry = ServiceToJson(after);
  for (const auto& [field, value] : new_entry.items()) {
    if (old_entry[field] != value) {
      changes.push_back(
          {after.name, "", field, old_entry[field].dump(), value.dump(), ServiceEffect(field)});
    }
  }
}

void AddShardChanges(const policy_table& table, const table_shard& before, const table_shard& after,
                     std::vector<table_change>& changes) {
  AddServiceChanges(before.service, after.service, changes);
  for (const request_row& row : after.rows) {
    if (const request_row* old_row = before.FindRowByName(row.name)) {
      AddRowChanges(table, *old_row, row, changes);
    } else {
      changes.push_back(
          {row.service, row.name, "row", "", RowToJson(row).dump(), "new: " + SummarizeRow(row)});
    }
  }
  AddOrderChange(before, after, changes);
  for (const request_row& row : before.rows) {
    if (after.FindRowByName(row.name) == nullptr) {
      changes.push_back({row.service, row.name, "row", RowToJson(row).dump(), "",
                         "gone: requests " + DescribeRequest(row) +
                             " are of a later row that matches, or refused as no_such_row"});
    }
  }
}

}  // namespace

std::vector<table_change> DiffTables(const policy_table& before, const policy_table& after) {
  std::vector<table_change> changes;
  for (const table_shard& shard : after.shards()) {
    if (const table_shard* old_shard = before.FindShard(shard.service.name)) {
      AddShardChanges(after, *old_shard, shard, changes);
      continue;
    }
    changes.push_back({shard.service.name, "", "service", "", ServiceToJson(shard.service).dump(),
                       "new, with " + std::to_string(shard.rows.size()) + " rows"});
  }
  for (const table_shard& shard : before.shards()) {
    if (after.FindShard(shard.service.name) == nullptr) {
      changes.push_back({shard.service.name, "", "service", ServiceToJson(shard.service).dump(), "",
                         "gone: calls to it are refused"});
    }
  }
  return changes;
}

}  // namespace cuminferry
