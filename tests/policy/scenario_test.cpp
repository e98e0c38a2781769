#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "policy/scenario_script.h"

namespace cuminferry::testing {
namespace {

std::string FromEnvironment(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

}  // namespace

/** Runs all files of scenarios/.

    Environment variables select a measurement: CUMINFERRY_SCENARIO runs only one file,
    CUMINFERRY_CONTROL sets the control mode (with "static" and "none", failed expectations don't
    fail the test), and CUMINFERRY_SEED sets the seed.
*/
class scenario_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(scenario_test);
  CPPUNIT_TEST(Scenarios_RunInVirtualTime_MeetTheirExpectations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Scenarios_RunInVirtualTime_MeetTheirExpectations() {
    const std::string wanted = FromEnvironment("CUMINFERRY_SCENARIO", "");
    const std::string control = FromEnvironment("CUMINFERRY_CONTROL", "full");
    const std::uint64_t seed = std::stoull(FromEnvironment("CUMINFERRY_SEED", "1"));
    std::string failures;
    int files = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator(CUMINFERRY_SOURCE_DIR "/tests/policy/scenarios")) {
      const std::string name = entry.path().stem().string();
      if (!entry.is_regular_file() || (!wanted.empty() && name != wanted)) {
        continue;
      }
      ++files;
      const scenario_result result = RunScenario(entry.path().string(), control, seed);
      for (const std::string& note : result.notes) {
        std::cout << name << " [" << control << "] " << note << "\n";
      }
      for (const std::string& failure : result.failures) {
        failures += name + ": " + failure + "\n";
      }
    }
    CPPUNIT_ASSERT_MESSAGE("no scenario was found", files > 0);
    if (control == "full") {
      CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scenario_test);

}  // namespace cuminferry::testing
