#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "relay/repeat_fleet.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRequestsASecond = 122.0;
constexpr double kFailingShare = 0.55;

/** A fleet whose targets share the load evenly and know each other, after `before` without
    faults. */
repeat_fleet MakeFleet(std::size_t targets, duration before) {
  repeat_fleet fleet(targets);
  for (std::size_t i = 0; i < targets; ++i) {
    fleet.SetView(fleet.AddTarget(1.0), targets);
  }
  fleet.SetCallersView(targets);
  fleet.Play(before, kRequestsASecond, 0.0);
  return fleet;
}

/** Plays random failures of a fleet and its surroundings for two minutes. */
class random_play {
 public:
  explicit random_play(std::uint64_t seed) : random_(seed), fleet_(random_.Next()) {
    const std::size_t targets = 2 + random_.Below(11);
    for (std::size_t i = 0; i < targets; ++i) {
      fleet_.AddTarget(1.0);
    }
    TellAll(targets);
    fleet_.SetLongestWait(milliseconds(random_.Below(1'000)));
    usual_ = 20.0 + 400.0 * random_.Fraction();
    has_restarts_ = random_.Below(2) == 0;
    has_moves_ = random_.Below(2) == 0;
    has_lapses_ = random_.Below(2) == 0;
    has_replacements_ = random_.Below(2) == 0;
  }

  double LargestUse() {
    constexpr int kPhases = 60;
    for (int phase = 0; phase < kPhases; ++phase) {
      Disrupt();
      const double load = usual_ * (0.3 + 1.4 * random_.Fraction());
      const double failing = random_.Below(3) == 0 ? 0.0 : 0.1 + 0.85 * random_.Fraction();
      fleet_.Play(milliseconds(500 + random_.Below(3'000)), load, failing);
    }
    return fleet_.LargestUse();
  }

 private:
  std::size_t AnyTarget() { return random_.Below(fleet_.size()); }

  void TellAll(std::size_t listed) {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.SetView(i, listed);
    }
    fleet_.SetCallersView(listed);
  }

  void Disrupt() {
    if (random_.Below(4) == 0) {
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        fleet_.Reload(i);
      }
    }
    if (random_.Below(6) == 0) {
      fleet_.Freeze(AnyTarget(), milliseconds(500 + random_.Below(4'000)));
    }
    if (has_restarts_) {
      const bool all = random_.Below(8) == 0;
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        if (all || random_.Below(2 * fleet_.size()) == 0) {
          fleet_.Restart(i, milliseconds(200 + random_.Below(2'000)));
        }
      }
    }
    if (has_moves_) {
      for (std::size_t i = 0; i < fleet_.size(); ++i) {
        const double share = random_.Below(3) == 0 ? 10.0 : random_.Fraction();
        fleet_.SetLoadShare(i, share);
      }
    }
    if (has_replacements_ && random_.Below(5) == 0) {
      fleet_.Remove(AnyTarget());
      fleet_.SetView(fleet_.AddTarget(1.0), 0);
    }
    // What restarted and new nodes know comes from others, some of whom have lost entries.
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      const bool lapsed = has_lapses_ && random_.Below(3) == 0;
      fleet_.SetView(i, lapsed ? 1 + random_.Below(fleet_.size()) : fleet_.size());
    }
  }

  random_source random_;
  repeat_fleet fleet_;
  double usual_ = 0.0;
  bool has_restarts_ = false;
  bool has_moves_ = false;
  bool has_lapses_ = false;
  bool has_replacements_ = false;
};

}  // namespace

class repeat_bound_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(repeat_bound_test);
  CPPUNIT_TEST(Bound_NodesRestartDuringFault_Holds);
  CPPUNIT_TEST(Bound_NodesRestartInSeries_Holds);
  CPPUNIT_TEST(Bound_NodesOfQuietServiceRestartInSeries_Holds);
  CPPUNIT_TEST(Bound_SettingsReloadedInSeries_Holds);
  CPPUNIT_TEST(Bound_LoadMovesToOneTargetAfterAnother_Holds);
  CPPUNIT_TEST(Bound_ListsLapse_Holds);
  CPPUNIT_TEST(Bound_RestartedNodesKnowOneTarget_Holds);
  CPPUNIT_TEST(Bound_RandomFleets_Holds);
  CPPUNIT_TEST(Bound_LongFault_IsUsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against nodes that are killed amid a fault and spend a second time what was spent.
  void Bound_NodesRestartDuringFault_Holds() {
    repeat_fleet fleet = MakeFleet(4, seconds(30));
    fleet.Play(seconds(3), kRequestsASecond, kFailingShare);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.Restart(i, milliseconds(700));
      fleet.SetView(i, fleet.size());
    }
    fleet.Play(seconds(10), kRequestsASecond, kFailingShare);
    CPPUNIT_ASSERT(fleet.LargestUse() <= 1.0);
  }

  // Guards against a share of the allowance that each restart hands out anew.
  void Bound_NodesRestartInSeries_Holds() {
    for (const std::size_t targets : {3, 4, 30}) {
      repeat_fleet fleet = MakeFleet(targets, seconds(30));
      for (std::size_t i = 0; i < 20; ++i) {
        fleet.Restart(i % targets, milliseconds(300));
        fleet.SetView(i % targets, targets);
        fleet.Play(seconds(1), kRequestsASecond, kFailingShare);
      }
      CPPUNIT_ASSERT(fleet.LargestUse() <= 1.0);
    }
  }

  // Guards against the same where requests earn next to nothing beside the allowance.
  void Bound_NodesOfQuietServiceRestartInSeries_Holds() {
    for (const std::size_t targets : {3, 4, 30}) {
      repeat_fleet fleet = MakeFleet(targets, seconds(30));
      for (std::size_t i = 0; i < 60; ++i) {
        fleet.Restart(i % targets, duration::zero());
        fleet.SetView(i % targets, targets);
        fleet.Play(milliseconds(400), 20.0, 0.95);
      }
      CPPUNIT_ASSERT(fleet.LargestUse() <= 1.0);
    }
  }

  // Guards against a reload of the settings that forgets the repeats of the window.
  void Bound_SettingsReloadedInSeries_Holds() {
    for (const std::size_t targets : {3, 4, 30}) {
      repeat_fleet fleet = MakeFleet(targets, seconds(30));
      for (int i = 0; i < 20; ++i) {
        for (std::size_t target = 0; target < targets; ++target) {
          fleet.Reload(target);
        }
        fleet.Play(seconds(1), kRequestsASecond, kFailingShare);
      }
      CPPUNIT_ASSERT(fleet.LargestUse() <= 1.0);
    }
  }

  // Guards against targets that spend, in one window, what each earned in another.
  void Bound_LoadMovesToOneTargetAfterAnother_Holds() {
    for (const std::size_t targets : {3, 4, 30}) {
      repeat_fleet fleet = MakeFleet(targets, seconds(30));
      for (std::size_t moved = 0; moved < 8; ++moved) {
        for (std::size_t i = 0; i < targets; ++i) {
          fleet.SetLoadShare(i, i == moved % targets ? 0.9 * static_cast<double>(targets) : 0.1);
        }
        fleet.Play(seconds(5), kRequestsASecond, 0.9);
      }
      CPPUNIT_ASSERT(fleet.LargestUse() <= 1.0);
    }
  }

  // Guards against nodes that take over the allowance of targets that are missing from their lists.
  void Bound_ListsLapse_Holds() {
    for (const std::size_t targets : {3, 4, 30}) {
      repeat_fleet fleet = MakeFleet(targets, seconds(30));
      for (std::size_t i = 0; i < targets; ++i) {
        fleet.SetView(i, 1);
      }
      fleet.SetCallersView(1);
      fleet.Play(seconds(20), 20.0, 0.9);
      CPPUNIT_ASSERT(fleet.LargestUse() <= 1.0);
    }
  }

  // Guards against a node that knows no list yet, or a short one, and takes the whole allowance.
  void Bound_RestartedNodesKnowOneTarget_Holds() {
    for (const std::size_t targets : {3, 4, 30}) {
      repeat_fleet fleet = MakeFleet(targets, seconds(30));
      for (std::size_t i = 0; i < targets; ++i) {
        fleet.Restart(i, milliseconds(300));
        fleet.SetView(i, 1);
      }
      fleet.Play(seconds(25), 20.0, 0.9);
      CPPUNIT_ASSERT(fleet.LargestUse() <= 1.0);
    }
  }

  // Guards against any such failures that together let through more than each of them does.
  void Bound_RandomFleets_Holds() {
    CheckProperty("the bound holds in every window",
                  [](std::uint64_t seed) { RC_ASSERT(random_play(seed).LargestUse() <= 1.0); });
  }

  // Guards against a bound that is kept by leaving most of it unused.
  void Bound_LongFault_IsUsed() {
    for (const std::size_t targets : {3, 4, 30}) {
      repeat_fleet fleet = MakeFleet(targets, seconds(30));
      fleet.Play(seconds(20), kRequestsASecond, kFailingShare);
      CPPUNIT_ASSERT(fleet.LargestUse() >= 0.75);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeat_bound_test);

}  // namespace cuminferry::testing
