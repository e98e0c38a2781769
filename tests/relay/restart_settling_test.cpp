#include <cppunit/extensions/HelperMacros.h>

#include "relay/restart_load.h"

namespace cuminferry::testing {
namespace {

using std::chrono::seconds;

}  // namespace

class restart_settling_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(restart_settling_test);
  CPPUNIT_TEST(Restart_AnySeed_UploadsAreNotRefusedForTheLeaf);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against attributing calls to the wrong caller rows in the first seconds after all nodes
  // restart.
  void Restart_AnySeed_UploadsAreNotRefusedForTheLeaf() {
    for (std::uint64_t seed = 6; seed <= 20; ++seed) {
      call_graph_world world(RestartServices(), RestartRows(), seed);
      world.Run(kEvaluatedSpan + kCompletionTime);
      CPPUNIT_ASSERT(world.Count("upload", seconds(0), kEvaluatedSpan).ServedFraction() >= 0.97);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_settling_test);

}  // namespace cuminferry::testing
