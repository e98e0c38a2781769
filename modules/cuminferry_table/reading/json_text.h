#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_table/reading/problem_list.h"

namespace cuminferry {

/** The result codes for the problems of one kind of text: a table or settings. */
struct reading_codes {
  result_code not_json;
  result_code unknown_key;
  result_code wrong_type;
  result_code out_of_range;
  result_code missing_key;
};

inline constexpr reading_codes kTableCodes = {
    result_code::kTableNotJson, result_code::kTableUnknownKey, result_code::kTableWrongType,
    result_code::kTableOutOfRange, result_code::kTableMissingKey};

inline constexpr reading_codes kSettingsCodes = {
    result_code::kSettingsNotJson, result_code::kSettingsUnknownKey,
    result_code::kSettingsWrongType, result_code::kSettingsOutOfRange,
    result_code::kSettingsMissingKey};

/** Parses JSON with comments. Returns nothing and adds a problem with line and column where the
    text is not such JSON. A key that occurs twice in an object is a problem too: the library would
    use the last value, and an operator who reads the first one would not see which is in force. */
std::optional<nlohmann::json> ReadJsonText(std::string_view text, const reading_codes& codes,
                                           problem_list& problems);

/** Returns the JSON pointer (RFC 6901) to a member of the object at `location`. */
std::string PointerToMember(std::string_view location, std::string_view key);
/** Returns the JSON pointer to an item, counted from 0, of the array at `location`. */
std::string PointerToItem(std::string_view location, std::size_t index);

}  // namespace cuminferry
