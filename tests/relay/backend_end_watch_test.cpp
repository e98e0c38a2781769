#include "cuminferry_relay/path/backend_end_watch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint kBackend{.address = 0x7F3E0001, .port = 18301};  // 127.62.0.1
constexpr std::uint64_t kFirstEnd = 7;

}  // namespace

class backend_end_watch_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(backend_end_watch_test);
  CPPUNIT_TEST(Lost_BackendTakesConnections_HasNotEnded);
  CPPUNIT_TEST(Lost_BackendIsGone_HasEnded);
  CPPUNIT_TEST(Lost_LaterThanTheOthers_IsTheSameEnd);
  CPPUNIT_TEST(Lost_AfterItAnsweredAgain_IsAnotherEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    accepted_.clear();
    listener_.reset();
  }

  // Guards against an innocent request being suspected because its connection was reset.
  void Lost_BackendTakesConnections_HasNotEnded() {
    Start();
    Lose();
    CPPUNIT_ASSERT(!found_.back().has_ended);
  }

  void Lost_BackendIsGone_HasEnded() {
    Lose();
    CPPUNIT_ASSERT(found_.back().has_ended);
    CPPUNIT_ASSERT_EQUAL(kFirstEnd, found_.back().end);
  }

  // Guards against one end of a backend server being counted twice.
  void Lost_LaterThanTheOthers_IsTheSameEnd() {
    Lose();
    Lose();
    CPPUNIT_ASSERT_EQUAL(found_[0].end, found_[1].end);
  }

  void Lost_AfterItAnsweredAgain_IsAnotherEnd() {
    Lose();
    watch_.OnAnswer();
    Lose();
    CPPUNIT_ASSERT(found_[0].end != found_[1].end);
  }

 private:
  void Start() {
    auto listening = tcp_listener::Listen(
        loop_, kBackend, seconds(3),
        [this](std::unique_ptr<tcp_connection> from) { accepted_.push_back(std::move(from)); });
    CPPUNIT_ASSERT(listening.ok());
    listener_ = std::move(*listening);
  }

  // Returns once it was judged.
  void Lose() {
    const std::size_t before = found_.size();
    watch_.OnConnectionLost();
    loop_timer limit(loop_);
    limit.StartOnce(seconds(2), [this] { loop_.Stop(); });
    loop_.Run();
    CPPUNIT_ASSERT_EQUAL(before + 1, found_.size());
  }

  event_loop loop_;
  std::vector<backend_end_watch::finding> found_;
  backend_end_watch watch_{loop_, kBackend, kFirstEnd,
                           [this](const backend_end_watch::finding& found) {
                             found_.push_back(found);
                             loop_.Stop();
                           }};
  std::unique_ptr<tcp_listener> listener_;
  std::vector<std::unique_ptr<tcp_connection>> accepted_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_end_watch_test);

}  // namespace cuminferry::testing
