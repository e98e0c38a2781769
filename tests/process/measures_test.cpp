#include "trial/measures.h"

#include "support/property.h"

namespace cuminferry {
namespace {

using load::end_kind;
using load::load_plan;
using load::load_result;
using load::request_record;
using std::chrono::milliseconds;
using std::chrono::seconds;
using trial::journal_entry;
using trial::journal_text;
using trial::trial_measures;

constexpr int kArrivalsASecond = 20;
constexpr int kSecondsBefore = 2;
constexpr int kSecondsSurge = 2;
constexpr int kSecondsAfter = 4;

trial::deployment_plan Plan() {
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

load_plan Load() {
  load_plan load;
  load.kinds = Plan().kinds;
  load.phases = {{"before", seconds(kSecondsBefore), kArrivalsASecond},
                 {"surge", seconds(kSecondsSurge), kArrivalsASecond},
                 {"after", seconds(kSecondsAfter), kArrivalsASecond}};
  return load;
}

// One arrival each twentieth of a second; the hook says how it ended.
load_result Result(const std::function<void(request_record&)>& end) {
  load_result result;
  result.phase_starts = {seconds(0), seconds(kSecondsBefore),
                         seconds(kSecondsBefore + kSecondsSurge),
                         seconds(kSecondsBefore + kSecondsSurge + kSecondsAfter)};
  const int count = kArrivalsASecond * (kSecondsBefore + kSecondsSurge + kSecondsAfter);
  for (int number = 0; number < count; ++number) {
    request_record record;
    record.number = static_cast<std::uint64_t>(number);
    record.arrived = milliseconds(number * 1000 / kArrivalsASecond);
    const int second = number / kArrivalsASecond;
    record.phase = second < kSecondsBefore ? 0 : second < kSecondsBefore + kSecondsSurge ? 1 : 2;
    record.end = end_kind::kWell;
    record.ended = record.arrived + milliseconds(100);
    end(record);
    record.attempts = {{record.arrived, record.ended, record.end, result_code::kRefusedOverload}};
    result.requests.push_back(record);
  }
  return result;
}

trial_measures Measured(const load_result& result, const journal_text& journal = {}) {
  return trial::Measure(Plan(), Load(), result, journal, {100.0, 110.0});
}

journal_entry Entry(const std::string& request, bool is_effect) {
  return {"permit", request, 0, is_effect, true, milliseconds(100), duration(0)};
}

}  // namespace

class measures_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(measures_test);
  CPPUNIT_TEST(Recovery_RefusedUntilOneSecondAfterTheSurge_IsThatSecond);
  CPPUNIT_TEST(Recovery_AnsweredButSlowly_HasNotCome);
  CPPUNIT_TEST(Goodput_AnswersBeyondTheDeadline_AreLeftOut);
  CPPUNIT_TEST(Filing_WithTwoEffects_IsADouble);
  CPPUNIT_TEST(Attempt_ToldNotRunThatRan_IsFalse);
  CPPUNIT_TEST(Work_ForRequestsThatFailed_IsWasted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Recovery_RefusedUntilOneSecondAfterTheSurge_IsThatSecond() {
    const trial_measures measures = Measured(Result([](request_record& record) {
      const bool refused = record.arrived >= seconds(2) && record.arrived < seconds(5);
      record.end = refused ? end_kind::kNotRun : end_kind::kWell;
    }));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, measures.recovery_seconds, 0.11);
  }

  // After the surge every caller is answered, after long waits: an overload that
  // lasts. A measure that counts answers alone would call this recovered.
  void Recovery_AnsweredButSlowly_HasNotCome() {
    const trial_measures measures = Measured(Result([](request_record& record) {
      if (record.arrived >= seconds(2)) {
        record.ended = record.arrived + milliseconds(900);
      }
    }));
    CPPUNIT_ASSERT(measures.recovery_seconds < 0);
  }

  void Goodput_AnswersBeyondTheDeadline_AreLeftOut() {
    const trial_measures measures = Measured(Result([](request_record& record) {
      if (record.phase == 1) {
        record.ended = record.arrived + milliseconds(1500);
      }
    }));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kArrivalsASecond, measures.rows[0].goodput(), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, measures.rows[1].goodput(), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, measures.rows[1].share_well(), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, measures.capacity, 0.01);
  }

  // A permit is filed by two instances. The Landratsamt sees a double draw.
  void Filing_WithTwoEffects_IsADouble() {
    const journal_text journal{{Entry("w3", true), Entry("w3", true), Entry("w4", true)}, 0};
    const trial_measures measures = Measured(Result([](request_record&) {}), journal);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), measures.doubles);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), measures.false_not_run);
  }

  // The farmer is told that nothing was filed, files again, and has two permits.
  void Attempt_ToldNotRunThatRan_IsFalse() {
    const journal_text journal{{Entry("w3", true), Entry("w3", false)}, 0};
    const trial_measures measures =
        Measured(Result([](request_record& record) {
                   record.end = record.number == 3 ? end_kind::kNotRun : end_kind::kWell;
                 }),
                 journal);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), measures.false_not_run);
  }

  void Work_ForRequestsThatFailed_IsWasted() {
    const journal_text journal{{Entry("w3", false), Entry("w4", false)}, 0};
    const trial_measures measures =
        Measured(Result([](request_record& record) {
                   record.end = record.number == 3 ? end_kind::kUnknown : end_kind::kWell;
                 }),
                 journal);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, measures.wasted_share, 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, measures.run_amplification, 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.1, measures.call_amplification, 0.001);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(measures_test);

}  // namespace cuminferry
