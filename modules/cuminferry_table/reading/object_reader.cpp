#include "cuminferry_table/reading/object_reader.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "cuminferry_table/reading/word_suggestion.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;

/** Maximum number of characters of a rejected text that a message quotes. */
constexpr std::size_t kMaxQuotedCharacters = 80;

std::string Quote(std::string_view text) {
  std::string quoted(text.substr(0, kMaxQuotedCharacters));
  return "\"" + quoted + (text.size() > kMaxQuotedCharacters ? "...\"" : "\"");
}

bool HasOnlyAccepted(std::string_view text, const text_rule& rule) {
  return std::ranges::all_of(text, [&](char character) {
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
           rule.other_characters.find(character) != std::string_view::npos;
  });
}

std::string TypeNameOf(const json& value) {
  return value.is_number_float() ? "a number with a fraction" : std::string(value.type_name());
}

}  // namespace

object_reader::object_reader(const json& value, std::string location, const reading_codes& codes,
                             problem_list& problems)
    : value_(value), location_(std::move(location)), codes_(codes), problems_(problems) {
  if (!value.is_object()) {
    problems_.Add(codes_.wrong_type, location_, "an object is accepted, not " + TypeNameOf(value));
  }
}

bool object_reader::Text(std::string_view key, std::string& destination, presence requirement,
                         const text_rule& rule) {
  const json* found = FindText(key, requirement);
  if (found == nullptr) {
    return false;
  }
  const auto& text = found->get_ref<const std::string&>();
  if (text.empty() || text.size() > rule.max_length || !HasOnlyAccepted(text, rule)) {
    ReportOutOfRange(key, Quote(text) + "; accepted: 1 to " + std::to_string(rule.max_length) +
                              " letters, digits and characters of " + Quote(rule.other_characters));
    return false;
  }
  destination = text;
  return true;
}

bool object_reader::Choice(std::string_view key, std::string& destination, presence requirement,
                           std::span<const std::string> accepted) {
  const json* found = FindText(key, requirement);
  if (found == nullptr) {
    return false;
  }
  const auto& text = found->get_ref<const std::string&>();
  if (std::ranges::find(accepted, text) == accepted.end()) {
    ReportOutOfRange(
        key, Quote(text) + "; accepted: " + JoinWords(accepted) + DidYouMean(text, accepted));
    return false;
  }
  destination = text;
  return true;
}

bool object_reader::Flag(std::string_view key, bool& destination, presence requirement) {
  const json* found = Find(key, requirement);
  if (found == nullptr) {
    return false;
  }
  if (!found->is_boolean()) {
    ReportWrongType(key, *found, "true or false");
    return false;
  }
  destination = found->get<bool>();
  return true;
}

bool object_reader::Address(std::string_view key, endpoint& destination, presence requirement,
                            std::uint16_t min_port) {
  const json* found = FindText(key, requirement);
  if (found == nullptr) {
    return false;
  }
  const auto& text = found->get_ref<const std::string&>();
  endpoint at;
  if (!endpoint::Parse(text, at) || at.port < min_port) {
    ReportOutOfRange(key, Quote(text) + "; accepted: an IPv4 address and a port from " +
                              std::to_string(min_port) + " to 65535, such as \"10.0.0.7:8080\"");
    return false;
  }
  destination = at;
  return true;
}

void object_reader::Addresses(std::string_view key, std::vector<endpoint>& destination,
                              presence requirement, std::size_t maximum) {
  const json* list = List(key, requirement, maximum);
  if (list == nullptr) {
    return;
  }
  for (std::size_t at = 0; at < list->size(); ++at) {
    const json& item = (*list)[at];
    const std::string location = PointerToItem(LocationOf(key), at);
    endpoint address;
    if (!item.is_string()) {
      problems_.Add(codes_.wrong_type, location, "a text is accepted, not " + TypeNameOf(item));
    } else if (!endpoint::Parse(item.get<std::string>(), address) || address.port == 0) {
      problems_.Add(codes_.out_of_range, location,
                    Quote(item.get_ref<const std::string&>()) +
                        "; accepted: an IPv4 address and a port, such as \"10.0.0.7:8080\"");
    } else {
      destination.push_back(address);
    }
  }
}

bool object_reader::Decimal(std::string_view key, double& destination, double minimum,
                            double maximum, presence requirement) {
  const json* found = Find(key, requirement);
  if (found == nullptr) {
    return false;
  }
  const std::string accepted = json(minimum).dump() + " to " + json(maximum).dump();
  if (!found->is_number()) {
    ReportWrongType(key, *found, "a number from " + accepted);
    return false;
  }
  const auto number = found->get<double>();
  if (!(number >= minimum && number <= maximum)) {
    ReportOutOfRange(key, found->dump() + "; accepted: " + accepted);
    return false;
  }
  destination = number;
  return true;
}

const json* object_reader::List(std::string_view key, presence requirement, std::size_t maximum) {
  const json* found = Find(key, requirement);
  if (found == nullptr) {
    return nullptr;
  }
  if (!found->is_array()) {
    ReportWrongType(key, *found, "a list");
    return nullptr;
  }
  if (found->size() > maximum) {
    ReportOutOfRange(key, std::to_string(found->size()) + " items; accepted: at most " +
                              std::to_string(maximum));
    return nullptr;
  }
  return found;
}

void object_reader::ReportUnknownKeys() {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [key, member] : value_.items()) {
    if (std::ranges::find(known_keys_, key) == known_keys_.end()) {
      const std::string suggestion = DidYouMean(key, known_keys_);
      problems_.Add(codes_.unknown_key, LocationOf(key),
                    "unknown key " + Quote(key) +
                        (suggestion.empty() ? "; accepted: " : suggestion + " Accepted: ") +
                        JoinWords(known_keys_));
    }
  }
}

bool object_reader::HasKey(std::string_view key) const {
  return value_.is_object() && value_.contains(std::string(key));
}

const json* object_reader::Find(std::string_view key, presence requirement) {
  known_keys_.emplace_back(key);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto found = value_.find(std::string(key));
  if (found != value_.end()) {
    return &*found;
  }
  if (requirement == presence::kRequired) {
    problems_.Add(codes_.missing_key, location_, "the key " + Quote(key) + " is required");
  }
  return nullptr;
}

const json* object_reader::FindText(std::string_view key, presence requirement) {
  const json* found = Find(key, requirement);
  if (found != nullptr && !found->is_string()) {
    ReportWrongType(key, *found, "a text");
    return nullptr;
  }
  return found;
}

bool object_reader::ReadNumber(std::string_view key, std::uint64_t& destination,
                               std::uint64_t minimum, std::uint64_t maximum, presence requirement) {
  const json* found = Find(key, requirement);
  if (found == nullptr) {
    return false;
  }
  const std::string accepted = std::to_string(minimum) + " to " + std::to_string(maximum);
  if (!found->is_number_integer()) {
    ReportWrongType(key, *found, "a whole number from " + accepted);
    return false;
  }
  const bool negative = !found->is_number_unsigned() && found->get<std::int64_t>() < 0;
  if (negative || found->get<std::uint64_t>() < minimum || found->get<std::uint64_t>() > maximum) {
    ReportOutOfRange(key, found->dump() + "; accepted: " + accepted);
    return false;
  }
  destination = found->get<std::uint64_t>();
  return true;
}

void object_reader::ReportWrongType(std::string_view key, const json& found,
                                    std::string_view accepted) {
  problems_.Add(codes_.wrong_type, LocationOf(key),
                std::string(accepted) + " is accepted, not " + TypeNameOf(found));
}

void object_reader::ReportOutOfRange(std::string_view key, std::string detail) {
  problems_.Add(codes_.out_of_range, LocationOf(key), std::move(detail));
}

absl::Status ReadSettingsText(std::string_view json, problem_list& problems,
                              const std::function<void(object_reader&)>& read) {
  constexpr std::size_t kMaxSettingsBytes = 64 * 1024;
  if (json.size() > kMaxSettingsBytes) {
    problems.Add(result_code::kSettingsOutOfRange, "",
                 std::to_string(json.size()) + " bytes; accepted: at most " +
                     std::to_string(kMaxSettingsBytes));
    return problems.AsStatus();
  }
  const std::optional<nlohmann::json> value = ReadJsonText(json, kSettingsCodes, problems);
  if (!value.has_value()) {
    return problems.AsStatus();
  }
  object_reader reader(*value, "", kSettingsCodes, problems);
  read(reader);
  reader.ReportUnknownKeys();
  return problems.AsStatus();
}

}  // namespace cuminferry
