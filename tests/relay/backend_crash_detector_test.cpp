#include "cuminferry_relay/path/backend_crash_detector.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cuminferry_relay/io/tcp_listener.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr endpoint kBackend{.address = 0x7F3E0001, .port = 18301};  // 127.62.0.1
constexpr std::uint64_t kFirstCrashId = 7;

}  // namespace

class backend_crash_detector_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(backend_crash_detector_test);
  CPPUNIT_TEST(Lost_BackendTakesConnections_HasNotCrashed);
  CPPUNIT_TEST(Lost_BackendIsGone_HasCrashed);
  CPPUNIT_TEST(Lost_LaterThanTheOthers_IsTheSameCrash);
  CPPUNIT_TEST(Lost_AfterBackendAnswered_IsAnotherCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    accepted_.clear();
    listener_.reset();
  }

  // Guards against a request being suspected because its connection was reset.
  void Lost_BackendTakesConnections_HasNotCrashed() {
    StartBackend();
    LoseConnection();
    CPPUNIT_ASSERT(!findings_.back().has_crashed);
  }

  void Lost_BackendIsGone_HasCrashed() {
    LoseConnection();
    CPPUNIT_ASSERT(findings_.back().has_crashed);
    CPPUNIT_ASSERT_EQUAL(kFirstCrashId, findings_.back().crash_id);
  }

  // Guards against one crash of a backend server being counted twice.
  void Lost_LaterThanTheOthers_IsTheSameCrash() {
    LoseConnection();
    LoseConnection();
    CPPUNIT_ASSERT_EQUAL(findings_[0].crash_id, findings_[1].crash_id);
  }

  void Lost_AfterBackendAnswered_IsAnotherCrash() {
    LoseConnection();
    detector_.OnAnswer();
    LoseConnection();
    CPPUNIT_ASSERT(findings_[0].crash_id != findings_[1].crash_id);
  }

 private:
  void StartBackend() {
    auto listening = tcp_listener::Listen(
        loop_, kBackend, seconds(3),
        [this](std::unique_ptr<tcp_connection> from) { accepted_.push_back(std::move(from)); });
    CPPUNIT_ASSERT(listening.ok());
    listener_ = std::move(*listening);
  }

  // Reports a lost connection and waits for the finding.
  void LoseConnection() {
    const std::size_t before = findings_.size();
    detector_.OnConnectionLost();
    loop_timer timeout(loop_);
    timeout.StartOnce(seconds(2), [this] { loop_.Stop(); });
    loop_.Run();
    CPPUNIT_ASSERT_EQUAL(before + 1, findings_.size());
  }

  event_loop loop_;
  std::vector<backend_crash_detector::crash_finding> findings_;
  backend_crash_detector detector_{loop_, kBackend, kFirstCrashId,
                                   [this](const backend_crash_detector::crash_finding& finding) {
                                     findings_.push_back(finding);
                                     loop_.Stop();
                                   }};
  std::unique_ptr<tcp_listener> listener_;
  std::vector<std::unique_ptr<tcp_connection>> accepted_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_crash_detector_test);

}  // namespace cuminferry::testing
