#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "queue_world.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kSpan = seconds(15);
// Up to this fraction of the overall one, nested calls may be served before more important client
// requests: their guaranteed share and the error of counting.
constexpr double kMaxNestedShare = request_queue::kNestedShare + 0.05;

double FractionServed(const queue_row_count& count) {
  return count.offered == 0 ? 1.0 : static_cast<double>(count.served) / count.offered;
}

/** What a run of a world shows of the requirements of docs/design/hard-load.md. */
struct findings {
  /** Largest excess of the fraction served of a row over that of a more important one. */
  double inversion = 0.0;
  /** Fraction served of the nested calls, divided by that of all requests. */
  double nested_share = 1.0;
  double utilization = 0.0;
  /** Smallest fraction in time of the served requests of a row of the highest importance. */
  double top_in_time = 1.0;
};

findings RunAndExamine(const queue_world::settings& how, const std::vector<queue_row>& rows) {
  queue_world world(how, rows);
  world.Run(kSpan);
  findings found{.utilization = world.useful_utilization()};
  const double overall = FractionServed(world.CountWhere([](const queue_row&) { return true; }));
  const queue_row_count nested = world.CountWhere([](const queue_row& row) { return row.nested; });
  found.nested_share = nested.offered == 0 ? 1.0 : FractionServed(nested) / overall;
  for (std::size_t at = 0; at < rows.size(); ++at) {
    const queue_row& row = rows[at];
    const queue_row_count& count = world.counts()[at];
    if (row.priority == 0 && count.served > 0) {
      found.top_in_time =
          std::min(found.top_in_time, static_cast<double>(count.in_time) / count.served);
    }
    for (std::size_t other = 0; other < rows.size(); ++other) {
      const queue_row& less = rows[other];
      const bool is_guaranteed =
          less.nested && !row.nested && found.nested_share <= kMaxNestedShare;
      if (row.priority < less.priority && !is_guaranteed) {
        found.inversion = std::max(found.inversion,
                                   FractionServed(world.counts()[other]) - FractionServed(count));
      }
    }
  }
  return found;
}

queue_row Row(std::uint32_t priority, bool nested, milliseconds objective, double load_share) {
  return {.priority = priority,
          .nested = nested,
          .run_time = milliseconds(20),
          .objective = objective,
          .deadline = 3 * objective,
          .load_share = load_share};
}

}  // namespace

class queue_order_replay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(queue_order_replay_test);
  CPPUNIT_TEST(Overload_AnyMix_RequirementsHold);
  CPPUNIT_TEST(Overload_ByDeadline_ImportantRowIsServedLess);
  CPPUNIT_TEST(Overload_ImportantRequestsAboveTheSlots_CallsAreNotStarved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Overload_AnyMix_RequirementsHold() {
    CheckProperty("importance decides at 1.2 to 5 times the slots", [](std::uint64_t seed) {
      random_source random(seed);
      const std::vector<queue_row> rows = RandomRows(random);
      const double load = 1.2 + 3.8 * random.Fraction();
      const findings found =
          RunAndExamine({.slots = static_cast<std::uint32_t>(4 + random.Below(61)),
                         .load = load,
                         .seed = random.Next()},
                        rows);
      RC_ASSERT(found.inversion <= 0.02);
      RC_ASSERT(found.nested_share >= 0.5);
      RC_ASSERT(found.utilization >= 0.9);
      RC_ASSERT(load > 3.0 || found.top_in_time >= 0.99);
    });
  }

  // Shows that the requirements depend on the order. By deadline, a full queue takes as long as the
  // less important row can wait, so that the important one with the shorter objective is late.
  void Overload_ByDeadline_ImportantRowIsServedLess() {
    const std::vector<queue_row> rows{Row(0, false, milliseconds(150), 0.4),
                                      Row(2, false, milliseconds(200), 0.6)};
    CPPUNIT_ASSERT(RunAndExamine({.order = queue_order::kDeadline, .load = 2.5}, rows).inversion >
                   0.2);
    CPPUNIT_ASSERT(RunAndExamine({.load = 2.5}, rows).inversion <= 0.02);
  }

  // Important new requests alone fill the slots twice. Guards against starving the calls of
  // requests that already run, and so wasting the work that their callers have done.
  void Overload_ImportantRequestsAboveTheSlots_CallsAreNotStarved() {
    const findings found = RunAndExamine({.load = 2.5}, {Row(0, false, milliseconds(400), 0.8),
                                                         Row(3, true, milliseconds(200), 0.2)});
    CPPUNIT_ASSERT(found.nested_share >= 0.5);
    CPPUNIT_ASSERT(found.nested_share <= kMaxNestedShare);
    CPPUNIT_ASSERT(found.top_in_time >= 0.99);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(queue_order_replay_test);

}  // namespace cuminferry::testing
