#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);

row_limit Limit(double share, duration cost = milliseconds(100)) {
  return {.share = share, .cost = cost, .service = "leaf"};
}

/** Spreads this number of requests of a row over the last four seconds. */
void SendRequests(ingress_admission& admission, const std::string& row, std::uint32_t priority,
                  int requests) {
  for (int i = 0; i < requests; ++i) {
    admission.OnRequest(row, priority, kStart - seconds(4) + i * seconds(4) / requests);
  }
}

}  // namespace

class ingress_admission_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ingress_admission_test);
  CPPUNIT_TEST(Limit_NoAnswerYet_IsOpen);
  CPPUNIT_TEST(Limit_ManyTargetsAnswerSeldom_FollowsTheLastAnswers);
  CPPUNIT_TEST(Limit_FrequentAnswers_AreAveraged);
  CPPUNIT_TEST(Limit_NoAnswerForLong_Opens);
  CPPUNIT_TEST(Limit_LittleAdmittedAndFewAnswers_StaysLow);
  CPPUNIT_TEST(Limit_ReportedForAnotherRow_CountsForAllRowsOfTheService);
  CPPUNIT_TEST(Limit_AnswerWithoutALimit_IsUnchanged);
  CPPUNIT_TEST(AdmittedShare_RowsOfOneService_MostImportantFirst);
  CPPUNIT_TEST(AdmittedShare_RowsOfOnePriority_IsEqual);
  CPPUNIT_TEST(AdmittedShare_CustomersOfOneRow_MostImportantFirst);
  CPPUNIT_TEST(AdmittedShare_RowOfAnotherService_IsNotLimited);
  CPPUNIT_TEST(AdmittedShare_AllRows_AddsUpToTheLimit);
  CPPUNIT_TEST(Admits_NoLimitKnown_AdmitsAll);
  CPPUNIT_TEST(Admits_NothingLeft_AdmitsTheMinimum);
  CPPUNIT_TEST(ReturnAfter_MoreRefused_LaterAndSpread);
  CPPUNIT_TEST(ReturnAfter_ShortObjective_IsSoon);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Limit_NoAnswerYet_IsOpen() {
    const ingress_admission admission;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, admission.Limit("map", kStart).share, 1e-9);
    CPPUNIT_ASSERT(!admission.ShareInForce("map", kStart));
  }

  // Guards against a limit stored for each target. Forty targets serve a row, and an answer arrives
  // every 70 ms, from each target every three seconds. When the service that all of them call fills
  // up, a node with a limit for each target uses old limits, which rise while no answer confirms
  // them, and farmers' readings, which have few targets, are refused instead.
  void Limit_ManyTargetsAnswerSeldom_FollowsTheLastAnswers() {
    ingress_admission admission;
    instant now = kStart;
    for (int answer = 0; answer < 60; ++answer) {
      admission.OnAnswer("map", Limit(1.0), true, now);
      now += milliseconds(70);
    }
    for (int answer = 0; answer < 10; ++answer) {
      admission.OnAnswer("map", Limit(0.5), true, now);
      now += milliseconds(70);
    }
    CPPUNIT_ASSERT(admission.Limit("map", now).share < 0.57);
  }

  void Limit_FrequentAnswers_AreAveraged() {
    ingress_admission admission;
    instant now = kStart;
    for (int answer = 0; answer < 400; ++answer) {
      admission.OnAnswer("map", Limit(answer % 2 == 0 ? 0.3 : 0.6), true, now);
      now += milliseconds(5);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.45, admission.Limit("map", now).share, 0.03);
  }

  // Guards against a row that stays refused because no answer can report that there is room again.
  void Limit_NoAnswerForLong_Opens() {
    ingress_admission admission;
    admission.OnAnswer("map", Limit(0.3), true, kStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, admission.Limit("map", kStart + milliseconds(400)).share,
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, admission.Limit("map", kStart + seconds(3)).share, 1e-9);
  }

  // Two of three leaf targets are gone, and a twentieth of the load is admitted, so that an ingress
  // node receives an answer every two seconds. With a linear rise of the limit in the meantime, the
  // node admitted most requests, and for ten seconds planners' requests failed after half of their
  // row_load.
  void Limit_LittleAdmittedAndFewAnswers_StaysLow() {
    ingress_admission admission;
    admission.OnAnswer("map", Limit(0.05), true, kStart);
    CPPUNIT_ASSERT(admission.Limit("map", kStart + seconds(2)).share < 0.15);
  }

  // Two of three leaf targets are gone, and so few bookings are admitted that an ingress node
  // receives an answer to one every two seconds, while its own backend server's calls to the leaf
  // service are answered often. With the limit taken from the bookings' answers alone, the node
  // admitted two or three times the permitted load, and the bookings failed halfway.
  void Limit_ReportedForAnotherRow_CountsForAllRowsOfTheService() {
    ingress_admission admission;
    admission.OnAnswer("booking", Limit(0.6), true, kStart);
    for (int answer = 0; answer < 20; ++answer) {
      admission.OnAnswer("roster", Limit(0.1), false, kStart + milliseconds(100) * answer);
    }
    const instant now = kStart + seconds(2);
    CPPUNIT_ASSERT(admission.Limit("booking", now).share < 0.12);
    CPPUNIT_ASSERT(admission.Limit("booking", now).cost == milliseconds(100));
  }

  // A restarted node of a booking server doesn't know yet that bookings call a full service. If
  // that node's answers opened the limit, ingress nodes would admit more bookings than can
  // complete.
  void Limit_AnswerWithoutALimit_IsUnchanged() {
    ingress_admission admission;
    admission.OnAnswer("map", Limit(0.2), true, kStart);
    admission.OnAnswer("map", std::nullopt, true, kStart + milliseconds(100));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.2, admission.Limit("map", kStart + milliseconds(100)).share,
                                 1e-9);
  }

  // Bookings need 20 slots of a service, reads need 20, and the service has 30: all bookings and
  // half of the reads are admitted.
  void AdmittedShare_RowsOfOneService_MostImportantFirst() {
    ingress_admission admission;
    SendRequests(admission, "booking", 0, 400);
    SendRequests(admission, "read", 2, 800);
    admission.OnAnswer("booking", Limit(0.75, milliseconds(200)), true, kStart);
    admission.OnAnswer("read", Limit(0.75, milliseconds(100)), true, kStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, admission.AdmittedShare("booking", 0, kStart), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, admission.AdmittedShare("read", 2, kStart), 0.03);
  }

  // Protection orders and calendar reads have the same priority. Both are refused with the same
  // probability, however few the orders are and whatever each costs.
  void AdmittedShare_RowsOfOnePriority_IsEqual() {
    ingress_admission admission;
    SendRequests(admission, "order", 2, 40);
    SendRequests(admission, "read", 2, 800);
    admission.OnAnswer("order", Limit(0.4, milliseconds(96)), true, kStart);
    admission.OnAnswer("read", Limit(0.4, milliseconds(120)), true, kStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, admission.AdmittedShare("order", 2, kStart), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, admission.AdmittedShare("read", 2, kStart), 1e-9);
  }

  // A water board and a hundred farms read maps of a full service. The board has precedence over
  // the farms, and a farm's permits have precedence over its maps.
  void AdmittedShare_CustomersOfOneRow_MostImportantFirst() {
    const http_route map{.name = "map", .priority = 2};
    const http_route permit{.name = "permit", .priority = 0};
    const customer board{.name = "board", .priority = 0U};
    const customer farm{.name = "farm", .priority = 1U};
    ingress_admission admission;
    SendRequests(admission, "map", RankOf(map, &board), 300);
    SendRequests(admission, "permit", RankOf(permit, &farm), 300);
    SendRequests(admission, "map", RankOf(map, &farm), 600);
    admission.OnAnswer("map", Limit(0.75), true, kStart);
    admission.OnAnswer("permit", Limit(0.75), true, kStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, admission.AdmittedShare("map", RankOf(map, &board), kStart),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        1.0, admission.AdmittedShare("permit", RankOf(permit, &farm), kStart), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, admission.AdmittedShare("map", RankOf(map, &farm), kStart),
                                 0.03);
  }

  void AdmittedShare_RowOfAnotherService_IsNotLimited() {
    ingress_admission admission;
    SendRequests(admission, "upload", 1, 100);
    SendRequests(admission, "read", 2, 800);
    admission.OnAnswer("upload",
                       row_limit{.share = 1.0, .cost = milliseconds(140), .service = "archive"},
                       true, kStart);
    admission.OnAnswer("read", Limit(0.1), true, kStart);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, admission.AdmittedShare("upload", 1, kStart), 1e-9);
  }

  void AdmittedShare_AllRows_AddsUpToTheLimit() {
    CheckProperty(
        "the admitted load is the permitted share of the requested load", [](std::uint64_t seed) {
          random_source random(seed);
          ingress_admission admission;
          const double share = 0.1 + 0.9 * random.Fraction();
          struct row {
            std::string name;
            std::uint32_t priority = 0;
            int requests = 0;
            duration cost{};
          };
          std::vector<row> rows;
          double requested_load = 0.0;
          for (std::size_t i = 0; i < 1 + random.Below(6); ++i) {
            rows.push_back({.name = "row-" + std::to_string(i),
                            .priority = static_cast<std::uint32_t>(random.Below(4)),
                            .requests = static_cast<int>(50 + random.Below(400)),
                            .cost = milliseconds(1 + random.Below(200))});
            const row& added = rows.back();
            SendRequests(admission, added.name, added.priority, added.requests);
            admission.OnAnswer(added.name, Limit(share, added.cost), true, kStart);
            requested_load += added.requests * static_cast<double>(added.cost.count());
          }
          double admitted_load = 0.0;
          double minimum_load = 0.0;
          for (const row& each : rows) {
            const double row_load = each.requests * static_cast<double>(each.cost.count());
            const double admitted_share = admission.AdmittedShare(each.name, each.priority, kStart);
            admitted_load += admitted_share * row_load;
            minimum_load += ingress_admission::kMinAdmittedShare * row_load;
            for (const row& other : rows) {
              RC_ASSERT(other.priority <= each.priority ||
                        admission.AdmittedShare(other.name, other.priority, kStart) <=
                            admitted_share + 1e-9);
            }
          }
          // Rates are moving averages over the last seconds, with an error of a few percent.
          RC_ASSERT(admitted_load >= 0.93 * share * requested_load);
          RC_ASSERT(admitted_load <= 1.07 * share * requested_load + minimum_load);
        });
  }

  void Admits_NoLimitKnown_AdmitsAll() {
    const ingress_admission admission;
    CPPUNIT_ASSERT(admission.Admits("map", 2, 0.99, kStart));
  }

  void Admits_NothingLeft_AdmitsTheMinimum() {
    ingress_admission admission;
    SendRequests(admission, "permit", 0, 400);
    SendRequests(admission, "map", 2, 400);
    admission.OnAnswer("permit", Limit(0.3), true, kStart);
    admission.OnAnswer("map", Limit(0.3), true, kStart);
    CPPUNIT_ASSERT(admission.Admits("map", 2, ingress_admission::kMinAdmittedShare - 0.01, kStart));
    CPPUNIT_ASSERT(
        !admission.Admits("map", 2, ingress_admission::kMinAdmittedShare + 0.01, kStart));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.6, admission.AdmittedShare("permit", 0, kStart), 0.05);
  }

  void ReturnAfter_MoreRefused_LaterAndSpread() {
    const duration objective = milliseconds(1'500);
    ingress_admission admission;
    admission.OnAnswer("map", Limit(0.9), true, kStart);
    const duration mild = admission.RetryAfter("map", 2, objective, 0.5, kStart);
    const duration mild_later = admission.RetryAfter("map", 2, objective, 0.9, kStart);
    ingress_admission full;
    full.OnAnswer("map", Limit(0.1), true, kStart);
    const duration severe = full.RetryAfter("map", 2, objective, 0.5, kStart);
    CPPUNIT_ASSERT(mild < mild_later);
    CPPUNIT_ASSERT(mild < severe);
    CPPUNIT_ASSERT(severe <= milliseconds(900));
  }

  // A protection order is worth its full credit within 300 ms. With a retry delay of half a second,
  // as for a read with an objective of 1,500 ms, the answer was late even where there was room.
  void ReturnAfter_ShortObjective_IsSoon() {
    ingress_admission admission;
    admission.OnAnswer("order", Limit(0.1), true, kStart);
    CPPUNIT_ASSERT(admission.RetryAfter("order", 2, milliseconds(300), 0.99, kStart) <=
                   milliseconds(180));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ingress_admission_test);

}  // namespace cuminferry::testing
