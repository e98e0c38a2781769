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

published_target Target(const std::string& id, const std::string& domain) {
  return {.id = id, .backend = {}, .failure_domain = domain, .slots = kSlots};
}

target_report Report(std::uint32_t running, duration service_time) {
  return {.running = running, .waiting = 0, .limit = 23, .service_time = service_time};
}

}  // namespace

class target_picker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(target_picker_test);
  CPPUNIT_TEST(Pick_NoTargets_IsNone);
  CPPUNIT_TEST(Pick_AllTried_IsNone);
  CPPUNIT_TEST(Pick_IdleTargets_StaysInItsFailureDomain);
  CPPUNIT_TEST(Pick_OwnDomainFull_GoesToAnother);
  CPPUNIT_TEST(Pick_LargeBody_StaysUnlessItsDomainIsFull);
  CPPUNIT_TEST(Sizes_OfARow_FollowItsRequests);
  CPPUNIT_TEST(Pick_TargetFailsHalf_GetsLittle);
  CPPUNIT_TEST(IsPassedOver_FailsMoreThanTheBest_ItIs);
  CPPUNIT_TEST(IsPassedOver_AllFailAlike_NoneIs);
  CPPUNIT_TEST(Pick_Unreachable_RestsThenIsTriedByOneRequest);
  CPPUNIT_TEST(Pick_AllResting_IsStillTried);
  CPPUNIT_TEST(Pick_Stopping_NotBesideFreeSlots);
  CPPUNIT_TEST(Pick_StoppingBesideFullOnes_ItsSlotsAreUsed);
  CPPUNIT_TEST(Pick_OldReport_CountsAsUnknown);
  CPPUNIT_TEST(Pick_FastTargetFull_SlotsOfTheSlowOneAreFilled);
  CPPUNIT_TEST(Pick_UrgentRequest_TakesTheFastTarget);
  CPPUNIT_TEST(Pick_LoadNearAllSlots_NoQueueBesideFreeSlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Pick_NoTargets_IsNone() {
    target_picker picker;
    CPPUNIT_ASSERT(!Pick(picker, {}, kStart));
  }

  void Pick_AllTried_IsNone() {
    target_picker picker;
    picker.SetTargets({Target("x", "a")});
    CPPUNIT_ASSERT(!Pick(picker, {"x"}, kStart));
  }

  void Pick_IdleTargets_StaysInItsFailureDomain() {
    target_picker picker = Two(Report(2, milliseconds(20)), Report(2, milliseconds(20)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "near"));
  }

  void Pick_OwnDomainFull_GoesToAnother() {
    target_picker picker = Two(Report(23, milliseconds(20)), Report(2, milliseconds(20)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "far"));
  }

  // Season uploads go to whatever server is a little less busy, three in four to another failure
  // domain, and fill the links between them that readings need.
  void Pick_LargeBody_StaysUnlessItsDomainIsFull() {
    constexpr double kUpload = 60'000.0;
    target_picker picker = Two(Report(12, milliseconds(100)), Report(2, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "near", kUpload));
    target_report full = Report(23, milliseconds(100));
    full.waiting = 20;
    picker = Two(full, Report(2, milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "far", kUpload));
  }

  void Sizes_OfARow_FollowItsRequests() {
    body_sizes sizes;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, sizes.MeanOf("upload"), 1e-9);
    sizes.OnAnswered("upload", 60'000.0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60'000.0, sizes.MeanOf("upload"), 1e-9);
    for (int i = 0; i < 400; ++i) {
      sizes.OnAnswered("upload", 20'000.0);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20'000.0, sizes.MeanOf("upload"), 100.0);
  }

  // A backend server that is ill turns half of its requests away and is quick about it, and its
  // health check is good. By its queue alone it looks the best and would draw all requests.
  void Pick_TargetFailsHalf_GetsLittle() {
    target_report ill = Report(0, milliseconds(2));
    ill.success = 0.5;
    target_picker picker = Two(ill, Report(12, milliseconds(20)));
    CPPUNIT_ASSERT(Picks(picker, "far") >= 90);
  }

  // One of two targets loses a third of its answers. Few requests go there, its slots are free, and
  // it says so: entries that believed it let in twice what the other could carry.
  void IsPassedOver_FailsMoreThanTheBest_ItIs() {
    target_report ill = Report(0, milliseconds(20));
    ill.success = 0.7;
    const target_picker picker = Two(ill, Report(23, milliseconds(20)));
    CPPUNIT_ASSERT(picker.IsPassedOver("near", kStart));
    CPPUNIT_ASSERT(!picker.IsPassedOver("far", kStart));
    CPPUNIT_ASSERT(!picker.IsPassedOver("near", kStart + seconds(3)));
  }

  void IsPassedOver_AllFailAlike_NoneIs() {
    target_report ill = Report(0, milliseconds(20));
    ill.success = 0.45;
    target_report as_ill = ill;
    as_ill.success = 0.42;
    const target_picker picker = Two(ill, as_ill);
    CPPUNIT_ASSERT(!picker.IsPassedOver("near", kStart));
    CPPUNIT_ASSERT(!picker.IsPassedOver("far", kStart));
  }

  // An instance loses power and is still listed. Each request that is sent there waits for a
  // connection that never comes about.
  void Pick_Unreachable_RestsThenIsTriedByOneRequest() {
    target_picker picker = Two(Report(0, milliseconds(20)), Report(0, milliseconds(20)));
    picker.OnUnreachable("near", kStart);
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "far"));
    const instant later = kStart + target_picker::kFirstRest + milliseconds(1);
    int tried = 0;
    for (int i = 0; i < 20; ++i) {
      tried += Pick(picker, {}, later)->id == "near" ? 1 : 0;
    }
    CPPUNIT_ASSERT(tried <= 1);
  }

  void Pick_AllResting_IsStillTried() {
    target_picker picker;
    picker.SetTargets({Target("x", "a")});
    picker.OnUnreachable("x", kStart);
    CPPUNIT_ASSERT(Pick(picker, {}, kStart).has_value());
  }

  // Both nodes of a service get SIGTERM at the same time while their backend servers go on. With
  // no other target, requests served until the end would be refused for seconds.
  void Pick_Stopping_NotBesideFreeSlots() {
    target_report stopping = Report(0, milliseconds(20));
    stopping.stopping = true;
    target_picker picker = Two(stopping, Report(8, milliseconds(20)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "far"));
    CPPUNIT_ASSERT_EQUAL(std::string("near"), Pick(picker, {"far"}, kStart)->id);
  }

  // Two of four nodes of the leaf service are restarted in turn and serve on for seconds. Passed
  // over altogether, their slots stay empty while the other two have 300 waiting and browsing is
  // refused.
  void Pick_StoppingBesideFullOnes_ItsSlotsAreUsed() {
    target_report stopping = Report(8, milliseconds(40));
    stopping.stopping = true;
    target_report full = Report(23, milliseconds(40));
    full.waiting = 20;
    target_picker picker = Two(stopping, full);
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "near"));
  }

  void Pick_OldReport_CountsAsUnknown() {
    target_picker picker = Two(Report(23, milliseconds(90)), Report(23, milliseconds(90)));
    const instant later = kStart + target_picker::kReportAge + seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("near"), Pick(picker, {}, later)->id);
  }

  // One target is twice as fast as the other. Where each request went for the least time, 280
  // stood before the fast one while the slow one had slots free, and maps were refused.
  void Pick_FastTargetFull_SlotsOfTheSlowOneAreFilled() {
    target_picker picker = Two(Report(23, milliseconds(28)), Report(12, milliseconds(65)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "far"));
  }

  void Pick_UrgentRequest_TakesTheFastTarget() {
    target_picker picker;
    picker.SetTargets({Target("slow", "a"), Target("fast", "a")});
    picker.OnReport("slow", Report(8, milliseconds(65)), kStart);
    picker.OnReport("fast", Report(14, milliseconds(28)), kStart);
    CPPUNIT_ASSERT_EQUAL(std::string("fast"), Pick(picker, {}, kStart, true)->id);
  }

  // Four targets of uneven speed at nine tenths of what they can do together, each request told
  // at once of what it met.
  void Pick_LoadNearAllSlots_NoQueueBesideFreeSlots() {
    const std::vector<duration> service = {milliseconds(24), milliseconds(40), milliseconds(40),
                                           milliseconds(66)};
    target_picker picker;
    std::vector<published_target> targets;
    for (std::size_t i = 0; i < service.size(); ++i) {
      targets.push_back(Target(std::to_string(i), std::to_string(i)));
    }
    picker.SetTargets(targets);
    std::vector<std::vector<instant>> ends(service.size());
    double capacity = 0.0;
    for (const duration each : service) {
      capacity += 23.0 / static_cast<double>(each.count());
    }
    instant now = kStart;
    int queued_beside_free = 0;
    for (int step = 0; step < 20'000; ++step) {
      now += duration(static_cast<duration::rep>(1.0 / (0.9 * capacity)));
      for (std::size_t i = 0; i < ends.size(); ++i) {
        std::erase_if(ends[i], [&](instant end) { return end <= now; });
        const auto running = static_cast<std::uint32_t>(std::min<std::size_t>(23, ends[i].size()));
        target_report report = Report(running, service[i]);
        report.waiting = static_cast<std::uint32_t>(ends[i].size()) - running;
        picker.OnReport(std::to_string(i), report, now);
      }
      const auto chosen = static_cast<std::size_t>(std::stoi(Pick(picker, {}, now)->id));
      const bool free_elsewhere =
          std::any_of(ends.begin(), ends.end(), [](const auto& at) { return at.size() < 18; });
      queued_beside_free += ends[chosen].size() >= 23 && free_elsewhere ? 1 : 0;
      const instant begin = ends[chosen].size() < 23 ? now : ends[chosen][ends[chosen].size() - 23];
      ends[chosen].push_back(begin + service[chosen]);
    }
    CPPUNIT_ASSERT(queued_beside_free < 200);
  }

 private:
  // "near" in failure domain a, from which requests are sent, and "far" in b.
  static target_picker Two(const target_report& near, const target_report& far) {
    target_picker picker;
    picker.SetTargets({Target("near", "a"), Target("far", "b")});
    picker.OnReport("near", near, kStart);
    picker.OnReport("far", far, kStart);
    return picker;
  }

  std::optional<published_target> Pick(target_picker& picker, const std::set<std::string>& tried,
                                       instant now, bool urgent = false, double bytes = 0.0) {
    return picker.Pick({.tried = tried, .own_domain = "a", .urgent = urgent, .bytes = bytes}, now,
                       random_);
  }

  // How many of 100 picks fall on this target.
  int Picks(target_picker& picker, const std::string& id, double bytes = 0.0) {
    int picks = 0;
    for (int i = 0; i < 100; ++i) {
      picks += Pick(picker, {}, kStart, false, bytes)->id == id ? 1 : 0;
    }
    return picks;
  }

  random_source random_{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_picker_test);

}  // namespace cuminferry::testing
