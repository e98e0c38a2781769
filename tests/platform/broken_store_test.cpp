#include <cppunit/extensions/HelperMacros.h>

#include "platform/watched_store.h"
#include "relay/raw_server.h"

namespace cuminferry::testing {
namespace {

constexpr char kPage[] =
    R"({"items":[{"key":"a","value":"MQ==","revision":12,"create_revision":12,"lease":0}],)"
    R"("current_rev":12,"has_more":false})";

std::string WithLength(const std::string& head) {
  return head + "Content-Length: " + std::to_string(sizeof(kPage) - 1) + "\r\n\r\n" + kPage;
}

/** A store whose first answer is broken, and that answers soundly when it is asked again. */
struct broken_store {
  watched_store fixture;
  int asked = 0;
  raw_server store;

  /** @param is_reset  whether the connection is reset with the first answer */
  broken_store(const std::string& first_answer, bool is_reset)
      : store(fixture.loop, {.address = 0x7F000001, .port = 0},
              [this, first_answer, is_reset](raw_server& at, std::string_view) {
                if (++asked > 1) {
                  at.Send(WithLength("HTTP/1.1 200 OK\r\n"));
                } else if (is_reset) {
                  at.SendAndReset(first_answer);
                } else {
                  at.Send(first_answer);
                }
              }) {
    fixture.watcher.UseStore(store.address());
    fixture.watcher.SetWatching(true, 0);
  }

  /** Nothing of the first answer is taken, and the store is asked again soon. */
  void CheckIsNoAnswer(const std::string& name, int invalid_answers) {
    CPPUNIT_ASSERT_MESSAGE(name, fixture.RunUntil([&] { return !fixture.availability.empty(); },
                                                  std::chrono::milliseconds(500)));
    CPPUNIT_ASSERT_MESSAGE(name, !fixture.availability.front());
    CPPUNIT_ASSERT_MESSAGE(name, fixture.items.Find("a") == nullptr);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, invalid_answers, fixture.invalid_answers);
    CPPUNIT_ASSERT_MESSAGE(name,
                           fixture.RunUntil([&] { return fixture.items.Find("a") != nullptr; }));
    CPPUNIT_ASSERT_MESSAGE(name, asked > 1);
  }
};

}  // namespace

class broken_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_store_test);
  CPPUNIT_TEST(Page_HeadThatHttpDoesNotAllow_IsNoAnswer);
  CPPUNIT_TEST(Page_WithoutLengthAndReset_IsNoAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a table, or a list of instances, out of bytes that are no answer of the store.
  void Page_HeadThatHttpDoesNotAllow_IsNoAnswer() {
    for (const std::string head :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/2.0 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nBad Name: x\r\n", "HTTP/1.1 200 OK\r\nBad : x\r\n"}) {
      broken_store at(WithLength(head), false);
      at.CheckIsNoAnswer(head, 1);
    }
  }

  // Guards against a page that the store has not said to be whole, though it can be read.
  void Page_WithoutLengthAndReset_IsNoAnswer() {
    broken_store at("HTTP/1.1 200 OK\r\n\r\n" + std::string(kPage), true);
    at.CheckIsNoAnswer("reset", 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_store_test);

}  // namespace cuminferry::testing
