#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry::testing {
namespace {

service_instance Instance(std::uint32_t number, std::uint32_t domains) {
  return {.id = std::to_string(number),
          .service = "maps",
          .backend = {.address = 0x0A000000 + number, .port = 80},
          .failure_domain = "domain-" + std::to_string(number % domains)};
}

}  // namespace

class watch_duty_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_duty_test);
  CPPUNIT_TEST(Update_LargeFleet_FewWatchInEachDomain);
  CPPUNIT_TEST(Update_NodeNotListed_Watches);
  CPPUNIT_TEST(Update_WatcherLeaves_AnotherTakesItsPlace);
  CPPUNIT_TEST(Update_OneOtherInTheDomain_BothWatch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Update_LargeFleet_FewWatchInEachDomain() {
    constexpr std::uint32_t kDomains = 12;
    const std::vector<service_instance> listed = Listed(600, kDomains);
    std::size_t on_duty = 0;
    for (const service_instance& own : listed) {
      watch_duty duty;
      duty.Update(listed, own.backend, own.failure_domain);
      on_duty += duty.on_duty() ? 1 : 0;
      CPPUNIT_ASSERT(duty.on_duty() || duty.near().size() == watch_duty::kWatchersPerDomain);
    }
    CPPUNIT_ASSERT_EQUAL(kDomains * watch_duty::kWatchersPerDomain, on_duty);
  }

  void Update_NodeNotListed_Watches() {
    watch_duty duty;
    duty.Update(Listed(20, 2), {.address = 1, .port = 1}, "domain-0");
    CPPUNIT_ASSERT(duty.on_duty());
  }

  // An instance that watches is taken away. Each failure domain must again have its two, or the
  // next loss leaves one without.
  void Update_WatcherLeaves_AnotherTakesItsPlace() {
    std::vector<service_instance> listed = Listed(20, 1);
    watch_duty duty;
    duty.Update(listed, listed[0].backend, "domain-0");
    const endpoint first = duty.near().front();
    for (service_instance& instance : listed) {
      instance.leaving = instance.backend == first;
    }
    duty.Update(listed, listed[0].backend, "domain-0");
    CPPUNIT_ASSERT(std::ranges::find(duty.near(), first) == duty.near().end());
    CPPUNIT_ASSERT_EQUAL(watch_duty::kWatchersPerDomain,
                         duty.near().size() + (duty.on_duty() ? 1 : 0));
  }

  void Update_OneOtherInTheDomain_BothWatch() {
    const std::vector<service_instance> listed = Listed(2, 1);
    for (const service_instance& own : listed) {
      watch_duty duty;
      duty.Update(listed, own.backend, own.failure_domain);
      CPPUNIT_ASSERT(duty.on_duty());
    }
  }

 private:
  static std::vector<service_instance> Listed(std::uint32_t count, std::uint32_t domains) {
    std::vector<service_instance> listed;
    for (std::uint32_t number = 0; number < count; ++number) {
      listed.push_back(Instance(number, domains));
    }
    return listed;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_duty_test);

}  // namespace cuminferry::testing
