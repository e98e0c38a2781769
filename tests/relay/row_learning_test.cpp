#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);

/** Lookups, which call a feed five times in a run, and uploads, which call nothing, on one
    backend server: sixty lookups a second and eight uploads. */
class side_by_side {
 public:
  explicit side_by_side(row_causes& causes, std::uint64_t seed = 3)
      : causes_(causes), random_(seed) {}

  struct lookup_load {
    double per_second = 60.0;
    /** Part of their calls that fail; a lookup ends with the first of them. */
    double calls_fail = 0.0;
  };
  void SetLookups(const lookup_load& load) { lookups_ = load; }

  /** Plays on for so long, with lookups that take `lookup_time`. */
  void Run(duration span, duration lookup_time) {
    for (const instant end = now_ + span; now_ < end; now_ += kStep) {
      if (random_.Fraction() < lookups_.per_second * kStepSeconds) {
        Start("lookup", lookup_time);
      }
      if (random_.Fraction() < kUploads * kStepSeconds) {
        Start("upload", kUploadTime);
      }
      Advance();
    }
  }

 private:
  struct run {
    std::string row;
    instant started;
    duration takes;
    int calls = 0;
    bool failed = false;
  };

  static constexpr duration kStep = milliseconds(2);
  static constexpr double kStepSeconds = 0.002;
  static constexpr double kUploads = 8.0;
  static constexpr duration kUploadTime = milliseconds(140);
  static constexpr int kCalls = 5;

  void Start(const std::string& row, duration mean) {
    const double part = 0.5 + random_.Fraction();
    causes_.OnRunStart(row, now_);
    running_.push_back({row, now_, duration(static_cast<duration::rep>(part * mean.count()))});
  }

  void Advance() {
    for (run& each : running_) {
      const bool due = now_ >= each.started + each.takes * (each.calls + 1) / (kCalls + 1);
      if (each.row == "lookup" && each.calls < kCalls && due) {
        ++each.calls;
        causes_.OnCall("feed", now_);
        each.failed = lookups_.calls_fail > 0.0 && random_.Fraction() < lookups_.calls_fail;
      }
    }
    std::erase_if(running_, [this](const run& each) {
      const bool ends = each.failed || now_ >= each.started + each.takes;
      if (ends) {
        causes_.OnRunEnd(
            each.row, each.started, now_,
            each.failed ? row_causes::run_fate::kFailed : row_causes::run_fate::kWhole);
      }
      return ends;
    });
  }

  row_causes& causes_;
  random_source random_;
  lookup_load lookups_;
  instant now_ = kStart;
  std::vector<run> running_;
};

}  // namespace

class row_learning_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(row_learning_test);
  CPPUNIT_TEST(CallsPerRun_TwoRowsSideBySide_AreToldApart);
  CPPUNIT_TEST(CallsPerRun_LookupsWaitInASurge_UploadsAreNoCause);
  CPPUNIT_TEST(CallsPerRun_RunsBreakOffAtFirst_UploadsAreNoCause);
  CPPUNIT_TEST(IsKnown_FirstSeconds_OnlyWhatIsACause);
  CPPUNIT_TEST(Demand_RunsWaitForTheirCalls_CallsStandForWhatIsWanted);
  CPPUNIT_TEST(Demand_RunsThatStandForOthers_AreCountedWithThem);
  CPPUNIT_TEST(CallsPerRun_NothingRuns_LearnsNothing);
  CPPUNIT_TEST(ComesFromClients_CallersOfOneService_IsNot);
  CPPUNIT_TEST(ComesFromClients_CallersOfAllServices_Is);
  CPPUNIT_TEST(ComesFromClients_FewSeen_IsNot);
  CPPUNIT_TEST(Work_RunsOfDifferentAge_CallsHaveTheMean);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Uploads and lookups run side by side on one backend server, and only lookups call further.
  // Taken for the cause, uploads would be refused for the sake of a service they never use.
  void CallsPerRun_TwoRowsSideBySide_AreToldApart() {
    row_causes causes;
    side_by_side world(causes);
    world.Run(seconds(40), milliseconds(100));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, causes.CallsPerRun("lookup", "feed"), 0.5);
    CPPUNIT_ASSERT(causes.CalledBy("upload").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, causes.CalledBy("lookup").size());
  }

  // A surge fills the service that lookups call, and they wait there: the same calls spread over
  // runs that take six times as long, and in some windows none comes at all. Uploads, of which few
  // run, were taken for the cause of what the lookups' time no longer explained, and cooperatives
  // were refused beside a backend server with free slots.
  void CallsPerRun_LookupsWaitInASurge_UploadsAreNoCause() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      row_causes causes;
      side_by_side world(causes, seed);
      world.Run(seconds(5), milliseconds(100));
      for (int surge = 0; surge < 4; ++surge) {
        world.Run(seconds(2), milliseconds(600));
        CPPUNIT_ASSERT(causes.CalledBy("upload").empty());
        world.Run(seconds(1), milliseconds(200));
        CPPUNIT_ASSERT(causes.CalledBy("upload").empty());
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, causes.CallsPerRun("lookup", "feed"), 0.7);
    }
  }

  // Guards against causes learned from runs that broke off: uploads refused for a service that they
  // never use, for as long as that is remembered.
  void CallsPerRun_RunsBreakOffAtFirst_UploadsAreNoCause() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      row_causes causes;
      side_by_side world(causes, seed);
      world.SetLookups({.per_second = 300.0, .calls_fail = 0.7});
      world.Run(seconds(8), milliseconds(100));
      CPPUNIT_ASSERT(causes.CalledBy("upload").empty());
      world.SetLookups({.per_second = 60.0, .calls_fail = 0.02});
      for (int second = 0; second < 10; ++second) {
        world.Run(seconds(1), milliseconds(100));
        CPPUNIT_ASSERT(causes.CalledBy("upload").empty());
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, causes.CallsPerRun("lookup", "feed"), 0.7);
    }
  }

  // A node starts anew. Until it has seen enough, it must not say that its rows call nobody.
  void IsKnown_FirstSeconds_OnlyWhatIsACause() {
    row_causes causes;
    CPPUNIT_ASSERT(causes.IsKnown("upload"));
    side_by_side world(causes);
    world.Run(milliseconds(300), milliseconds(100));
    CPPUNIT_ASSERT(!causes.IsKnown("upload"));
    world.Run(seconds(8), milliseconds(100));
    CPPUNIT_ASSERT(causes.IsKnown("upload"));
    CPPUNIT_ASSERT(causes.IsKnown("lookup"));
  }

  // Calls wait further down: runs that began want more calls than are made.
  void Demand_RunsWaitForTheirCalls_CallsStandForWhatIsWanted() {
    call_demand demand;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, demand.OnCall("feed"), 1e-9);
    for (int run = 0; run < 3; ++run) {
      demand.OnRunStart({{"feed", 4.0}}, 1.0);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, demand.OnCall("feed"), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, demand.OnCall("feed"), 1e-9);
  }

  void Demand_RunsThatStandForOthers_AreCountedWithThem() {
    call_demand demand;
    demand.OnRunStart({{"feed", 4.0}}, 1.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, demand.OnCall("feed"), 1e-9);
  }

  void CallsPerRun_NothingRuns_LearnsNothing() {
    row_causes causes;
    causes.OnCall("feed", kStart);
    causes.OnRunStart("lookup", kStart + seconds(1));
    causes.OnRunEnd("lookup", kStart + seconds(1), kStart + seconds(2),
                    row_causes::run_fate::kWhole);
    CPPUNIT_ASSERT(causes.CalledBy("lookup").empty());
  }

  void ComesFromClients_CallersOfOneService_IsNot() {
    row_origins origins;
    for (int i = 0; i < 100; ++i) {
      origins.OnArrival("ledger", "maps");
    }
    CPPUNIT_ASSERT(!origins.ComesFromClients("ledger", 4));
  }

  void ComesFromClients_CallersOfAllServices_Is() {
    row_origins origins;
    for (int i = 0; i < 100; ++i) {
      origins.OnArrival("read", "service-" + std::to_string(i % 4));
    }
    CPPUNIT_ASSERT(origins.ComesFromClients("read", 4));
  }

  void ComesFromClients_FewSeen_IsNot() {
    row_origins origins;
    for (int i = 0; i < 4; ++i) {
      origins.OnArrival("read", "service-" + std::to_string(i));
    }
    CPPUNIT_ASSERT(!origins.ComesFromClients("read", 4));
  }

  void Work_RunsOfDifferentAge_CallsHaveTheMean() {
    running_work work;
    CPPUNIT_ASSERT(work.MeanAge(kStart) == duration::zero());
    const instant now = kStart + seconds(2);
    work.OnStart(now - milliseconds(100), 0.0);
    work.OnStart(now - milliseconds(300), 1.0);
    CPPUNIT_ASSERT(work.MeanAge(now) == milliseconds(200));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, work.repeated_share(), 1e-9);
    work.OnEnd(now - milliseconds(300), 1.0);
    CPPUNIT_ASSERT(work.MeanAge(now) == milliseconds(100));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, work.repeated_share(), 1e-9);
    work.OnEnd(now - milliseconds(100), 0.0);
    CPPUNIT_ASSERT(!work.any());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_learning_test);

}  // namespace cuminferry::testing
