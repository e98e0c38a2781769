#include <absl/synchronization/notification.h>

#include <string>

#include "backend/scripted_backend.h"
#include "cuminferry_node/runtime/serving_side.h"
#include "cuminferry_node/shares/share_side.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

constexpr incarnation_id kIncarnation = 9;
constexpr char kTable[] = R"({
  "version": 1,
  "services": [{"name": "permit", "slots": 4, "connections": 4,
                "domains": [{"failure_domain": "halle-nord", "targets": 1}]}],
  "rows": [{"name": "file", "service": "permit", "method": "POST", "path": "/permits", "weight": 100,
            "deadline_ms": 5000, "idempotent": false}]
})";

}  // namespace

/** The serving side of a node keeps what the book of claims promises. */
class serving_claims_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(serving_claims_test);
  CPPUNIT_TEST(Call_RefusedBeforeTheTableCame_NeverRunsLater);
  CPPUNIT_TEST(Call_SecondCopy_GetsTheFirstOnesAnswer);
  CPPUNIT_TEST(Call_BrokenOff_TellsTheSameLater);
  CPPUNIT_TEST_SUITE_END();

  scripted_backend backend_{[this](raw_connection& connection, int) {
    if (connection.ReadHead().empty() || breaks_off_) {
      return;
    }
    connection.Write("HTTP/1.1 201 Created\r\nContent-Length: 6\r\n\r\npermit");
  }};
  bool breaks_off_ = false;
  backend_client client_{{.backend = backend_.at()}};
  request_records records_;
  node_metrics metrics_;
  event_log events_;
  node_settings settings_{.instance = "p1",
                          .service = "permit",
                          .failure_domain = "halle-nord",
                          .backend_slots = 4,
                          .backend_connections = 4};
  share_side shares_{settings_, kIncarnation, [](endpoint, std::string) {}};
  serving_side serving_{{.settings = settings_, .incarnation = kIncarnation},
                        client_,
                        shares_,
                        records_,
                        metrics_,
                        events_};

  void UseTable() {
    const auto table = policy_table::Parse(kTable);
    CPPUNIT_ASSERT_MESSAGE(std::string(table.status().message()), table.ok());
    shares_.UseTable(*table->FindShard("permit"));
    serving_.UseTable(*table->FindShard("permit"));
  }

  static ticket Ticket() { return {{1, 1}, kIncarnation, 1, 5, 6}; }

  reply_message File() {
    absl::Notification came;
    reply_message got;
    incoming_call call;
    call.method = "POST";
    call.target = "/permits";
    call.enters_here = true;
    call.deadline = boot_clock::Now() + std::chrono::seconds(20);
    call.claim = Ticket();
    serving_.Begin(std::move(call), [&](reply_message reply) {
      got = std::move(reply);
      came.Notify();
    });
    came.WaitForNotification();
    return got;
  }

  ask_reply_message Ask() {
    ask_message question;
    question.claim = Ticket();
    return serving_.Ask(question);
  }

 public:
  // A node has just started and has no table yet. It refuses a permit and tells
  // "not run"; a second copy of it, late or sent through another node, comes
  // after the table. If that ran, the farmer who filed anew has two permits.
  void Call_RefusedBeforeTheTableCame_NeverRunsLater() {
    const reply_message refused = File();
    CPPUNIT_ASSERT(refused.end == call_end::kNotRun);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(result_code::kNoTableYet), int{refused.code});
    UseTable();
    CPPUNIT_ASSERT(File().end == call_end::kNotRun);
    CPPUNIT_ASSERT_EQUAL(0, backend_.arrivals());
  }

  void Call_SecondCopy_GetsTheFirstOnesAnswer() {
    UseTable();
    const reply_message first = File();
    const reply_message second = File();
    CPPUNIT_ASSERT(first.end == call_end::kCompleted && second.end == call_end::kCompleted);
    CPPUNIT_ASSERT_EQUAL(first.body, second.body);
    CPPUNIT_ASSERT_EQUAL(1, backend_.arrivals());
  }

  // The backend server breaks off. Whoever asks later, by whatever way, must hear
  // the same as the first caller, and nothing is sent again.
  void Call_BrokenOff_TellsTheSameLater() {
    UseTable();
    breaks_off_ = true;
    const reply_message first = File();
    const reply_message second = File();
    CPPUNIT_ASSERT(first.end == call_end::kUnknown && second.end == call_end::kUnknown);
    CPPUNIT_ASSERT_EQUAL(first.code, second.code);
    CPPUNIT_ASSERT_EQUAL(first.code, Ask().code);
    CPPUNIT_ASSERT_EQUAL(1, backend_.arrivals());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_claims_test);

}  // namespace cuminferry::testing
