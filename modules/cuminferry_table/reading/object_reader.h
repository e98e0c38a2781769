#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_table/reading/json_text.h"

namespace cuminferry {

/** Whether a key must be present in an object. */
enum class presence : std::uint8_t { kRequired, kOptional };

/** The length and the characters that a text member accepts. */
struct text_rule {
  std::size_t max_length = 64;
  /** Characters accepted besides letters and digits. */
  std::string_view other_characters = "-_.";
};

/** Reads one JSON object member by member and reports every problem with its location. The
    functions that read a member return false where it is absent or has a problem, and then leave
    the destination unchanged.

        object_reader reader(value, "/rows/2", kTableCodes, problems);
        reader.Number("weight", row.weight, 0, 10'000, presence::kRequired);
        reader.ReportUnknownKeys();
*/
class object_reader {
 public:
  object_reader(const nlohmann::json& value, std::string location, const reading_codes& codes,
                problem_list& problems);

  //============================================================================
  bool Text(std::string_view key, std::string& destination, presence requirement,
            const text_rule& rule = {});
  /** Reads a text that must be one of the accepted ones. */
  bool Choice(std::string_view key, std::string& destination, presence requirement,
              std::span<const std::string> accepted);
  bool Flag(std::string_view key, bool& destination, presence requirement);
  bool Address(std::string_view key, endpoint& destination, presence requirement,
               std::uint16_t min_port);
  void Addresses(std::string_view key, std::vector<endpoint>& destination, presence requirement,
                 std::size_t maximum);

  template <typename Value>
  bool Number(std::string_view key, Value& destination, std::uint64_t minimum,
              std::uint64_t maximum, presence requirement) {
    std::uint64_t number = 0;
    if (!ReadNumber(key, number, minimum, maximum, requirement)) {
      return false;
    }
    destination = static_cast<Value>(number);
    return true;
  }

  /** Reads a number that may have a fraction. */
  bool Decimal(std::string_view key, double& destination, double minimum, double maximum,
               presence requirement);

  /** Returns an array of at most `max_items` items; nullptr where the member is absent, is no array
      or has more items. */
  const nlohmann::json* List(std::string_view key, presence requirement, std::size_t max_items);

  /** Marks a key as known that the caller reads without this object. */
  void MarkKnown(std::string_view key) { known_keys_.emplace_back(key); }

  /** Reports every key that was neither read nor marked as known. Must be called last. */
  void ReportUnknownKeys();

  //============================================================================
  const std::string& location() const { return location_; }
  std::string LocationOf(std::string_view key) const { return PointerToMember(location_, key); }
  bool HasKey(std::string_view key) const;

 private:
  const nlohmann::json* Find(std::string_view key, presence requirement);
  const nlohmann::json* FindText(std::string_view key, presence requirement);
  bool ReadNumber(std::string_view key, std::uint64_t& destination, std::uint64_t minimum,
                  std::uint64_t maximum, presence requirement);
  void ReportWrongType(std::string_view key, const nlohmann::json& found,
                       std::string_view accepted);
  void ReportOutOfRange(std::string_view key, std::string detail);

  const nlohmann::json& value_;
  std::string location_;
  const reading_codes& codes_;
  problem_list& problems_;
  std::vector<std::string> known_keys_;
};

/** Parses settings: one JSON object with comments, of at most 64 KiB. `read` reads its members;
    keys that `read` does not use are problems. All problems are added to `problems`, and the first
    is returned. */
absl::Status ReadSettingsText(std::string_view json, problem_list& problems,
                              const std::function<void(object_reader&)>& read);

}  // namespace cuminferry
