#include <absl/synchronization/notification.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

class worker_pool_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(worker_pool_test);
  CPPUNIT_TEST(Pool_StoppedWithTasksQueued_RunsThem);
  CPPUNIT_TEST(Pool_QueueFull_RefusesTheTask);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Pool_StoppedWithTasksQueued_RunsThem() {
    std::atomic<int> ran = 0;
    worker_pool pool({.name = "test", .threads = 2, .max_queued_tasks = 100});
    for (int task = 0; task < 50; ++task) {
      CPPUNIT_ASSERT(pool.Submit([&] { ++ran; }));
    }
    pool.Stop();
    CPPUNIT_ASSERT_EQUAL(50, ran.load());
    CPPUNIT_ASSERT(!pool.Submit([&] { ++ran; }));
  }

  // Guards against unbounded memory growth when tasks accumulate because of a slow backend server:
  // tasks beyond the bound are refused at once.
  void Pool_QueueFull_RefusesTheTask() {
    absl::Notification started;
    absl::Notification release;
    worker_pool pool({.name = "test", .threads = 1, .max_queued_tasks = 1});
    CPPUNIT_ASSERT(pool.Submit([&] {
      started.Notify();
      release.WaitForNotification();
    }));
    started.WaitForNotification();
    CPPUNIT_ASSERT(pool.Submit([] {}));
    CPPUNIT_ASSERT(!pool.Submit([] {}));
    release.Notify();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_pool_test);

}  // namespace cuminferry
