#include "cuminferry_table/reading/json_text.h"

#include <algorithm>
#include <set>
#include <vector>

namespace cuminferry {
namespace {

using json = nlohmann::json;

/** Maximum nesting depth of a text. A table needs 5 levels. */
constexpr int kMaxNestingDepth = 32;

std::string LineAndColumn(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, byte == 0 ? 0 : byte - 1);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t last_break = before.rfind('\n');
  const std::size_t column =
      last_break == std::string_view::npos ? before.size() + 1 : before.size() - last_break;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

/** Returns the library's message without its error number and position: the problem carries its
    own code and location. */
std::string DescribeParseError(const json::parse_error& failure) {
  const std::string message = failure.what();
  const std::size_t begin = message.find(": ");
  std::string reason = begin == std::string::npos ? message : message.substr(begin + 2);
  return reason + "; JSON with // or /* */ comments is accepted, a comma before ] or } is not";
}

/** Receives the events of the JSON parser. Reports keys that occur twice in one object, and stops
    the parser where the text is nested too deeply. */
class structure_checker {
 public:
  structure_checker(const reading_codes& codes, problem_list& problems)
      : codes_(codes), problems_(problems) {}

  bool OnEvent(int depth, json::parse_event_t event, const json& parsed) {
    if (too_deep_ || depth > kMaxNestingDepth) {
      too_deep_ = true;
      return false;
    }
    switch (event) {
      case json::parse_event_t::object_start:
        open_containers_.push_back({CurrentLocation(), false, {}, {}, 0});
        break;
      case json::parse_event_t::array_start:
        open_containers_.push_back({CurrentLocation(), true, {}, {}, 0});
        break;
      case json::parse_event_t::key:
        CheckKey(parsed.get_ref<const std::string&>());
        break;
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        open_containers_.pop_back();
        AdvanceItem();
        break;
      case json::parse_event_t::value:
        AdvanceItem();
        break;
    }
    return true;
  }

  bool too_deep() const { return too_deep_; }

 private:
  struct container {
    std::string location;
    bool is_array;
    std::set<std::string> keys;
    std::string key;
    std::size_t index;
  };

  std::string CurrentLocation() const {
    if (open_containers_.empty()) {
      return {};
    }
    const container& innermost = open_containers_.back();
    return innermost.is_array ? PointerToItem(innermost.location, innermost.index)
                              : PointerToMember(innermost.location, innermost.key);
  }

  void CheckKey(const std::string& key) {
    open_containers_.back().key = key;
    if (!open_containers_.back().keys.insert(key).second) {
      problems_.Add(codes_.not_json, CurrentLocation(),
                    "the key \"" + key + "\" stands twice in one object; once is accepted");
    }
  }

  void AdvanceItem() {
    if (!open_containers_.empty()) {
      ++open_containers_.back().index;
    }
  }

  const reading_codes& codes_;
  problem_list& problems_;
  std::vector<container> open_containers_;
  bool too_deep_ = false;
};

}  // namespace

std::optional<json> ReadJsonText(std::string_view text, const reading_codes& codes,
                                 problem_list& problems) {
  structure_checker checker(codes, problems);
  const auto on_event = [&](int depth, json::parse_event_t event, json& parsed) {
    return checker.OnEvent(depth, event, parsed);
  };
  try {
    json value = json::parse(text, on_event, /*allow_exceptions=*/true, /*ignore_comments=*/true);
    if (!checker.too_deep()) {
      return value;
    }
  } catch (const json::parse_error& failure) {
    if (!checker.too_deep()) {
      problems.Add(codes.not_json, LineAndColumn(text, failure.byte), DescribeParseError(failure));
    }
  } catch (const json::exception& failure) {
    problems.Add(codes.not_json, "", failure.what());
  }
  if (checker.too_deep()) {
    problems.Add(codes.not_json, "",
                 "values stand more than " + std::to_string(kMaxNestingDepth) + " levels deep");
  }
  return std::nullopt;
}

std::string PointerToMember(std::string_view location, std::string_view key) {
  std::string pointer(location);
  pointer += '/';
  for (const char character : key) {
    pointer += character == '~' ? "~0" : character == '/' ? "~1" : std::string(1, character);
  }
  return pointer;
}

std::string PointerToItem(std::string_view location, std::size_t index) {
  return std::string(location) + "/" + std::to_string(index);
}

}  // namespace cuminferry
