#include "cuminferry_table/rows/policy_table.h"

namespace cuminferry {

const request_row* table_shard::FindRow(std::string_view method, std::string_view path) const {
  for (const request_row& row : rows) {
    if (row.Matches(method, path)) {
      return &row;
    }
  }
  return nullptr;
}

const table_shard* policy_table::FindShard(std::string_view service) const {
  for (const table_shard& shard : shards_) {
    if (shard.service.name == service) {
      return &shard;
    }
  }
  return nullptr;
}

}  // namespace cuminferry
