#include "platform/answer_splitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cuminferry::testing {

using platform::answer_splitter;

class answer_splitter_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_splitter_test);
  CPPUNIT_TEST(Read_AnyPieces_EntriesAndRestAreTheSame);
  CPPUNIT_TEST(Read_NoEntries_OnlyTheRest);
  CPPUNIT_TEST(Read_EntryTooLong_CostsOnlyItself);
  CPPUNIT_TEST(Read_TextWithoutList_EndsAtTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an entry that ends where its value holds a bracket, comma or quote.
  void Read_AnyPieces_EntriesAndRestAreTheSame() {
    const std::string answer =
        R"({"items": [{"key":"a]}\",","v":[1,[2]]}, 7 ,"x,]",[],{}],"has_more":true,"o":{"p":1}})";
    for (std::size_t piece = 1; piece <= answer.size(); ++piece) {
      splitter_.Clear();
      entries_.clear();
      for (std::size_t at = 0; at < answer.size(); at += piece) {
        CPPUNIT_ASSERT(splitter_.Read(std::string_view(answer).substr(at, piece)));
      }
      CPPUNIT_ASSERT((entries_ == std::vector<std::string>{R"({"key":"a]}\",","v":[1,[2]]})", " 7 ",
                                                           R"("x,]")", "[]", "{}"}));
      CPPUNIT_ASSERT_EQUAL(std::string(R"({"items": [],"has_more":true,"o":{"p":1}})"),
                           splitter_.rest());
    }
  }

  void Read_NoEntries_OnlyTheRest() {
    const std::string answer = R"({"events":[ ],"current_rev":4})";
    CPPUNIT_ASSERT(splitter_.Read(answer));
    CPPUNIT_ASSERT(entries_.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"events":[],"current_rev":4})"), splitter_.rest());
  }

  // Guards against a node filled by one entry, and against the loss of those beside it.
  void Read_EntryTooLong_CostsOnlyItself() {
    CPPUNIT_ASSERT(splitter_.Read(R"({"items":[{"a":1},")"));
    const std::string piece(1024 * 1024, 'x');
    for (std::size_t read = 0; read <= answer_splitter::kMaxEntryBytes; read += piece.size()) {
      CPPUNIT_ASSERT(splitter_.Read(piece));
    }
    CPPUNIT_ASSERT(splitter_.Read(R"(",{"b":2}]})"));
    CPPUNIT_ASSERT((entries_ == std::vector<std::string>{R"({"a":1})", "", R"({"b":2})"}));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"items":[]})"), splitter_.rest());
  }

  // Guards against a node filled by an answer that is no list.
  void Read_TextWithoutList_EndsAtTheBound() {
    CPPUNIT_ASSERT(splitter_.Read(std::string(answer_splitter::kMaxRestBytes, ' ')));
    CPPUNIT_ASSERT(!splitter_.Read(" "));
  }

 private:
  std::vector<std::string> entries_;
  answer_splitter splitter_{[this](std::string_view entry) { entries_.emplace_back(entry); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_splitter_test);

}  // namespace cuminferry::testing
