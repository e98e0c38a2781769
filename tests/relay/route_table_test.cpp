#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry::testing {
namespace {

http_route Route(std::string name, std::string host, std::string prefix) {
  return {.name = std::move(name),
          .host = std::move(host),
          .prefix = std::move(prefix),
          .timeout = std::chrono::seconds(1),
          .services = {{.service = "maps", .weight = 1.0}}};
}

absl::StatusOr<std::shared_ptr<const route_table>> MakeTable(std::vector<http_route> routes) {
  return route_table::Make(7, std::move(routes), {{.name = "maps"}}, {});
}

}  // namespace

class route_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(route_table_test);
  CPPUNIT_TEST(Find_SeveralPrefixes_LongestWins);
  CPPUNIT_TEST(Find_PartOfASegment_ReturnsNull);
  CPPUNIT_TEST(Find_HostInCapitalsWithPort_Matches);
  CPPUNIT_TEST(Find_QueryWithSlashes_IsNotPartOfThePath);
  CPPUNIT_TEST(Find_OtherHost_ReturnsNull);
  CPPUNIT_TEST(Make_UnknownService_FailsWithItsName);
  CPPUNIT_TEST(Make_SameHostAndPrefixTwice_Fails);
  CPPUNIT_TEST(Make_PrefixWithoutSlash_Fails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Find_SeveralPrefixes_LongestWins() {
    const auto table =
        *MakeTable({Route("all", "h", "/"), Route("a", "h", "/a/"), Route("ab", "h", "/a/b/")});
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), table->Find("h", "/a/b/c")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), table->Find("h", "/a/x/b/")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("all"), table->Find("h", "/z")->name);
  }

  void Find_PartOfASegment_ReturnsNull() {
    const auto table = *MakeTable({Route("a", "h", "/a/")});
    CPPUNIT_ASSERT(table->Find("h", "/ab/") == nullptr);
    CPPUNIT_ASSERT(table->Find("h", "/a") == nullptr);
  }

  void Find_HostInCapitalsWithPort_Matches() {
    const auto table = *MakeTable({Route("a", "h.example", "/a/")});
    CPPUNIT_ASSERT(table->Find("H.Example:8080", "/a/") != nullptr);
  }

  void Find_QueryWithSlashes_IsNotPartOfThePath() {
    const auto table = *MakeTable({Route("a", "h", "/a/"), Route("ab", "h", "/a/?b/")});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), table->Find("h", "/a/?b/c")->name);
  }

  void Find_OtherHost_ReturnsNull() {
    const auto table = *MakeTable({Route("a", "h", "/a/")});
    CPPUNIT_ASSERT(table->Find("g", "/a/") == nullptr);
  }

  void Make_UnknownService_FailsWithItsName() {
    http_route route = Route("a", "h", "/a/");
    route.services[0].service = "mapz";
    const auto table = MakeTable({route});
    CPPUNIT_ASSERT(!table.ok());
    CPPUNIT_ASSERT(table.status().message().find("mapz") != absl::string_view::npos);
  }

  void Make_SameHostAndPrefixTwice_Fails() {
    CPPUNIT_ASSERT(!MakeTable({Route("a", "h", "/a/"), Route("b", "H", "/a/")}).ok());
  }

  void Make_PrefixWithoutSlash_Fails() { CPPUNIT_ASSERT(!MakeTable({Route("a", "h", "/a")}).ok()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

}  // namespace cuminferry::testing
