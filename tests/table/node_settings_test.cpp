#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "cuminferry_table/cuminferry_table.h"
#include "table/read_file.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;
using enum result_code;

json ValidSettings() {
  return json::parse(testing::ReadFile("examples/node.settings.jsonc"), nullptr, true, true);
}

void CheckOnlyProblem(const std::string& text, result_code code, const std::string& location,
                      const std::string& expected_text) {
  std::vector<table_problem> problems;
  CPPUNIT_ASSERT(!node_settings::Parse(text, problems).ok());
  const std::string first = DescribeProblem(problems.front());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(first, std::size_t{1}, problems.size());
  CPPUNIT_ASSERT_MESSAGE(first, problems.front().code == code);
  CPPUNIT_ASSERT_EQUAL(location, problems.front().location);
  CPPUNIT_ASSERT_MESSAGE(first, problems.front().detail.find(expected_text) != std::string::npos);
}

void CheckProblemOfValue(const std::string& key, const json& value, result_code code,
                         const std::string& location, const std::string& expected_text) {
  json settings = ValidSettings();
  settings[key] = value;
  CheckOnlyProblem(settings.dump(), code, location, expected_text);
}

}  // namespace

class node_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(node_settings_test);
  CPPUNIT_TEST(Settings_ValueInvalid_IsRefusedWithLocationAndCode);
  CPPUNIT_TEST(Settings_KeyMissing_IsNamed);
  CPPUNIT_TEST(Settings_NotJson_NameLineAndColumn);
  CPPUNIT_TEST(Settings_TwoListenersOnOnePort_AreRefused);
  CPPUNIT_TEST(Settings_PortZero_IsAcceptedForOwnListeners);
  CPPUNIT_TEST(Settings_OptionalKeysLeftOut_TakeTheDefaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Settings_ValueInvalid_IsRefusedWithLocationAndCode() {
    CheckProblemOfValue("backend_slot", 1, kSettingsUnknownKey, "/backend_slot",
                        "did you mean \"backend_slots\"?");
    CheckProblemOfValue("target_slot", "0", kSettingsWrongType, "/target_slot", "a whole number");
    CheckProblemOfValue("backend_slots", 0, kSettingsOutOfRange, "/backend_slots", "1 to");
    CheckProblemOfValue("front", "localhost:8080", kSettingsOutOfRange, "/front", "IPv4 address");
    CheckProblemOfValue("backend", "127.0.0.1:0", kSettingsOutOfRange, "/backend", "port from 1");
    CheckProblemOfValue("platform", "127.0.0.1:8500", kSettingsWrongType, "/platform", "a list");
    CheckProblemOfValue("platform", json::array({"x"}), kSettingsOutOfRange, "/platform/0", "IPv4");
    CheckProblemOfValue("seeds", json::array({7}), kSettingsWrongType, "/seeds/0", "a text");
    CheckProblemOfValue("control", "ful", kSettingsOutOfRange, "/control",
                        "did you mean \"full\"?");
    CheckProblemOfValue("backend_connections", 100, kSettingsOutOfRange, "/backend_connections",
                        "160 or more");
    CheckOnlyProblem(std::string(70'000, ' '), kSettingsOutOfRange, "", "at most");
  }

  void Settings_KeyMissing_IsNamed() {
    for (const char* key :
         {"instance", "service", "failure_domain", "region", "target_slot", "front", "egress",
          "peer", "admin", "backend", "backend_slots", "platform"}) {
      json settings = ValidSettings();
      settings.erase(key);
      CheckOnlyProblem(settings.dump(), kSettingsMissingKey, "", key);
    }
  }

  void Settings_NotJson_NameLineAndColumn() {
    CheckOnlyProblem("{\n  oops }", kSettingsNotJson, "line 2, column 3", "JSON with");
  }

  // A copied settings file in which one port was not changed. Without this check the second
  // listener on the address fails at run time, and the instance never starts.
  void Settings_TwoListenersOnOnePort_AreRefused() {
    CheckProblemOfValue("admin", "127.0.0.1:8080", kSettingsOutOfRange, "/admin", "\"front\" too");
  }

  void Settings_PortZero_IsAcceptedForOwnListeners() {
    json settings = ValidSettings();
    for (const char* key : {"front", "egress", "peer", "admin"}) {
      settings[key] = "127.0.0.1:0";
    }
    CPPUNIT_ASSERT(node_settings::Parse(settings.dump()).ok());
  }

  void Settings_OptionalKeysLeftOut_TakeTheDefaults() {
    json settings = ValidSettings();
    for (const char* key : {"seeds", "control", "sample_every", "drain_report"}) {
      settings.erase(key);
    }
    const auto read = node_settings::Parse(settings.dump());
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("full"), read->control);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{64}, read->sample_every);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_settings_test);

}  // namespace cuminferry
