#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
constexpr std::uint32_t kSlots = 25;

published_target MakeTarget(const std::string& id, const std::string& domain) {
  return {.id = id, .backend = {}, .failure_domain = domain, .slots = kSlots};
}

target_report MakeReport(std::uint32_t running, duration service_time) {
  return {.running = running, .waiting = 0, .limit = 23, .service_time = service_time};
}

}  // namespace

class target_picker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_picker_test);
  CPPUNIT_TEST(Pick_NoTargets_IsNone);
  CPPUNIT_TEST(Pick_AllTried_IsNone);
  CPPUNIT_TEST(Pick_IdleTargets_StaysInItsFailureDomain);
  CPPUNIT_TEST(Pick_ManyIdleTargets_StaysInItsFailureDomain);
  CPPUNIT_TEST(Pick_ManyTargetsOwnDomainFull_GoesToAnother);
  CPPUNIT_TEST(Pick_OwnDomainFull_GoesToAnother);
  CPPUNIT_TEST(Pick_LargeBody_StaysUnlessItsDomainIsFull);
  CPPUNIT_TEST(BodySizes_OfARow_FollowItsRequests);
  CPPUNIT_TEST(Pick_TargetFailsHalf_GetsFewRequests);
  CPPUNIT_TEST(IsOutlier_FailsMoreThanTheBest_IsTrue);
  CPPUNIT_TEST(IsOutlier_AllFailAlike_IsFalse);
  CPPUNIT_TEST(Pick_Unreachable_IsAvoidedThenTestedByOneRequest);
  CPPUNIT_TEST(Pick_AllBackingOff_IsStillPicked);
  CPPUNIT_TEST(Pick_OneTargetStopping_OthersFreeSlotsAreUsed);
  CPPUNIT_TEST(Pick_OneTargetStoppingOthersFull_ItsSlotsAreUsed);
  CPPUNIT_TEST(Pick_OldReport_IsIgnored);
  CPPUNIT_TEST(Pick_FastTargetFull_SlotsOfTheSlowOneAreFilled);
  CPPUNIT_TEST(Pick_UrgentRequest_TakesTheFastTarget);
  CPPUNIT_TEST(Pick_LoadNearAllSlots_NoQueueWhileSlotsAreFree);
  CPPUNIT_TEST(SetTarget_RestartedUnderItsId_EarlierRunIsForgotten);
  CPPUNIT_TEST(SetTarget_Changed_ItsReportsStay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Pick_NoTargets_IsNone() {
    target_picker picker;
    CPPUNIT_ASSERT(!Pick(picker, {}, kStart));
  }

  void Pick_AllTried_IsNone() {
    target_picker picker;
    picker.SetTargets({MakeTarget("x", "a")});
    CPPUNIT_ASSERT(!Pick(picker, {"x"}, kStart));
  }

  void Pick_IdleTargets_StaysInItsFailureDomain() {
    target_picker picker =
        NearAndFar(MakeReport(2, milliseconds(20)), MakeReport(2, milliseconds(20)));
    CPPUNIT_ASSERT_EQUAL(100, CountPicks(picker, "near"));
  }

  // Guards against a third of the requests crossing between failure domains, because no target of
  // their own is among the few that are compared.
  void Pick_ManyIdleTargets_StaysInItsFailureDomain() {
    target_picker picker = ThirtyTargets(2);
    for (int i = 0; i < 1'000; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("a"), Pick(picker, {}, kStart)->failure_domain);
    }
  }

  void Pick_ManyTargetsOwnDomainFull_GoesToAnother() {
    target_picker picker = ThirtyTargets(23);
    std::set<std::string> domains;
    for (int i = 0; i < 1'000; ++i) {
      domains.insert(Pick(picker, {}, kStart)->failure_domain);
    }
    CPPUNIT_ASSERT(domains == (std::set<std::string>{"b", "c", "d", "e", "f"}));
  }

  void Pick_OwnDomainFull_GoesToAnother() {
    target_picker picker =
        NearAndFar(MakeReport(23, milliseconds(20)), MakeReport(2, milliseconds(20)));
    CPPUNIT_ASSERT_EQUAL(100, CountPicks(picker, "far"));
  }

  // Large uploads go to any backend server that is slightly less busy, three in four of them to
  // another failure domain, and fill the links between failure domains that other requests need.
  void Pick_LargeBody_StaysUnlessItsDomainIsFull() {
    constexpr double kUpload = 60'000.0;
    target_picker picker =
        NearAndFar(MakeReport(12, milliseconds(100)), MakeReport(2, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(100, CountPicks(picker, "near", kUpload));
    target_report full = MakeReport(23, milliseconds(100));
    full.waiting = 20;
    picker = NearAndFar(full, MakeReport(2, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(100, CountPicks(picker, "far", kUpload));
  }

  void BodySizes_OfARow_FollowItsRequests() {
    body_sizes sizes;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, sizes.MeanOf("upload"), 1e-9);
    sizes.OnAnswered("upload", 60'000.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60'000.0, sizes.MeanOf("upload"), 1e-9);
    for (int i = 0; i < 400; ++i) {
      sizes.OnAnswered("upload", 20'000.0);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20'000.0, sizes.MeanOf("upload"), 100.0);
  }

  // A faulty backend server quickly rejects half of its requests while its health check succeeds.
  // By its queue alone it looks the best and would attract all requests.
  void Pick_TargetFailsHalf_GetsFewRequests() {
    target_report failing = MakeReport(0, milliseconds(2));
    failing.success_ratio = 0.5;
    target_picker picker = NearAndFar(failing, MakeReport(12, milliseconds(20)));
    CPPUNIT_ASSERT(CountPicks(picker, "far") >= 90);
  }

  // One of two targets fails a third of its requests. It gets few requests, so its slots are free
  // and it reports this: ingress nodes that relied on the report admitted twice what the other
  // target could carry.
  void IsOutlier_FailsMoreThanTheBest_IsTrue() {
    target_report failing = MakeReport(0, milliseconds(20));
    failing.success_ratio = 0.7;
    target_picker picker = NearAndFar(failing, MakeReport(23, milliseconds(20)));
    CPPUNIT_ASSERT(picker.IsOutlier("near", kStart));
    CPPUNIT_ASSERT(!picker.IsOutlier("far", kStart));
    CPPUNIT_ASSERT(!picker.IsOutlier("near", kStart + seconds(3)));
  }

  void IsOutlier_AllFailAlike_IsFalse() {
    target_report failing = MakeReport(0, milliseconds(20));
    failing.success_ratio = 0.45;
    target_report also_failing = failing;
    also_failing.success_ratio = 0.42;
    target_picker picker = NearAndFar(failing, also_failing);
    CPPUNIT_ASSERT(!picker.IsOutlier("near", kStart));
    CPPUNIT_ASSERT(!picker.IsOutlier("far", kStart));
  }

  // An instance loses power and is still listed. Each request sent there waits for a connection
  // that is never established.
  void Pick_Unreachable_IsAvoidedThenTestedByOneRequest() {
    target_picker picker =
        NearAndFar(MakeReport(0, milliseconds(20)), MakeReport(0, milliseconds(20)));
    picker.OnUnreachable("near", kStart);
    CPPUNIT_ASSERT_EQUAL(100, CountPicks(picker, "far"));
    const instant later = kStart + target_picker::kFirstBackoff + milliseconds(1);
    int tried = 0;
    for (int i = 0; i < 20; ++i) {
      tried += Pick(picker, {}, later)->id == "near" ? 1 : 0;
    }
    CPPUNIT_ASSERT(tried <= 1);
  }

  void Pick_AllBackingOff_IsStillPicked() {
    target_picker picker;
    picker.SetTargets({MakeTarget("x", "a")});
    picker.OnUnreachable("x", kStart);
    CPPUNIT_ASSERT(Pick(picker, {}, kStart).has_value());
  }

  // Both nodes of a service get SIGTERM at the same time while their backend servers continue. With
  // no other target, requests that could be served until the stop would be refused for seconds.
  void Pick_OneTargetStopping_OthersFreeSlotsAreUsed() {
    target_report stopping = MakeReport(0, milliseconds(20));
    stopping.stopping = true;
    target_picker picker = NearAndFar(stopping, MakeReport(8, milliseconds(20)));
    CPPUNIT_ASSERT_EQUAL(100, CountPicks(picker, "far"));
    CPPUNIT_ASSERT_EQUAL(std::string("near"), Pick(picker, {"far"}, kStart)->id);
  }

  // Two of four nodes of the leaf service are restarted in turn and continue to serve for seconds.
  // If they got no requests at all, their slots would stay empty while the other two have 300
  // requests waiting and low-priority requests are refused.
  void Pick_OneTargetStoppingOthersFull_ItsSlotsAreUsed() {
    target_report stopping = MakeReport(8, milliseconds(40));
    stopping.stopping = true;
    target_report full = MakeReport(23, milliseconds(40));
    full.waiting = 20;
    target_picker picker = NearAndFar(stopping, full);
    CPPUNIT_ASSERT_EQUAL(100, CountPicks(picker, "near"));
  }

  void Pick_OldReport_IsIgnored() {
    target_picker picker =
        NearAndFar(MakeReport(23, milliseconds(90)), MakeReport(23, milliseconds(90)));
    const instant later = kStart + target_picker::kMaxReportAge + seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("near"), Pick(picker, {}, later)->id);
  }

  // One target is twice as fast as the other. When each request went to the target with the least
  // time, 280 requests queued at the fast one while the slow one had free slots, and requests were
  // refused.
  void Pick_FastTargetFull_SlotsOfTheSlowOneAreFilled() {
    target_picker picker =
        NearAndFar(MakeReport(23, milliseconds(28)), MakeReport(12, milliseconds(65)));
    CPPUNIT_ASSERT_EQUAL(100, CountPicks(picker, "far"));
  }

  void Pick_UrgentRequest_TakesTheFastTarget() {
    target_picker picker;
    picker.SetTargets({MakeTarget("slow", "a"), MakeTarget("fast", "a")});
    picker.OnReport("slow", MakeReport(8, milliseconds(65)), kStart);
    picker.OnReport("fast", MakeReport(14, milliseconds(28)), kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("fast"), Pick(picker, {}, kStart, true)->id);
  }

  // Four targets of uneven speed run at nine tenths of their total capacity. Each request gets a
  // report of the load that it met at once.
  void Pick_LoadNearAllSlots_NoQueueWhileSlotsAreFree() {
    const std::vector<duration> service = {milliseconds(24), milliseconds(40), milliseconds(40),
                                           milliseconds(66)};
    target_picker picker;
    std::vector<published_target> targets;
    for (std::size_t i = 0; i < service.size(); ++i) {
      targets.push_back(MakeTarget(std::to_string(i), std::to_string(i)));
    }
    picker.SetTargets(targets);
    std::vector<std::vector<instant>> finish_times(service.size());
    double capacity = 0.0;
    for (const duration each : service) {
      capacity += 23.0 / static_cast<double>(each.count());
    }
    instant now = kStart;
    int queued_while_others_free = 0;
    for (int step = 0; step < 20'000; ++step) {
      now += duration(static_cast<duration::rep>(1.0 / (0.9 * capacity)));
      for (std::size_t i = 0; i < finish_times.size(); ++i) {
        std::erase_if(finish_times[i], [&](instant end) { return end <= now; });
        const auto running =
            static_cast<std::uint32_t>(std::min<std::size_t>(23, finish_times[i].size()));
        target_report report = MakeReport(running, service[i]);
        report.waiting = static_cast<std::uint32_t>(finish_times[i].size()) - running;
        picker.OnReport(std::to_string(i), report, now);
      }
      const auto chosen = static_cast<std::size_t>(std::stoi(Pick(picker, {}, now)->id));
      const bool free_elsewhere = std::any_of(finish_times.begin(), finish_times.end(),
                                              [](const auto& at) { return at.size() < 18; });
      queued_while_others_free += finish_times[chosen].size() >= 23 && free_elsewhere ? 1 : 0;
      const instant begin = finish_times[chosen].size() < 23
                                ? now
                                : finish_times[chosen][finish_times[chosen].size() - 23];
      finish_times[chosen].push_back(begin + service[chosen]);
    }
    CPPUNIT_ASSERT(queued_while_others_free < 200);
  }

  // Guards against a new run being avoided for the failures of the one before, which had the same
  // id.
  void SetTarget_RestartedUnderItsId_EarlierRunIsForgotten() {
    target_picker picker;
    published_target target = MakeTarget("x", "a");
    target.started_millis = 1;
    picker.SetTarget(target);
    picker.SetTarget(MakeTarget("y", "a"));
    picker.OnUnreachable("x", kStart);
    CPPUNIT_ASSERT(picker.IsReachabilityUncertain("x", kStart));
    picker.OnReport("y", MakeReport(kSlots, milliseconds(20)), kStart);
    target.started_millis = 2;
    picker.SetTarget(target);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Pick(picker, {}, kStart)->id);
  }

  void SetTarget_Changed_ItsReportsStay() {
    target_picker picker;
    published_target target = MakeTarget("x", "a");
    picker.SetTarget(target);
    picker.SetTarget(MakeTarget("y", "a"));
    picker.OnUnreachable("x", kStart);
    target.slots = 2 * kSlots;
    picker.SetTarget(target);
    CPPUNIT_ASSERT_EQUAL(std::string("y"), Pick(picker, {}, kStart)->id);
  }

 private:
  // Targets "near" in failure domain a, from which requests are sent, and "far" in b.
  static target_picker NearAndFar(const target_report& near, const target_report& far) {
    target_picker picker;
    picker.SetTargets({MakeTarget("near", "a"), MakeTarget("far", "b")});
    picker.OnReport("near", near, kStart);
    picker.OnReport("far", far, kStart);
    return picker;
  }

  // Five targets in each of the failure domains a to f; those of a, from which requests are sent,
  // run this many requests.
  static target_picker ThirtyTargets(std::uint32_t running_in_own_domain) {
    target_picker picker;
    for (int number = 0; number < 30; ++number) {
      const std::string domain(1, static_cast<char>('a' + number % 6));
      picker.SetTarget(MakeTarget(std::to_string(number), domain));
      picker.OnReport(std::to_string(number),
                      MakeReport(domain == "a" ? running_in_own_domain : 2, milliseconds(20)),
                      kStart);
    }
    return picker;
  }

  std::optional<published_target> Pick(target_picker& picker,
                                       const std::set<std::string>& tried_targets, instant now,
                                       bool urgent = false, double body_bytes = 0.0) {
    const auto picked = picker.Pick({.tried_targets = tried_targets,
                                     .own_domain = "a",
                                     .urgent = urgent,
                                     .body_bytes = body_bytes},
                                    now, random_);
    return picked ? std::optional(picked->target) : std::nullopt;
  }

  // How many of 100 picks return this target.
  int CountPicks(target_picker& picker, const std::string& id, double body_bytes = 0.0) {
    int picks = 0;
    for (int i = 0; i < 100; ++i) {
      picks += Pick(picker, {}, kStart, false, body_bytes)->id == id ? 1 : 0;
    }
    return picks;
  }

  random_source random_{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_picker_test);

}  // namespace cuminferry::testing
