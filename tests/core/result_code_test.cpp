#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <sstream>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

class result_code_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(result_code_test);
  CPPUNIT_TEST(ResultCodes_NumbersAndNames_AreUnique);
  CPPUNIT_TEST(Status_MadeFromCode_CarriesIt);
  CPPUNIT_TEST(Documentation_ComparedWithCode_IsTheSame);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResultCodes_NumbersAndNames_AreUnique() {
    std::set<result_code> codes;
    std::set<std::string_view> names;
    for (const result_code_info& info : AllResultCodes()) {
      CPPUNIT_ASSERT(codes.insert(info.code).second);
      CPPUNIT_ASSERT(names.insert(info.name).second);
    }
  }

  void Status_MadeFromCode_CarriesIt() {
    for (const result_code_info& info : AllResultCodes()) {
      CPPUNIT_ASSERT(CodeOf(MakeStatus(info.code, "detail")) == info.code);
    }
  }

  // Guards against codes that are missing or outdated on the page on which operators look them up.
  void Documentation_ComparedWithCode_IsTheSame() {
    std::ifstream file(CUMINFERRY_SOURCE_DIR "/docs/RESULT_CODES.md");
    std::stringstream text;
    text << file.rdbuf();
    std::size_t documented = 0;
    for (std::string line; std::getline(text, line);) {
      documented += line.rfind("| ", 0) == 0 && line.size() > 2 && std::isdigit(line[2]) != 0;
    }
    CPPUNIT_ASSERT_EQUAL(AllResultCodes().size(), documented);
    for (const result_code_info& info : AllResultCodes()) {
      std::ostringstream row;
      row << "| " << static_cast<int>(info.code) << " | `" << info.name << "` | ";
      row << (info.http_status == 0 ? "-" : std::to_string(info.http_status)) << " | "
          << info.meaning << " |";
      CPPUNIT_ASSERT_MESSAGE(row.str(), text.str().find(row.str()) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(result_code_test);

}  // namespace cuminferry
