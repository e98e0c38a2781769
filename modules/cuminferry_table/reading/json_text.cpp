#include "cuminferry_table/reading/json_text.h"

#include <algorithm>
#include <set>
#include <vector>

namespace cuminferry {
namespace {

using json = nlohmann::json;

/** Most values within values; a table needs five. */
constexpr int kDeepest = 32;

std::string LineAndColumn(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, byte == 0 ? 0 : byte - 1);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t last_break = before.rfind('\n');
  const std::size_t column =
      last_break == std::string_view::npos ? before.size() + 1 : before.size() - last_break;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

/** The library's words without its number and place, which stand elsewhere. */
std::string WhyNotRead(const json::parse_error& failure) {
  const std::string whole = failure.what();
  const std::size_t begin = whole.find(": ");
  std::string why = begin == std::string::npos ? whole : whole.substr(begin + 2);
  return why + "; JSON with // or /* */ comments is accepted, a comma before ] or } is not";
}

/** Follows the reader through the text and notes keys that one object has twice. */
class duplicate_key_watch {
 public:
  duplicate_key_watch(const reading_codes& codes, problem_list& problems)
      : codes_(codes), problems_(problems) {}

  bool Follow(int depth, json::parse_event_t event, const json& parsed) {
    if (too_deep_ || depth > kDeepest) {
      too_deep_ = true;
      return false;
    }
    switch (event) {
      case json::parse_event_t::object_start:
        open_.push_back({PlaceHere(), false, {}, {}, 0});
        break;
      case json::parse_event_t::array_start:
        open_.push_back({PlaceHere(), true, {}, {}, 0});
        break;
      case json::parse_event_t::key:
        NoteKey(parsed.get_ref<const std::string&>());
        break;
      case json::parse_event_t::object_end:
      case json::parse_event_t::array_end:
        open_.pop_back();
        NextItem();
        break;
      case json::parse_event_t::value:
        NextItem();
        break;
    }
    return true;
  }

  bool too_deep() const { return too_deep_; }

 private:
  struct container {
    std::string place;
    bool is_array;
    std::set<std::string> keys;
    std::string key;
    std::size_t index;
  };

  std::string PlaceHere() const {
    if (open_.empty()) {
      return {};
    }
    const container& inner = open_.back();
    return inner.is_array ? PlaceOfItem(inner.place, inner.index)
                          : PlaceOfMember(inner.place, inner.key);
  }

  void NoteKey(const std::string& key) {
    open_.back().key = key;
    if (!open_.back().keys.insert(key).second) {
      problems_.Add(codes_.not_json, PlaceHere(),
                    "the key \"" + key + "\" stands twice in one object; once is accepted");
    }
  }

  void NextItem() {
    if (!open_.empty()) {
      ++open_.back().index;
    }
  }

  const reading_codes& codes_;
  problem_list& problems_;
  std::vector<container> open_;
  bool too_deep_ = false;
};

}  // namespace

std::optional<json> ReadJsonText(std::string_view text, const reading_codes& codes,
                                 problem_list& problems) {
  duplicate_key_watch watch(codes, problems);
  const auto follow = [&](int depth, json::parse_event_t event, json& parsed) {
    return watch.Follow(depth, event, parsed);
  };
  try {
    json value = json::parse(text, follow, /*allow_exceptions=*/true, /*ignore_comments=*/true);
    if (!watch.too_deep()) {
      return value;
    }
  } catch (const json::parse_error& failure) {
    if (!watch.too_deep()) {
      problems.Add(codes.not_json, LineAndColumn(text, failure.byte), WhyNotRead(failure));
    }
  } catch (const json::exception& failure) {
    problems.Add(codes.not_json, "", failure.what());
  }
  if (watch.too_deep()) {
    problems.Add(codes.not_json, "",
                 "values stand more than " + std::to_string(kDeepest) + " levels deep");
  }
  return std::nullopt;
}

std::string PlaceOfMember(std::string_view place, std::string_view key) {
  std::string pointer(place);
  pointer += '/';
  for (const char letter : key) {
    pointer += letter == '~' ? "~0" : letter == '/' ? "~1" : std::string(1, letter);
  }
  return pointer;
}

std::string PlaceOfItem(std::string_view place, std::size_t index) {
  return std::string(place) + "/" + std::to_string(index);
}

}  // namespace cuminferry
