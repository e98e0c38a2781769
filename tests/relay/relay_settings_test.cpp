#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "cuminferry_relay/cuminferry_relay.h"

namespace cuminferry::testing {
namespace {

using json = nlohmann::json;

json Settings() {
  return {{"instance", "n"},          {"service", "s"},          {"failure_domain", "d"},
          {"outbound", "10.0.0.1:1"}, {"ready", "10.0.0.1:2"},   {"ready_path", "/ready"},
          {"peer", "10.0.0.1:3"},     {"seed", "10.0.0.1:4"},    {"metrics", "10.0.0.1:5"},
          {"metrics_path", "/m"},     {"backend", "10.0.0.1:6"}, {"platform", "10.0.0.1:7"}};
}

}  // namespace

class relay_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_settings_test);
  CPPUNIT_TEST(Settings_FractionalNumbers_AreAccepted);
  CPPUNIT_TEST(Settings_BoundsOmitted_HaveDefaults);
  CPPUNIT_TEST(Settings_InvalidBounds_AreRejectedWithTheirPlace);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A deployment runs at a fraction of its size with its bounds scaled down to match. Guards
  // against rejecting fractional bounds, with which no process of it would start.
  void Settings_FractionalNumbers_AreAccepted() {
    json settings = Settings();
    settings["repeat_allowance"] = 20.6;
    settings["repeat_ratio"] = 0.125;
    settings["repeat_window_s"] = 2.5;
    settings["grace_s"] = 5.75;
    settings["withdrawal_s"] = 4.999;
    settings["withdrawal_strict"] = true;
    settings["limit_window_s"] = 1.5;
    settings["limit_excess"] = 0.25;
    settings["limit_allowance"] = 4.1;
    settings["drain_s"] = 2.5;
    settings["queue_order"] = "importance";
    settings["customer_shares"] = true;
    std::vector<table_problem> problems;
    const auto read = relay_settings::Parse(settings.dump(), problems);
    CPPUNIT_ASSERT_MESSAGE(std::string(read.status().message()), read.ok());
    CPPUNIT_ASSERT_EQUAL(20.6, read->repeat_allowance);
    CPPUNIT_ASSERT_EQUAL(0.125, read->repeat_ratio);
    CPPUNIT_ASSERT(read->repeat_window == std::chrono::milliseconds(2'500));
    CPPUNIT_ASSERT(read->grace == std::chrono::milliseconds(5'750));
    CPPUNIT_ASSERT(read->customers.withdrawal_strict);
    CPPUNIT_ASSERT(read->customers.withdrawal_time == std::chrono::milliseconds(4'999));
    CPPUNIT_ASSERT(read->customers.limits.window == std::chrono::milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(4.1, read->customers.limits.allowance);
    CPPUNIT_ASSERT(read->drain == std::chrono::milliseconds(2'500));
    CPPUNIT_ASSERT(read->order == queue_order::kImportance);
    CPPUNIT_ASSERT(read->customer_shares);
  }

  void Settings_BoundsOmitted_HaveDefaults() {
    std::vector<table_problem> problems;
    const auto read = relay_settings::Parse(Settings().dump(), problems);
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT(!read->customers.withdrawal_strict);
    CPPUNIT_ASSERT(read->grace == std::chrono::seconds(6));
    CPPUNIT_ASSERT(read->drain == duration::zero());
    CPPUNIT_ASSERT(read->order == queue_order::kDeadline);
    CPPUNIT_ASSERT(!read->customer_shares);
  }

  void Settings_InvalidBounds_AreRejectedWithTheirPlace() {
    const std::vector<std::pair<std::string, json>> bad{
        {"repeat_allowance", -1}, {"repeat_ratio", 1.5},   {"grace_s", "6"},
        {"withdrawal_s", 0},      {"limit_excess", -0.25}, {"limit_window_s", nullptr},
        {"limit_allowance", 1e9}, {"drain_s", -1},         {"queue_order", "arrival"},
        {"customer_shares", 1}};
    for (const auto& [key, value] : bad) {
      json settings = Settings();
      settings[key] = value;
      std::vector<table_problem> problems;
      CPPUNIT_ASSERT_MESSAGE(key, !relay_settings::Parse(settings.dump(), problems).ok());
      CPPUNIT_ASSERT_EQUAL("/" + key, problems.front().location);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_settings_test);

}  // namespace cuminferry::testing
