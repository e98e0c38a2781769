#include <cppunit/extensions/HelperMacros.h>

#include "relay/restart_load.h"

namespace cuminferry::testing {
namespace {

using std::chrono::seconds;

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
