#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_table/cuminferry_table.h"
#include "support/property.h"
#include "table/generators.h"

namespace cuminferry {

class row_index_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(row_index_test);
  CPPUNIT_TEST(Row_PathsAndPatterns_MatchAsDocumented);
  CPPUNIT_TEST(Index_AnyRowsAndPath_FindsTheRowOfAScan);
  CPPUNIT_TEST(Shadowing_AnyRows_ShadowedRowIsNeverFound);
  CPPUNIT_TEST(Shard_RowAddedAfterIndexing_IsFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Row_PathsAndPatterns_MatchAsDocumented() {
    CheckMatch("/permits/{id}", "/permits/7", true);
    CheckMatch("/permits/{id}", "/permits/7/", true);
    CheckMatch("/permits/{id}", "/permits/7?full=1", true);
    CheckMatch("/permits/{id}", "/permits/", false);
    CheckMatch("/permits/{id}", "/permits/7/map", false);
    CheckMatch("/permits/{id}", "permits/7", false);
    CheckMatch("/permits/**", "/permits", true);
    CheckMatch("/permits/**", "/permits/7/map", true);
    CheckMatch("/permits/**", "/permitsx", false);
    CheckMatch("/", "/", true);
    CheckMatch("/", "", false);
    CheckMatch("/**", "/", true);
  }

  void Index_AnyRowsAndPath_FindsTheRowOfAScan() {
    testing::CheckProperty("the index finds the row that a scan finds", [] {
      table_shard scanned;
      scanned.rows = *rc::gen::container<std::vector<request_row>>(testing::AnyRow());
      table_shard indexed = scanned;
      indexed.BuildIndex();
      const auto path = *testing::AnyPath();
      for (const char* method : {"GET", "PUT", "POST"}) {
        RC_ASSERT(scanned.FindRowIndex(method, path) == indexed.FindRowIndex(method, path));
      }
    });
  }

  void Shadowing_AnyRows_ShadowedRowIsNeverFound() {
    testing::CheckProperty("no request matches a shadowed row", [] {
      const auto rows = *rc::gen::container<std::vector<request_row>>(testing::AnyRow());
      const row_index index(rows);
      const auto path = *testing::AnyPath();
      const auto found = index.Find("GET", path);
      RC_PRE(found.has_value());
      RC_ASSERT(!index.FindShadowing(*found).has_value());
    });
  }

  void Shard_RowAddedAfterIndexing_IsFound() {
    table_shard shard;
    shard.BuildIndex();
    shard.rows.push_back({.name = "late", .method = "GET", .path_pattern = "/late"});
    CPPUNIT_ASSERT(shard.FindRow("GET", "/late") != nullptr);
    CPPUNIT_ASSERT(shard.FindRowByName("late") != nullptr);
    CPPUNIT_ASSERT(shard.FindRowByName("early") == nullptr);
  }

 private:
  static void CheckMatch(const std::string& pattern, const std::string& path, bool expected) {
    const request_row row{.method = "GET", .path_pattern = pattern};
    CPPUNIT_ASSERT_EQUAL_MESSAGE(pattern + " " + path, expected, row.Matches("GET", path));
    CPPUNIT_ASSERT(!row.Matches("POST", path));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_index_test);

}  // namespace cuminferry
