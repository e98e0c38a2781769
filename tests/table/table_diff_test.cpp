#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cuminferry_table/cuminferry_table.h"
#include "table/read_file.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;

json Donauried() {
  return json::parse(testing::ReadFile("examples/donauried.table.jsonc"), nullptr, true, true);
}

std::vector<table_change> ChangesTo(const json& after) {
  const auto before = policy_table::Parse(Donauried().dump());
  const auto edited = policy_table::Parse(after.dump());
  CPPUNIT_ASSERT_MESSAGE(std::string(edited.status().message()), edited.ok());
  return DiffTables(*before, *edited);
}

json& Row(json& table, const std::string& name) {
  const auto found =
      std::ranges::find_if(table["rows"], [&](const json& row) { return row["name"] == name; });
  CPPUNIT_ASSERT(found != table["rows"].end());
  return *found;
}

}  // namespace

class table_diff_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_diff_test);
  CPPUNIT_TEST(Diff_SameTable_IsEmpty);
  CPPUNIT_TEST(Diff_WeightRaised_NamesTheRowsOvertaken);
  CPPUNIT_TEST(Diff_EachField_DescribesItsEffect);
  CPPUNIT_TEST(Diff_RowsAndServicesAddedOrRemoved_AreNamed);
  CPPUNIT_TEST(Diff_RowsReordered_IsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Diff_SameTable_IsEmpty() {
    json table = Donauried();
    table["version"] = 2;
    CPPUNIT_ASSERT(ChangesTo(table).empty());
  }

  void Diff_WeightRaised_NamesTheRowsOvertaken() {
    json table = Donauried();
    Row(table, "map-history")["weight"] = 3500;
    const auto changes = ChangesTo(table);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("map-history"), changes[0].row);
    CPPUNIT_ASSERT_EQUAL(std::string("1000"), changes[0].before);
    CPPUNIT_ASSERT_EQUAL(std::string("3500"), changes[0].after);
    CPPUNIT_ASSERT_EQUAL(std::string("refused later under overload, now after season-upload, "
                                     "season-read or soil-series"),
                         changes[0].effect);
  }

  void Diff_EachField_DescribesItsEffect() {
    json table = Donauried();
    json& row = Row(table, "map-history");
    row["fleet_limit"] = 80;
    row["target_limit"] = 0;
    row["deadline_ms"] = 9000;
    row["idempotent"] = false;
    row["retry_allowance"] = 2;
    row["largest_answer_bytes"] = 10;
    row["path"] = "/map/old/**";
    table["services"][0]["slots"] = 170;
    table["services"][0]["domains"][0]["targets"] = 2;
    const auto changes = ChangesTo(table);
    for (const char* expected_text :
         {"at most 80 run at once in the fleet, was at most 160",
          "any number run at once at one target", "wait longer", "runs at most once",
          "at most 2 attempts", "answer_too_large", "GET /map/history/** is no longer this row",
          "works on as many", "cut anew"}) {
      CPPUNIT_ASSERT_MESSAGE(expected_text,
                             std::ranges::any_of(changes, [&](const table_change& change) {
                               return change.effect.find(expected_text) != std::string::npos;
                             }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, changes.size());
  }

  void Diff_RowsAndServicesAddedOrRemoved_AreNamed() {
    json table = Donauried();
    json& row = Row(table, "permit-list");
    row["name"] = "permit-all";
    json service = table["services"][0];
    service["name"] = "forecast";
    table["services"].push_back(service);
    const auto changes = ChangesTo(table);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("new, with 0 rows"), changes[0].effect);
    CPPUNIT_ASSERT_EQUAL(std::string("new: GET /permits, weight 4000"), changes[1].effect);
    CPPUNIT_ASSERT_EQUAL(std::string("permit-list"), changes[2].row);
    CPPUNIT_ASSERT(changes[2].after.empty());
  }

  void Diff_RowsReordered_IsReported() {
    json table = Donauried();
    std::swap(table["rows"][0], table["rows"][1]);
    const auto changes = ChangesTo(table);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("order"), changes[0].field);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_diff_test);

}  // namespace cuminferry
