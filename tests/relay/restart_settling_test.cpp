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
  // Guards against causes learned wrongly in the first seconds after a start of all nodes.
  void Restart_AnySeed_UploadsAreNotRefusedForTheLeaf() {
    for (std::uint64_t seed = 6; seed <= 20; ++seed) {
      call_graph_world world(Services(), Rows(), seed);
      world.Run(kEnd + kRest);
      CPPUNIT_ASSERT(world.Count("upload", seconds(0), kEnd).ServedPart() >= 0.97);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restart_settling_test);

}  // namespace cuminferry::testing
