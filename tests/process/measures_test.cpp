#include "trial/measures.h"

#include "support/property.h"

namespace cuminferry {
namespace {

using load::load_outcome;
using load::load_plan;
using load::load_result;
using load::request_record;
using std::chrono::milliseconds;
using std::chrono::seconds;
using trial::journal_contents;
using trial::journal_entry;
using trial::trial_measures;

constexpr int kArrivalsPerSecond = 20;
constexpr int kBeforeSeconds = 2;
constexpr int kSurgeSeconds = 2;
constexpr int kAfterSeconds = 4;

trial::deployment_plan MakePlan() {
  trial::deployment_plan plan;
  plan.table = *policy_table::Parse(R"({"version": 1, "services": [{"name": "permit", "domains":
      [{"failure_domain": "halle-nord", "targets": 1}], "slots": 10, "connections": 20}],
      "rows": [{"name": "file", "service": "permit", "method": "POST", "path": "/permits",
      "weight": 9, "deadline_ms": 1000, "idempotent": false, "retry_allowance": 1}]})");
  plan.bottleneck = "permit";
  stand_ins::request_kind kind{.method = "POST", .path = "/permits"};
  kind.service_time = milliseconds(100);
  plan.services = {{"permit", milliseconds(0), {kind}}};
  plan.kinds = {{.row = "file",
                 .weight = 9,
                 .service = "permit",
                 .method = "POST",
                 .path = "/permits",
                 .idempotent = false,
                 .deadline = milliseconds(1000)}};
  return plan;
}

load_plan MakeLoad() {
  load_plan load;
  load.kinds = MakePlan().kinds;
  load.phases = {{"before", seconds(kBeforeSeconds), kArrivalsPerSecond},
                 {"surge", seconds(kSurgeSeconds), kArrivalsPerSecond},
                 {"after", seconds(kAfterSeconds), kArrivalsPerSecond}};
  return load;
}

// One request arrives every 1/20 s. The hook sets its outcome.
load_result MakeResult(const std::function<void(request_record&)>& end) {
  load_result result;
  result.phase_starts = {seconds(0), seconds(kBeforeSeconds),
                         seconds(kBeforeSeconds + kSurgeSeconds),
                         seconds(kBeforeSeconds + kSurgeSeconds + kAfterSeconds)};
  const int count = kArrivalsPerSecond * (kBeforeSeconds + kSurgeSeconds + kAfterSeconds);
  for (int number = 0; number < count; ++number) {
    request_record record;
    record.number = static_cast<std::uint64_t>(number);
    record.arrived = milliseconds(number * 1000 / kArrivalsPerSecond);
    const int second = number / kArrivalsPerSecond;
    record.phase = second < kBeforeSeconds ? 0 : second < kBeforeSeconds + kSurgeSeconds ? 1 : 2;
    record.outcome = load_outcome::kSucceeded;
    record.ended = record.arrived + milliseconds(100);
    end(record);
    record.attempts = {
        {record.arrived, record.ended, record.outcome, result_code::kRefusedOverload}};
    result.requests.push_back(record);
  }
  return result;
}

trial_measures Measured(const load_result& result, const journal_contents& journal = {}) {
  return trial::Measure(MakePlan(), MakeLoad(), result, journal, {100.0, 110.0});
}

journal_entry MakeEntry(const std::string& request, bool is_effect) {
  return {"permit", request, 0, is_effect, true, milliseconds(100), duration(0)};
}

}  // namespace

class measures_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(measures_test);
  CPPUNIT_TEST(Recovery_RefusedUntilOneSecondAfterTheSurge_IsThatSecond);
  CPPUNIT_TEST(Recovery_AnsweredLate_IsNotReported);
  CPPUNIT_TEST(Goodput_AnswersBeyondTheDeadline_AreLeftOut);
  CPPUNIT_TEST(Permit_WithTwoEffects_IsADouble);
  CPPUNIT_TEST(Attempt_ReportedNotRunThatRan_IsFalse);
  CPPUNIT_TEST(Work_ForRequestsThatFailed_IsWasted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Recovery_RefusedUntilOneSecondAfterTheSurge_IsThatSecond() {
    const trial_measures measures = Measured(MakeResult([](request_record& record) {
      const bool refused = record.arrived >= seconds(2) && record.arrived < seconds(5);
      record.outcome = refused ? load_outcome::kNotRun : load_outcome::kSucceeded;
    }));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, measures.recovery_seconds, 0.11);
  }

  // After the surge, every request is answered, but late: the overload persists. A measure that
  // only counts answers would report a recovery.
  void Recovery_AnsweredLate_IsNotReported() {
    const trial_measures measures = Measured(MakeResult([](request_record& record) {
      if (record.arrived >= seconds(2)) {
        record.ended = record.arrived + milliseconds(900);
      }
    }));
    CPPUNIT_ASSERT(measures.recovery_seconds < 0);
  }

  void Goodput_AnswersBeyondTheDeadline_AreLeftOut() {
    const trial_measures measures = Measured(MakeResult([](request_record& record) {
      if (record.phase == 1) {
        record.ended = record.arrived + milliseconds(1500);
      }
    }));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kArrivalsPerSecond, measures.rows[0].goodput(), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, measures.rows[1].goodput(), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, measures.rows[1].completed_share(), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, measures.capacity, 0.01);
  }

  // Two instances run the same permit, so it takes effect twice.
  void Permit_WithTwoEffects_IsADouble() {
    const journal_contents journal{
        {MakeEntry("w3", true), MakeEntry("w3", true), MakeEntry("w4", true)}, 0};
    const trial_measures measures = Measured(MakeResult([](request_record&) {}), journal);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), measures.doubles);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), measures.false_not_run);
  }

  // The caller gets the outcome "not run" for a permit that took effect. It would file the permit
  // again, so that it takes effect twice.
  void Attempt_ReportedNotRunThatRan_IsFalse() {
    const journal_contents journal{{MakeEntry("w3", true), MakeEntry("w3", false)}, 0};
    const trial_measures measures = Measured(
        MakeResult([](request_record& record) {
          record.outcome = record.number == 3 ? load_outcome::kNotRun : load_outcome::kSucceeded;
        }),
        journal);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), measures.false_not_run);
  }

  void Work_ForRequestsThatFailed_IsWasted() {
    const journal_contents journal{{MakeEntry("w3", false), MakeEntry("w4", false)}, 0};
    const trial_measures measures = Measured(
        MakeResult([](request_record& record) {
          record.outcome = record.number == 3 ? load_outcome::kUnknown : load_outcome::kSucceeded;
        }),
        journal);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, measures.wasted_share, 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, measures.run_amplification, 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.1, measures.call_amplification, 0.001);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(measures_test);

}  // namespace cuminferry
