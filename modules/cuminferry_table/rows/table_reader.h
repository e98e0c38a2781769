#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cuminferry_table/reading/problem_list.h"
#include "cuminferry_table/rows/policy_table.h"

namespace cuminferry {

/** One item of a text with its place; `whole` where it has no problem of its own. */
template <typename Value>
struct read_item {
  Value value;
  std::string place;
  bool whole = false;
};

using read_service = read_item<service_entry>;
using read_row = read_item<request_row>;

/** Largest version: beyond it a JSON number loses digits in other readers. */
inline constexpr std::uint64_t kLargestVersion = 1ULL << 53;

/** Reads one service, or one row, each member by itself. How they fit together
    is left to CheckTable(). */
read_service ReadService(const nlohmann::json& value, std::string place, problem_list& problems);
read_row ReadRow(const nlohmann::json& value, std::string place, problem_list& problems);

/** The other way; canonical, as the keys are sorted and defaults are written out. */
nlohmann::json ServiceToJson(const service_entry& service);
nlohmann::json RowToJson(const request_row& row);

}  // namespace cuminferry
