#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cuminferry_table/reading/problem_list.h"
#include "cuminferry_table/rows/policy_table.h"

namespace cuminferry {

/** One service or row of a text with its location. `is_valid` means that no member has a problem;
    CheckTable() may still find one. */
template <typename Value>
struct parsed_item {
  Value value;
  std::string location;
  bool is_valid = false;
};

using parsed_service = parsed_item<service_entry>;
using parsed_row = parsed_item<request_row>;

/** Maximum version. Many JSON parsers lose digits of larger integers. */
inline constexpr std::uint64_t kMaxVersion = 1ULL << 53;

/** Reads one service or one row and checks each member by itself. CheckTable() checks services and
    rows against each other. */
parsed_service ReadService(const nlohmann::json& value, std::string location,
                           problem_list& problems);
parsed_row ReadRow(const nlohmann::json& value, std::string location, problem_list& problems);

/** Returns a service or a row as JSON. The form is canonical: keys are sorted and defaults are
    written out. */
nlohmann::json ServiceToJson(const service_entry& service);
nlohmann::json RowToJson(const request_row& row);

}  // namespace cuminferry
