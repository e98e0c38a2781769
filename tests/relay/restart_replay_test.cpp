#include <cppunit/extensions/HelperMacros.h>

#include "relay/call_graph_world.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kEnd = seconds(20);
// Longer than any request of a client lasts.
constexpr duration kRest = seconds(4);

std::vector<graph_service> Services() {
  return {{.name = "calendar", .nodes = 6, .slots = 62},
          {.name = "bookings", .nodes = 4, .slots = 86},
          {.name = "documents", .nodes = 3, .slots = 140},
          {.name = "protection", .nodes = 1, .slots = 21}};
}

// One of three backend servers of the leaf is left. A read needs four answers of it, a booking
// eight: together twice what it has slots for; bookings alone fill it. Uploads need none.
std::vector<graph_row> Rows() {
  return {{.name = "read",
           .service = "calendar",
           .priority = 2,
           .per_second = 210,
           .work = milliseconds(120),
           .called = "status",
           .calls = 1,
           .objective = milliseconds(1'500),
           .deadline = milliseconds(1'000)},
          {.name = "booking",
           .service = "bookings",
           .priority = 0,
           .per_second = 70,
           .work = milliseconds(160),
           .called = "index",
           .calls = 2,
           .objective = milliseconds(1'500),
           .deadline = milliseconds(1'200)},
          {.name = "upload",
           .service = "documents",
           .priority = 1,
           .per_second = 40,
           .work = milliseconds(140),
           .objective = milliseconds(800),
           .deadline = seconds(3)},
          {.name = "status",
           .service = "bookings",
           .work = milliseconds(15),
           .called = "index",
           .calls = 1,
           .objective = seconds(1),
           .deadline = milliseconds(2'500)},
          {.name = "index",
           .service = "documents",
           .work = milliseconds(15),
           .called = "roster",
           .calls = 4,
           .objective = milliseconds(800),
           .deadline = seconds(2)},
          {.name = "roster",
           .service = "protection",
           .work = milliseconds(30),
           .objective = milliseconds(300),
           .deadline = milliseconds(700)}};
}

}  // namespace

class restart_replay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(restart_replay_test);
  CPPUNIT_TEST(Restart_OfAllWhileTheLeafIsFull_IsHeldBackWithinTwoSeconds);
  CPPUNIT_TEST(Restart_OfAllWhileTheLeafIsFull_UploadsAreNotRefusedForIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a full service that keeps silent after a start: all is let in, runs and fails.
  void Restart_OfAllWhileTheLeafIsFull_IsHeldBackWithinTwoSeconds() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      call_graph_world world(Services(), Rows(), seed);
      world.Run(kEnd + kRest);
      const graph_count early = world.Count("read", seconds(2), seconds(4));
      CPPUNIT_ASSERT(early.refused >= early.sent / 2);
      CPPUNIT_ASSERT(world.Count("booking", seconds(5), kEnd).ServedPart() >= 0.8);
    }
  }

  // Guards against causes learned from runs that broke off: uploads refused for a service that they
  // never use.
  void Restart_OfAllWhileTheLeafIsFull_UploadsAreNotRefusedForIt() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      call_graph_world world(Services(), Rows(), seed);
      world.Run(kEnd + kRest);
      CPPUNIT_ASSERT(world.Count("upload", seconds(0), kEnd).ServedPart() >= 0.97);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_replay_test);

}  // namespace cuminferry::testing
