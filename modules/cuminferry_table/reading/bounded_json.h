#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace cuminferry {

/** The most that a JSON text of another writer may hold. */
struct json_bounds {
  /** Size of the text in bytes. */
  std::size_t max_bytes = 0;
  /** Levels of lists and objects within each other. */
  std::size_t max_depth = 32;
  /** Values of all levels, with lists and objects. A value takes up to some 100 bytes of memory,
      however few it takes in the text. */
  std::size_t max_values = 0;
};

/** Parses JSON that another writer wrote.

    A text of deeply nested lists makes the copying and writing of its value recurse until the stack
    is exhausted, and one of many short values takes fifty times its size in memory. The bounds are
    therefore checked on the text, before any value is made of it.

    Fails with kPlatformBadValue if the text exceeds a bound or isn't JSON. The message doesn't
    quote the text, which may hold keys. */
absl::StatusOr<nlohmann::json> ParseBoundedJson(std::string_view text, const json_bounds& bounds);

}  // namespace cuminferry
