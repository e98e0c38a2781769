#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cuminferry_table/cuminferry_table.h"

namespace cuminferry {
namespace {

using json = nlohmann::json;
using enum result_code;

json ValidTable() {
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

/** Returns the valid table with the value at one JSON pointer replaced. */
std::string TableWith(const std::string& location, const json& value) {
  json table = ValidTable();
  table[json::json_pointer(location)] = value;
  return table.dump();
}

std::string TableWithout(const std::string& parent, const std::string& key) {
  json table = ValidTable();
  table[json::json_pointer(parent)].erase(key);
  return table.dump();
}

std::string TableWithRow(const json& changes) {
  json table = ValidTable();
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

/** Asserts that the text has exactly one problem, with this code, place and text. */
void CheckOnlyProblem(const std::string& text, result_code code, const std::string& location,
                      const std::string& expected_text) {
  const auto problems = ProblemsOf(text);
  const std::string description =
      problems.empty() ? "no problem" : DescribeProblem(problems.front());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(description, std::size_t{1}, problems.size());
  CPPUNIT_ASSERT_MESSAGE(description, problems.front().code == code);
  CPPUNIT_ASSERT_EQUAL(location, problems.front().location);
  CPPUNIT_ASSERT_MESSAGE(description,
                         problems.front().detail.find(expected_text) != std::string::npos);
}

}  // namespace

class table_problems_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(table_problems_test);
  CPPUNIT_TEST(Table_WithComments_IsAccepted);
  CPPUNIT_TEST(Text_NotJson_NamesLineAndColumn);
  CPPUNIT_TEST(Text_KeyTwice_IsRefused);
  CPPUNIT_TEST(Text_NestedDeeply_IsRefused);
  CPPUNIT_TEST(Key_Mistyped_SuggestsTheNearest);
  CPPUNIT_TEST(Value_OfWrongType_IsRefused);
  CPPUNIT_TEST(Value_OutOfRange_NamesTheRange);
  CPPUNIT_TEST(Key_Missing_IsNamed);
  CPPUNIT_TEST(Idempotent_LeftOutOfAPost_IsRefused);
  CPPUNIT_TEST(Row_NameOrPathTwice_IsRefused);
  CPPUNIT_TEST(Row_BelowAWiderPath_IsRefused);
  CPPUNIT_TEST(Row_LimitAdmitsNothing_IsRefused);
  CPPUNIT_TEST(Limits_Contradictory_AreRefused);
  CPPUNIT_TEST(Service_Unknown_SuggestsTheNearest);
  CPPUNIT_TEST(Pattern_Invalid_IsRefused);
  CPPUNIT_TEST(Table_TooLarge_IsRefused);
  CPPUNIT_TEST(Table_ManyProblems_AllAreReported);
  CPPUNIT_TEST(Table_EveryItemInvalid_ReportIsBounded);
  CPPUNIT_TEST(Status_OfAnInvalidTable_CarriesTheFirstProblem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Table_WithComments_IsAccepted() {
    CPPUNIT_ASSERT(ProblemsOf("// ours\n" + ValidTable().dump() + "/* end */").empty());
  }

  void Text_NotJson_NamesLineAndColumn() {
    CheckOnlyProblem("{\n  \"version\": 1,\n}", kTableNotJson, "line 3, column 1",
                     "comma before ]");
    CheckOnlyProblem("", kTableNotJson, "line 1, column 1", "JSON with");
    CheckOnlyProblem("{\"version\": \"\xC3\x28\"}", kTableNotJson, "line 1, column 15", "UTF-8");
  }

  // A row has a key twice, and an operator edits the first value only. Without this check the table
  // would be accepted with the second, old value.
  void Text_KeyTwice_IsRefused() {
    std::string text = ValidTable().dump();
    text.insert(text.find("\"weight\":5000"), "\"weight\":9000,");
    CheckOnlyProblem(text, kTableNotJson, "/rows/1/weight", "stands twice");
  }

  void Text_NestedDeeply_IsRefused() {
    CheckOnlyProblem(std::string(100'000, '['), kTableNotJson, "", "levels deep");
  }

  void Key_Mistyped_SuggestsTheNearest() {
    CheckOnlyProblem(TableWith("/rows/1/fleet_limt", 7), kTableUnknownKey, "/rows/1/fleet_limt",
                     "did you mean \"fleet_limit\"?");
    CheckOnlyProblem(TableWith("/rowss", 7), kTableUnknownKey, "/rowss", "did you mean \"rows\"?");
    CheckOnlyProblem(TableWith("/services/0/zzzzzzzzz", 7), kTableUnknownKey,
                     "/services/0/zzzzzzzzz", "accepted: name, domains, slots or connections");
    CheckOnlyProblem(TableWith("/services/0/domains/1/a~1b", 7), kTableUnknownKey,
                     "/services/0/domains/1/a~1b", "unknown key");
  }

  void Value_OfWrongType_IsRefused() {
    CheckOnlyProblem(TableWith("/version", "3"), kTableWrongType, "/version", "not string");
    CheckOnlyProblem(TableWith("/rows/1/weight", 1.5), kTableWrongType, "/rows/1/weight",
                     "0 to 10000");
    CheckOnlyProblem(TableWith("/rows/0/idempotent", "no"), kTableWrongType, "/rows/0/idempotent",
                     "true or");
    CheckOnlyProblem(TableWith("/rows/1/name", 7), kTableWrongType, "/rows/1/name", "a text");
    CheckOnlyProblem(TableWith("/rows/1", 7), kTableWrongType, "/rows/1", "an object");
    CheckOnlyProblem(TableWith("/services/0/domains", json::object()), kTableWrongType,
                     "/services/0/domains", "a list");
  }

  void Value_OutOfRange_NamesTheRange() {
    CheckOnlyProblem(TableWith("/version", 0), kTableOutOfRange, "/version", "accepted: 1 to");
    CheckOnlyProblem(TableWith("/rows/1/weight", 10001), kTableOutOfRange, "/rows/1/weight",
                     "0 to 10000");
    CheckOnlyProblem(TableWith("/rows/1/weight", -1), kTableOutOfRange, "/rows/1/weight",
                     "-1; accepted");
    CheckOnlyProblem(TableWith("/rows/1/deadline_ms", 0), kTableOutOfRange, "/rows/1/deadline_ms",
                     "1 to");
    CheckOnlyProblem(TableWith("/rows/1/retry_allowance", 11), kTableOutOfRange,
                     "/rows/1/retry_allowance", "0 to 10");
    CheckOnlyProblem(TableWith("/rows/1/largest_answer_bytes", 1ULL << 40), kTableOutOfRange,
                     "/rows/1/largest_answer_bytes", "accepted");
    CheckOnlyProblem(TableWith("/rows/1/method", "get"), kTableOutOfRange, "/rows/1/method",
                     "did you mean \"GET\"?");
    CheckOnlyProblem(TableWith("/rows/1/name", "two words"), kTableOutOfRange, "/rows/1/name",
                     "letters");
    CheckOnlyProblem(TableWith("/services/0/domains", json::array()), kTableOutOfRange,
                     "/services/0/domains", "1 to 64");
    CheckOnlyProblem(TableWith("/services/0/domains/0/targets", 0), kTableOutOfRange,
                     "/services/0/domains/0/targets", "1 to");
  }

  void Key_Missing_IsNamed() {
    CheckOnlyProblem(TableWithout("", "version"), kTableMissingKey, "", "\"version\"");
    CheckOnlyProblem(TableWithout("/rows/1", "weight"), kTableMissingKey, "/rows/1", "\"weight\"");
    CheckOnlyProblem(TableWithout("/services/0", "slots"), kTableMissingKey, "/services/0",
                     "\"slots\"");
    CheckOnlyProblem(TableWithout("/services/0/domains/0", "targets"), kTableMissingKey,
                     "/services/0/domains/0", "\"targets\"");
  }

  // A row for payments without the key "idempotent". If true were the default, a payment would run
  // again after a lost answer, and the client would be charged twice.
  void Idempotent_LeftOutOfAPost_IsRefused() {
    CheckOnlyProblem(TableWithout("/rows/0", "idempotent"), kTableMissingKey, "/rows/0",
                     "required for POST");
    CPPUNIT_ASSERT(ProblemsOf(TableWithout("/rows/1", "idempotent")).empty());
  }

  void Row_NameOrPathTwice_IsRefused() {
    CheckOnlyProblem(TableWithRow({{"name", "file"}, {"path", "/other"}}), kTableDuplicateRow,
                     "/rows/2", "/rows/0");
    CheckOnlyProblem(TableWithRow({{"path", "/permits/{number}"}}), kTableDuplicateRow, "/rows/2",
                     "\"read\"");
    CheckOnlyProblem(TableWith("/services/0/domains/1/failure_domain", "halle-nord"),
                     kTableDuplicateRow, "/services/0/domains/1", "stands twice");
    json table = ValidTable();
    table["services"].push_back(table["services"][0]);
    CheckOnlyProblem(table.dump(), kTableDuplicateRow, "/services/1", "/services/0");
  }

  // A row with a higher weight stands below a row with a wider path, so that no request ever
  // matches it. The requests that it should protect would be refused like those of the wider row.
  void Row_BelowAWiderPath_IsRefused() {
    CheckOnlyProblem(TableWithRow({{"path", "/permits/new"}}), kTableUnreachableRow, "/rows/2",
                     "narrower path before");
    CPPUNIT_ASSERT(ProblemsOf(TableWithRow({{"path", "/permits/**"}})).empty());
    CPPUNIT_ASSERT(
        ProblemsOf(TableWithRow({{"path", "/permits/new"}, {"method", "HEAD"}})).empty());
  }

  void Row_LimitAdmitsNothing_IsRefused() {
    CheckOnlyProblem(TableWith("/rows/0/fleet_limit", 1), kTableUnreachableRow,
                     "/rows/0/fleet_limit", "2 or more");
    CPPUNIT_ASSERT(ProblemsOf(TableWith("/rows/0/fleet_limit", 2)).empty());
  }

  void Limits_Contradictory_AreRefused() {
    CheckOnlyProblem(TableWith("/rows/1/target_limit", 101), kTableContradictoryLimits,
                     "/rows/1/target_limit", "fleet_limit of 100");
    CheckOnlyProblem(TableWith("/rows/0/target_limit", 161), kTableContradictoryLimits,
                     "/rows/0/target_limit", "160 slots");
    CheckOnlyProblem(TableWith("/rows/1/fleet_limit", 641), kTableContradictoryLimits,
                     "/rows/1/fleet_limit", "640 slots");
    CheckOnlyProblem(TableWith("/services/0/connections", 159), kTableContradictoryLimits,
                     "/services/0/connections", "160 or more");
  }

  void Service_Unknown_SuggestsTheNearest() {
    CheckOnlyProblem(TableWith("/rows/1/service", "permits"), kTableUnknownService,
                     "/rows/1/service", "did you mean \"permit\"?");
  }

  void Pattern_Invalid_IsRefused() {
    for (const char* pattern : {"permits", "/permits/", "/a//b", "/**/b", "/a*", "/{}", "/{a b}",
                                "/a?b", "/a b", "/{open", "/{a/b}"}) {
      CheckOnlyProblem(TableWith("/rows/1/path", pattern), kTableBadPattern, "/rows/1/path",
                       "accepted: \"/");
    }
    std::string deep;
    for (int segment = 0; segment < 17; ++segment) {
      deep += "/a";
    }
    CheckOnlyProblem(TableWith("/rows/1/path", deep), kTableBadPattern, "/rows/1/path",
                     "16 segments");
  }

  void Table_TooLarge_IsRefused() {
    CheckOnlyProblem(std::string(policy_table::kMaxTextBytes + 1, ' '), kTableTooLarge, "",
                     "at most");
    json table = ValidTable();
    for (int row = 0; row < 6000; ++row) {
      json added = table["rows"][1];
      added["name"] = "row-" + std::to_string(row);
      added["path"] = "/row-" + std::to_string(row);
      table["rows"].push_back(std::move(added));
    }
    CheckOnlyProblem(table.dump(), kTableTooLarge, "", "service \"permit\"");
  }

  void Table_ManyProblems_AllAreReported() {
    json table = ValidTable();
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

  // Without a bound, the problems of a text of several megabytes in which each item is wrong would
  // take more memory than the text.
  void Table_EveryItemInvalid_ReportIsBounded() {
    const json table = {{"version", 1},
                        {"services", json::array()},
                        {"rows", std::vector<int>(policy_table::kMaxRows, 7)}};
    CPPUNIT_ASSERT_EQUAL(problem_list::kMaxProblems, ProblemsOf(table.dump()).size());
  }

  void Status_OfAnInvalidTable_CarriesTheFirstProblem() {
    const auto table = policy_table::Parse(TableWith("/rows/1/weight", 10001));
    CPPUNIT_ASSERT(CodeOf(table.status()) == kTableOutOfRange);
    CPPUNIT_ASSERT(table.status().message().find("/rows/1/weight") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_problems_test);

}  // namespace cuminferry
