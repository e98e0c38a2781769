#pragma once

#include <chrono>
#include <vector>

#include "relay/call_graph_world.h"

namespace cuminferry::testing {

/** Span since the start whose client requests are evaluated. */
inline constexpr duration kEvaluatedSpan = std::chrono::seconds(20);
/** Time after kEvaluatedSpan in which all evaluated requests complete; longer than any client
 * request. */
inline constexpr duration kCompletionTime = std::chrono::seconds(4);

/** Services of a call graph that is four services deep and whose leaf service is overloaded. */
inline std::vector<graph_service> RestartServices() {
  return {{.name = "calendar", .nodes = 6, .slots = 62},
          {.name = "bookings", .nodes = 4, .slots = 86},
          {.name = "documents", .nodes = 3, .slots = 140},
          {.name = "protection", .nodes = 1, .slots = 21}};
}

// One of three backend servers of the leaf service is left. A read needs four of its answers and a
// booking eight, together twice as many as its slots can give. Bookings alone fill the slots.
// Uploads need none.
inline std::vector<graph_row> RestartRows() {
  return {{.name = "read",
           .service = "calendar",
           .priority = 2,
           .per_second = 210,
           .work = std::chrono::milliseconds(120),
           .called = "status",
           .calls = 1,
           .objective = std::chrono::milliseconds(1'500),
           .deadline = std::chrono::milliseconds(1'000)},
          {.name = "booking",
           .service = "bookings",
           .priority = 0,
           .per_second = 70,
           .work = std::chrono::milliseconds(160),
           .called = "index",
           .calls = 2,
           .objective = std::chrono::milliseconds(1'500),
           .deadline = std::chrono::milliseconds(1'200)},
          {.name = "upload",
           .service = "documents",
           .priority = 1,
           .per_second = 40,
           .work = std::chrono::milliseconds(140),
           .objective = std::chrono::milliseconds(800),
           .deadline = std::chrono::seconds(3)},
          {.name = "status",
           .service = "bookings",
           .work = std::chrono::milliseconds(15),
           .called = "index",
           .calls = 1,
           .objective = std::chrono::seconds(1),
           .deadline = std::chrono::milliseconds(2'500)},
          {.name = "index",
           .service = "documents",
           .work = std::chrono::milliseconds(15),
           .called = "roster",
           .calls = 4,
           .objective = std::chrono::milliseconds(800),
           .deadline = std::chrono::seconds(2)},
          {.name = "roster",
           .service = "protection",
           .work = std::chrono::milliseconds(30),
           .objective = std::chrono::milliseconds(300),
           .deadline = std::chrono::milliseconds(700)}};
}

}  // namespace cuminferry::testing
