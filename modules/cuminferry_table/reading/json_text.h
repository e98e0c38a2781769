#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_table/reading/problem_list.h"

namespace cuminferry {

/** The result codes of one kind of text. */
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

/** Reads JSON with comments. None, and a problem with line and column, where
    the text is something else, or names one key twice in an object: the library
    would keep the last, and the operator who reads the first sees another value
    in force. */
std::optional<nlohmann::json> ReadJsonText(std::string_view text, const reading_codes& codes,
                                           problem_list& problems);

/** A JSON pointer to a member of the value at `place` (RFC 6901). */
std::string PlaceOfMember(std::string_view place, std::string_view key);
std::string PlaceOfItem(std::string_view place, std::size_t index);

}  // namespace cuminferry
