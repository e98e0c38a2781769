#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry::testing {

using std::chrono::milliseconds;

class relay_metrics_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_metrics_test);
  CPPUNIT_TEST(SetTable_RowsOfEarlierTables_LeaveNoSeries);
  CPPUNIT_TEST(Rows_MoreThanAreNamed_ShareALabel);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that edits of the table fill, each of which names another row.
  void SetTable_RowsOfEarlierTables_LeaveNoSeries() {
    event_loop loop;
    relay_board board(loop, {.instance = "node", .service = "maps"});
    std::size_t length = 0;
    for (std::uint64_t version = 1; version <= 50; ++version) {
      const std::string row = "row-" + std::to_string(100 + version);
      board.SetTable(Table(version, row));
      Count(board.metrics, row);
      Count(board.metrics, "always");
      length = length == 0 ? board.metrics.ToText().size() : length;
    }
    const std::string text = board.metrics.ToText();
    CPPUNIT_ASSERT_EQUAL(std::string::npos, text.find("row-149"));
    CPPUNIT_ASSERT(text.find("row-150") != std::string::npos);
    CPPUNIT_ASSERT(text.find(R"(cuminferry_repeats_total{row="always"} 50)") != std::string::npos);
    CPPUNIT_ASSERT(text.size() < 2 * length);
  }

  // Guards against a node that the rows in other nodes' messages fill.
  void Rows_MoreThanAreNamed_ShareALabel() {
    relay_metrics metrics;
    for (std::size_t i = 0; i < relay_metrics::kMaxNamedRows + 10; ++i) {
      metrics.OnRepeat("row-" + std::to_string(i));
    }
    const std::string count = "cuminferry_repeats_total{row=\"(other)\"} 10";
    CPPUNIT_ASSERT(metrics.ToText().find(count) != std::string::npos);
  }

 private:
  static std::shared_ptr<const route_table> Table(std::uint64_t version, const std::string& row) {
    std::vector<http_route> routes;
    for (const std::string& name : {row, std::string("always")}) {
      routes.push_back({.name = name,
                        .host = "h",
                        .prefix = "/" + name + "/",
                        .timeout = milliseconds(800),
                        .objective = milliseconds(800),
                        .services = {{.service = "maps", .weight = 1.0}}});
    }
    return *route_table::Make(version, std::move(routes), {{.name = "maps"}}, {});
  }

  static void Count(relay_metrics& metrics, std::string_view row) {
    metrics.OnRequestEnd(row, "answered", milliseconds(3));
    metrics.OnServed(row, "answered", milliseconds(1), milliseconds(2));
    metrics.OnRepeat(row);
    metrics.OnRepeatDenied(row);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_metrics_test);

}  // namespace cuminferry::testing
