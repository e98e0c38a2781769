#include "cuminferry_relay/path/backend_declaration.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "cuminferry_relay/path/rate_headers.h"

namespace cuminferry::testing {

class backend_declaration_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(backend_declaration_test);
  CPPUNIT_TEST(Rate_DecimalNumber_IsRead);
  CPPUNIT_TEST(Rate_Unreadable_IsANumberedErrorAndNoRate);
  CPPUNIT_TEST(Rate_GivenTwice_IsAnError);
  CPPUNIT_TEST(RateFields_WrittenAndRead_AreTheSame);
  CPPUNIT_TEST(RateFields_Damaged_AreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Rate_DecimalNumber_IsRead() {
    CPPUNIT_ASSERT_EQUAL(38.2, *Read({"38.2"}).rate);
    CPPUNIT_ASSERT_EQUAL(0.0, *Read({" 0 "}).rate);
    CPPUNIT_ASSERT(!Read({}).rate && Read({}).error.ok());
  }

  // Guards against a value that nobody can mean opening or closing a backend server.
  void Rate_Unreadable_IsANumberedErrorAndNoRate() {
    const std::vector<std::string> texts{"",
                                         "-1",
                                         "nan",
                                         "inf",
                                         "1e3",
                                         "ten",
                                         "10/s",
                                         "1,5",
                                         "0x10",
                                         "10 20",
                                         std::string(1'000, '9')};
    for (const std::string& text : texts) {
      const backend_declaration found = Read({text});
      CPPUNIT_ASSERT_MESSAGE(text, !found.rate);
      CPPUNIT_ASSERT_MESSAGE(text, CodeOf(found.error) == result_code::kBadAnswerHeader);
    }
  }

  void Rate_GivenTwice_IsAnError() {
    CPPUNIT_ASSERT(!Read({"10", "20"}).rate);
    CPPUNIT_ASSERT(!Read({"10", "20"}).error.ok());
  }

  void RateFields_WrittenAndRead_AreTheSame() {
    const rate_report report{
        .declared = {.rate = 0.25, .age = duration(1'234)}, .caller_rate = 0.003, .use = 0.5};
    CPPUNIT_ASSERT(ParseRateReport(ToText(report)) == report);
    const rate_request request{.declared = rate_belief{.rate = 7.0, .age = duration(5)},
                               .started_millis = 17,
                               .awaits_turn = true};
    const auto read = rate_request::Parse(request.ToText());
    CPPUNIT_ASSERT(read && read->declared == request.declared && read->awaits_turn &&
                   read->started_millis == 17);
    CPPUNIT_ASSERT(!rate_request::Parse(rate_request{.awaits_turn = true}.ToText())->declared);
  }

  void RateFields_Damaged_AreIgnored() {
    for (const char* text : {"", "1", "1,2,3", "-1,0,1,1", "x,0,1,1", "1,-5,1,1", "1,0,nan,1"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseRateReport(text));
    }
    for (const char* text : {"", "1,2", "x,0,0,1", "1,-1,0,1"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !rate_request::Parse(text));
    }
  }

 private:
  static backend_declaration Read(const std::vector<std::string>& rates) {
    http_head answer;
    for (const std::string& rate : rates) {
      answer.fields.emplace_back("Rate", rate);
    }
    return backend_declaration::ReadFrom(answer, {.rate = "Rate", .leaving = "Leaving"});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_declaration_test);

}  // namespace cuminferry::testing
