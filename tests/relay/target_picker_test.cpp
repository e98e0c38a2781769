#include <cppunit/extensions/HelperMacros.h>

#include <map>

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
  CPPUNIT_TEST(Pick_TargetFailsHalf_GetsLittle);
  CPPUNIT_TEST(Pick_Unreachable_RestsThenIsTriedByOneRequest);
  CPPUNIT_TEST(Pick_AllResting_IsStillTried);
  CPPUNIT_TEST(Pick_Stopping_OnlyForWantOfAnother);
  CPPUNIT_TEST(Pick_OldReport_CountsAsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Pick_NoTargets_IsNone() {
    target_picker picker;
    CPPUNIT_ASSERT(!picker.Pick({}, "a", kStart, random_));
  }

  void Pick_AllTried_IsNone() {
    target_picker picker;
    picker.SetTargets({Target("x", "a")});
    CPPUNIT_ASSERT(!picker.Pick({"x"}, "a", kStart, random_));
  }

  void Pick_IdleTargets_StaysInItsFailureDomain() {
    target_picker picker = Two(Report(2, milliseconds(20)), Report(2, milliseconds(20)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "near"));
  }

  void Pick_OwnDomainFull_GoesToAnother() {
    target_picker picker = Two(Report(23, milliseconds(20)), Report(2, milliseconds(20)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "far"));
  }

  // A backend server that is ill turns half of its requests away and is quick about it, and its
  // health check is good. By its queue alone it looks the best and would draw all requests.
  void Pick_TargetFailsHalf_GetsLittle() {
    target_report ill = Report(0, milliseconds(2));
    ill.success = 0.5;
    target_picker picker = Two(ill, Report(12, milliseconds(20)));
    CPPUNIT_ASSERT(Picks(picker, "far") >= 90);
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
      tried += picker.Pick({}, "a", later, random_)->id == "near" ? 1 : 0;
    }
    CPPUNIT_ASSERT(tried <= 1);
  }

  void Pick_AllResting_IsStillTried() {
    target_picker picker;
    picker.SetTargets({Target("x", "a")});
    picker.OnUnreachable("x", kStart);
    CPPUNIT_ASSERT(picker.Pick({}, "a", kStart, random_).has_value());
  }

  // Both nodes of a service get SIGTERM at the same time while their backend servers go on. With
  // no other target, requests served until the end would be refused for seconds.
  void Pick_Stopping_OnlyForWantOfAnother() {
    target_report stopping = Report(0, milliseconds(20));
    stopping.stopping = true;
    target_picker picker = Two(stopping, Report(22, milliseconds(40)));
    CPPUNIT_ASSERT_EQUAL(100, Picks(picker, "far"));
    CPPUNIT_ASSERT_EQUAL(std::string("near"), picker.Pick({"far"}, "a", kStart, random_)->id);
  }

  void Pick_OldReport_CountsAsUnknown() {
    target_picker picker = Two(Report(23, milliseconds(90)), Report(23, milliseconds(90)));
    const instant later = kStart + target_picker::kReportAge + seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::string("near"), picker.Pick({}, "a", later, random_)->id);
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

  // How many of 100 picks fall on this target.
  int Picks(target_picker& picker, const std::string& id) {
    int picks = 0;
    for (int i = 0; i < 100; ++i) {
      picks += picker.Pick({}, "a", kStart, random_)->id == id ? 1 : 0;
    }
    return picks;
  }

  random_source random_{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_picker_test);

}  // namespace cuminferry::testing
