#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;
using enum result_code;

json GoodTable() {
  return json::parse(R"({
    "version": 3,
    "services": [{"name": "permit", "slots": 160, "connections": 1000, "domains": [
      {"failure_domain": "halle-nord", "targets": 2}, {"failure_domain": "pumpwerk", "targets": 2}]}],
    "rows": [
      {"name": "file", "service": "permit", "method": "POST", "path": "/permits",
       "weight": 10000, "idempotent": false, "deadline_ms": 4000},
      {"name": "read", "service": "permit", "method": "GET", "path": "/permits/{id}",
       "weight": 5000, "fleet_limit": 100, "target_limit": 50}]})");
}

/** The good table with one place of it changed. */
std::string With(const std::string& place, const json& value) {
  json table = GoodTable();
  table[json::json_pointer(place)] = value;
  return table.dump();
}

std::string Without(const std::string& parent, const std::string& key) {
  json table = GoodTable();
  table[json::json_pointer(parent)].erase(key);
  return table.dump();
}

std::string WithRow(const json& changes) {
  json table = GoodTable();
  json row = table["rows"][1];
  row["name"] = "added";
  row.update(changes);
  table["rows"].push_back(row);
  return table.dump();
}

std::vector<table_problem> ProblemsOf(const std::string& text) {
  std::vector<table_problem> problems;
  const auto table = policy_table::Parse(text, problems);
  CPPUNIT_ASSERT_EQUAL(problems.empty(), table.ok());
  return problems;
}

/** Asserts that the text has exactly one problem, and which. */
void CheckOnly(const std::string& text, result_code code, const std::string& place,
               const std::string& said) {
  const auto problems = ProblemsOf(text);
  const std::string all = problems.empty() ? "no problem" : DescribeProblem(problems.front());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(all, std::size_t{1}, problems.size());
  CPPUNIT_ASSERT_MESSAGE(all, problems.front().code == code);
  CPPUNIT_ASSERT_EQUAL(place, problems.front().place);
  CPPUNIT_ASSERT_MESSAGE(all, problems.front().detail.find(said) != std::string::npos);
}

}  // namespace

class table_problems_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_problems_test);
  CPPUNIT_TEST(Table_WithComments_IsAccepted);
  CPPUNIT_TEST(Text_NotJson_NamesLineAndColumn);
  CPPUNIT_TEST(Text_KeyTwice_IsRefused);
  CPPUNIT_TEST(Text_NestedDeeply_IsRefused);
  CPPUNIT_TEST(Key_Mistyped_NamesTheNearOne);
  CPPUNIT_TEST(Value_OfWrongType_IsRefused);
  CPPUNIT_TEST(Value_OutOfRange_NamesTheRange);
  CPPUNIT_TEST(Key_Missing_IsNamed);
  CPPUNIT_TEST(Idempotent_LeftOutOfAPost_IsRefused);
  CPPUNIT_TEST(Row_NameOrPathTwice_IsRefused);
  CPPUNIT_TEST(Row_BehindAWiderOne_IsRefused);
  CPPUNIT_TEST(Row_LimitAdmitsNothing_IsRefused);
  CPPUNIT_TEST(Limits_ThatCannotHold_AreRefused);
  CPPUNIT_TEST(Service_Unknown_NamesTheNearOne);
  CPPUNIT_TEST(Pattern_Bad_IsRefused);
  CPPUNIT_TEST(Table_TooLarge_IsRefused);
  CPPUNIT_TEST(Table_ManyMistakes_AllAreReported);
  CPPUNIT_TEST(Table_NothingButMistakes_ReportIsBounded);
  CPPUNIT_TEST(Status_OfABadTable_CarriesTheFirstProblem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Table_WithComments_IsAccepted() {
    CPPUNIT_ASSERT(ProblemsOf("// ours\n" + GoodTable().dump() + "/* end */").empty());
  }

  void Text_NotJson_NamesLineAndColumn() {
    CheckOnly("{\n  \"version\": 1,\n}", kTableNotJson, "line 3, column 1", "comma before ]");
    CheckOnly("", kTableNotJson, "line 1, column 1", "JSON with");
    CheckOnly("{\"version\": \"\xC3\x28\"}", kTableNotJson, "line 1, column 15", "UTF-8");
  }

  // An operator raises a weight and overlooks that the row has the key a second
  // time further down. Without this the table is accepted with the old weight.
  void Text_KeyTwice_IsRefused() {
    std::string text = GoodTable().dump();
    text.insert(text.find("\"weight\":5000"), "\"weight\":9000,");
    CheckOnly(text, kTableNotJson, "/rows/1/weight", "stands twice");
  }

  void Text_NestedDeeply_IsRefused() {
    CheckOnly(std::string(100'000, '['), kTableNotJson, "", "levels deep");
  }

  void Key_Mistyped_NamesTheNearOne() {
    CheckOnly(With("/rows/1/fleet_limt", 7), kTableUnknownKey, "/rows/1/fleet_limt",
              "did you mean \"fleet_limit\"?");
    CheckOnly(With("/rowss", 7), kTableUnknownKey, "/rowss", "did you mean \"rows\"?");
    CheckOnly(With("/services/0/zzzzzzzzz", 7), kTableUnknownKey, "/services/0/zzzzzzzzz",
              "accepted: name, domains, slots or connections");
    CheckOnly(With("/services/0/domains/1/a~1b", 7), kTableUnknownKey, "/services/0/domains/1/a~1b",
              "unknown key");
  }

  void Value_OfWrongType_IsRefused() {
    CheckOnly(With("/version", "3"), kTableWrongType, "/version", "not string");
    CheckOnly(With("/rows/1/weight", 1.5), kTableWrongType, "/rows/1/weight", "0 to 10000");
    CheckOnly(With("/rows/0/idempotent", "no"), kTableWrongType, "/rows/0/idempotent", "true or");
    CheckOnly(With("/rows/1/name", 7), kTableWrongType, "/rows/1/name", "a text");
    CheckOnly(With("/rows/1", 7), kTableWrongType, "/rows/1", "an object");
    CheckOnly(With("/services/0/domains", json::object()), kTableWrongType, "/services/0/domains",
              "a list");
  }

  void Value_OutOfRange_NamesTheRange() {
    CheckOnly(With("/version", 0), kTableOutOfRange, "/version", "accepted: 1 to");
    CheckOnly(With("/rows/1/weight", 10001), kTableOutOfRange, "/rows/1/weight", "0 to 10000");
    CheckOnly(With("/rows/1/weight", -1), kTableOutOfRange, "/rows/1/weight", "-1; accepted");
    CheckOnly(With("/rows/1/deadline_ms", 0), kTableOutOfRange, "/rows/1/deadline_ms", "1 to");
    CheckOnly(With("/rows/1/retry_allowance", 11), kTableOutOfRange, "/rows/1/retry_allowance",
              "0 to 10");
    CheckOnly(With("/rows/1/largest_answer_bytes", 1ULL << 40), kTableOutOfRange,
              "/rows/1/largest_answer_bytes", "accepted");
    CheckOnly(With("/rows/1/method", "get"), kTableOutOfRange, "/rows/1/method",
              "did you mean \"GET\"?");
    CheckOnly(With("/rows/1/name", "two words"), kTableOutOfRange, "/rows/1/name", "letters");
    CheckOnly(With("/services/0/domains", json::array()), kTableOutOfRange, "/services/0/domains",
              "1 to 64");
    CheckOnly(With("/services/0/domains/0/targets", 0), kTableOutOfRange,
              "/services/0/domains/0/targets", "1 to");
  }

  void Key_Missing_IsNamed() {
    CheckOnly(Without("", "version"), kTableMissingKey, "", "\"version\"");
    CheckOnly(Without("/rows/1", "weight"), kTableMissingKey, "/rows/1", "\"weight\"");
    CheckOnly(Without("/services/0", "slots"), kTableMissingKey, "/services/0", "\"slots\"");
    CheckOnly(Without("/services/0/domains/0", "targets"), kTableMissingKey,
              "/services/0/domains/0", "\"targets\"");
  }

  // Somebody adds a row for payments and forgets the word. Taken as idempotent, a
  // lost answer would have it run again and a parent is charged twice.
  void Idempotent_LeftOutOfAPost_IsRefused() {
    CheckOnly(Without("/rows/0", "idempotent"), kTableMissingKey, "/rows/0", "required for POST");
    CPPUNIT_ASSERT(ProblemsOf(Without("/rows/1", "idempotent")).empty());
  }

  void Row_NameOrPathTwice_IsRefused() {
    CheckOnly(WithRow({{"name", "file"}, {"path", "/other"}}), kTableDuplicateRow, "/rows/2",
              "/rows/0");
    CheckOnly(WithRow({{"path", "/permits/{number}"}}), kTableDuplicateRow, "/rows/2", "\"read\"");
    CheckOnly(With("/services/0/domains/1/failure_domain", "halle-nord"), kTableDuplicateRow,
              "/services/0/domains/1", "stands twice");
    json table = GoodTable();
    table["services"].push_back(table["services"][0]);
    CheckOnly(table.dump(), kTableDuplicateRow, "/services/1", "/services/0");
  }

  // A row with a higher weight is added below a wider one. It is never taken, and
  // what it should protect is refused with the rest.
  void Row_BehindAWiderOne_IsRefused() {
    CheckOnly(WithRow({{"path", "/permits/new"}}), kTableUnreachableRow, "/rows/2",
              "narrower path before");
    CPPUNIT_ASSERT(ProblemsOf(WithRow({{"path", "/permits/**"}})).empty());
    CPPUNIT_ASSERT(ProblemsOf(WithRow({{"path", "/permits/new"}, {"method", "HEAD"}})).empty());
  }

  void Row_LimitAdmitsNothing_IsRefused() {
    CheckOnly(With("/rows/0/fleet_limit", 1), kTableUnreachableRow, "/rows/0/fleet_limit",
              "2 or more");
    CPPUNIT_ASSERT(ProblemsOf(With("/rows/0/fleet_limit", 2)).empty());
  }

  void Limits_ThatCannotHold_AreRefused() {
    CheckOnly(With("/rows/1/target_limit", 101), kTableContradictoryLimits, "/rows/1/target_limit",
              "fleet_limit of 100");
    CheckOnly(With("/rows/0/target_limit", 161), kTableContradictoryLimits, "/rows/0/target_limit",
              "160 slots");
    CheckOnly(With("/rows/1/fleet_limit", 641), kTableContradictoryLimits, "/rows/1/fleet_limit",
              "640 slots");
    CheckOnly(With("/services/0/connections", 159), kTableContradictoryLimits,
              "/services/0/connections", "160 or more");
  }

  void Service_Unknown_NamesTheNearOne() {
    CheckOnly(With("/rows/1/service", "permits"), kTableUnknownService, "/rows/1/service",
              "did you mean \"permit\"?");
  }

  void Pattern_Bad_IsRefused() {
    for (const char* pattern : {"permits", "/permits/", "/a//b", "/**/b", "/a*", "/{}", "/{a b}",
                                "/a?b", "/a b", "/{open", "/{a/b}"}) {
      CheckOnly(With("/rows/1/path", pattern), kTableBadPattern, "/rows/1/path", "accepted: \"/");
    }
    std::string deep;
    for (int segment = 0; segment < 17; ++segment) {
      deep += "/a";
    }
    CheckOnly(With("/rows/1/path", deep), kTableBadPattern, "/rows/1/path", "16 segments");
  }

  void Table_TooLarge_IsRefused() {
    CheckOnly(std::string(policy_table::kLargestText + 1, ' '), kTableTooLarge, "", "at most");
    json table = GoodTable();
    for (int row = 0; row < 6000; ++row) {
      json added = table["rows"][1];
      added["name"] = "row-" + std::to_string(row);
      added["path"] = "/row-" + std::to_string(row);
      table["rows"].push_back(std::move(added));
    }
    CheckOnly(table.dump(), kTableTooLarge, "", "service \"permit\"");
  }

  void Table_ManyMistakes_AllAreReported() {
    json table = GoodTable();
    table["version"] = -1;
    table["owner"] = "us";
    table["rows"][0].erase("weight");
    table["rows"][0]["path"] = "permits";
    table["rows"][1]["service"] = "map";
    table["services"][0]["slots"] = "many";
    std::vector<result_code> codes;
    for (const table_problem& problem : ProblemsOf(table.dump())) {
      codes.push_back(problem.code);
    }
    const std::vector<result_code> expected = {kTableOutOfRange, kTableWrongType,
                                               kTableMissingKey, kTableBadPattern,
                                               kTableUnknownKey, kTableUnknownService};
    CPPUNIT_ASSERT(std::ranges::is_permutation(expected, codes));
  }

  // A text of megabytes in which each item is wrong would be answered with more
  // text than it has itself.
  void Table_NothingButMistakes_ReportIsBounded() {
    const json table = {{"version", 1},
                        {"services", json::array()},
                        {"rows", std::vector<int>(policy_table::kMostRows, 7)}};
    CPPUNIT_ASSERT_EQUAL(problem_list::kBound, ProblemsOf(table.dump()).size());
  }

  void Status_OfABadTable_CarriesTheFirstProblem() {
    const auto table = policy_table::Parse(With("/rows/1/weight", 10001));
    CPPUNIT_ASSERT(CodeOf(table.status()) == kTableOutOfRange);
    CPPUNIT_ASSERT(table.status().message().find("/rows/1/weight") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_problems_test);

}  // namespace cuminferry
