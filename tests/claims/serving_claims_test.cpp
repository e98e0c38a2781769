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

/** Tests that the serving side of a node preserves the guarantees of the claim registry. */
class serving_claims_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(serving_claims_test);
  CPPUNIT_TEST(Call_RefusedBeforeTableArrives_NeverRunsLater);
  CPPUNIT_TEST(Call_SecondCopy_GetsFirstAnswer);
  CPPUNIT_TEST(Call_Aborted_ReportsSameOutcomeLater);
  CPPUNIT_TEST_SUITE_END();

  scripted_backend backend_{[this](raw_connection& connection, int) {
    if (connection.ReadHead().empty() || drops_connection_) {
      return;
    }
    connection.Write("HTTP/1.1 201 Created\r\nContent-Length: 6\r\n\r\npermit");
  }};
  bool drops_connection_ = false;
  backend_client client_{{.backend = backend_.address()}};
  running_request_registry records_;
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

  reply_message SendCall() {
    absl::Notification replied;
    reply_message received;
    incoming_call call;
    call.method = "POST";
    call.target = "/permits";
    call.is_ingress = true;
    call.deadline = boot_clock::Now() + std::chrono::seconds(20);
    call.claim = Ticket();
    serving_.Begin(std::move(call), [&](reply_message reply) {
      received = std::move(reply);
      replied.Notify();
    });
    replied.WaitForNotification();
    return received;
  }

  query_reply_message Query() {
    query_message query;
    query.claim = Ticket();
    return serving_.Query(query);
  }

 public:
  // A node has no policy table yet; it refuses a call and reports `not_run`. A second copy, late or
  // sent through another node, arrives after the table. If it ran, a caller that sent the call with
  // another ticket would have it run twice.
  void Call_RefusedBeforeTableArrives_NeverRunsLater() {
    const reply_message refused = SendCall();
    CPPUNIT_ASSERT(refused.outcome == call_outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(result_code::kNoTableYet), int{refused.code});
    UseTable();
    CPPUNIT_ASSERT(SendCall().outcome == call_outcome::kNotRun);
    CPPUNIT_ASSERT_EQUAL(0, backend_.request_count());
  }

  void Call_SecondCopy_GetsFirstAnswer() {
    UseTable();
    const reply_message first = SendCall();
    const reply_message second = SendCall();
    CPPUNIT_ASSERT(first.outcome == call_outcome::kCompleted &&
                   second.outcome == call_outcome::kCompleted);
    CPPUNIT_ASSERT_EQUAL(first.body, second.body);
    CPPUNIT_ASSERT_EQUAL(1, backend_.request_count());
  }

  // The backend server closes the connection without an answer. Later queries and copies must
  // receive the same outcome as the first call, and nothing is sent to the backend server again.
  void Call_Aborted_ReportsSameOutcomeLater() {
    UseTable();
    drops_connection_ = true;
    const reply_message first = SendCall();
    const reply_message second = SendCall();
    CPPUNIT_ASSERT(first.outcome == call_outcome::kUnknown &&
                   second.outcome == call_outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(first.code, second.code);
    CPPUNIT_ASSERT_EQUAL(first.code, Query().code);
    CPPUNIT_ASSERT_EQUAL(1, backend_.request_count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_claims_test);

}  // namespace cuminferry::testing
