#include "cuminferry_table/reading/bounded_json.h"

#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {
namespace {

/** Counts the levels and values of a text without making values of them. Of a text that isn't JSON
    the counts mean nothing, but are bounded all the same. */
class structure_count {
 public:
  /** Returns the bound that the text exceeds; empty where it exceeds none. */
  static std::string_view ExceededBy(std::string_view text, const json_bounds& bounds) {
    structure_count count;
    for (const char character : text) {
      count.Take(character);
      if (count.depth_ > bounds.max_depth) {
        return "levels";
      }
      if (count.values_ > bounds.max_values) {
        return "values";
      }
    }
    return {};
  }

 private:
  void Take(char character) {
    if (in_string_) {
      in_string_ = is_escaped_ || character != '"';
      is_escaped_ = !is_escaped_ && character == '\\';
      return;
    }
    switch (character) {
      case '"':
        in_string_ = true;
        break;
      case '[':
      case '{':
        ++depth_;
        ++values_;
        break;
      case ']':
      case '}':
        depth_ -= depth_ > 0 ? 1 : 0;
        break;
      case ',':
        ++values_;
        break;
      default:
        break;
    }
  }

  std::size_t depth_ = 0;
  // Each value but the first of a list or object follows a comma.
  std::size_t values_ = 1;
  bool in_string_ = false;
  bool is_escaped_ = false;
};

absl::Status BadValue(const std::string& reason) {
  return MakeStatus(result_code::kPlatformBadValue, reason);
}

}  // namespace

absl::StatusOr<nlohmann::json> ParseBoundedJson(std::string_view text, const json_bounds& bounds) {
  if (text.size() > bounds.max_bytes) {
    return BadValue(std::to_string(text.size()) + " bytes are more than are read");
  }
  if (const std::string_view exceeded = structure_count::ExceededBy(text, bounds);
      !exceeded.empty()) {
    return BadValue("more " + std::string(exceeded) + " than are read");
  }
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& failure) {
    return BadValue("no JSON from byte " + std::to_string(failure.byte) + " on");
  } catch (const nlohmann::json::exception&) {
    // A number that no type of the library holds.
    return BadValue("a number is out of range");
  }
}

}  // namespace cuminferry
