#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kAllowed = seconds(5);
constexpr duration kQueryPeriod = milliseconds(250);

/** Simulates a platform that counts its changes, and nodes that receive them through random
    dissemination trees. Queries and replies are delayed or lost, and processes pause and restart.
 */
class dissemination_simulation {
 public:
  dissemination_simulation(std::size_t nodes, std::uint64_t seed) : random_(seed), nodes_(nodes) {
    for (std::size_t node = 0; node < nodes; ++node) {
      At(now_ + RandomDuration(kQueryPeriod), [this, node] { Query(node); });
    }
    At(now_, [this] { ChangePlatform(); });
  }

  void RunUntil(instant end, const std::function<void(std::size_t node)>& check) {
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      const auto [node, action] = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
      check(node);
    }
  }

  /** Revision of the platform at that moment. */
  std::uint64_t RevisionAt(instant when) const {
    const auto after = std::ranges::upper_bound(changes_, when);
    return static_cast<std::uint64_t>(after - changes_.begin());
  }

  struct node_state {
    std::uint64_t revision = 0;
    replica_age age;
    std::uint64_t incarnation = 0;
    instant paused_until{};
  };

  const node_state& node(std::size_t at) const { return nodes_[at]; }
  instant now() const { return now_; }

 private:
  duration RandomDuration(duration maximum) {
    return duration(
        static_cast<duration::rep>(random_.Below(static_cast<std::uint64_t>(maximum.count()) + 1)));
  }

  // Most messages take milliseconds, some take seconds.
  duration NetworkDelay() {
    const double draw = random_.Fraction();
    return draw < 0.9    ? RandomDuration(milliseconds(5))
           : draw < 0.97 ? RandomDuration(milliseconds(300))
                         : RandomDuration(seconds(4));
  }

  bool IsLost() { return random_.Fraction() < 0.1; }

  void At(instant when, std::function<void()> action, std::size_t node = 0) {
    events_.emplace(when, std::pair(node, std::move(action)));
  }

  void ChangePlatform() {
    changes_.push_back(now_);
    At(now_ + RandomDuration(seconds(2)), [this] { ChangePlatform(); });
  }

  // A paused process handles the received messages once it continues.
  void Handle(std::size_t node, std::function<void()> action) {
    const instant when = std::max(now_, nodes_[node].paused_until);
    if (when > now_) {
      At(when, std::move(action), node);
    } else {
      action();
    }
  }

  void Query(std::size_t node) {
    At(
        now_ + kQueryPeriod, [this, node] { Query(node); }, node);
    const double draw = random_.Fraction();
    if (draw < 0.005) {
      nodes_[node].paused_until = now_ + RandomDuration(seconds(8));
    } else if (draw < 0.008) {
      nodes_[node] = {.incarnation = nodes_[node].incarnation + 1};
    }
    Handle(node, [this, node] { SendQuery(node); });
  }

  void SendQuery(std::size_t node) {
    const instant sent_at = now_;
    const std::uint64_t incarnation = nodes_[node].incarnation;
    if (IsLost()) {
      return;
    }
    // Some nodes read the platform; the others query any node, so that every tree occurs, and
    // cycles.
    if (node % 16 == 0 && random_.Fraction() < 0.8) {
      At(
          now_ + NetworkDelay(),
          [this, node, incarnation, sent_at] {
            SendReply(node, incarnation, RevisionAt(now_), sent_at);
          },
          node);
      return;
    }
    const std::size_t source = random_.Below(nodes_.size());
    At(
        now_ + NetworkDelay(),
        [this, node, incarnation, sent_at, source] {
          Handle(source, [this, node, incarnation, sent_at, source] {
            const auto age = nodes_[source].age.AgeAt(now_);
            if (age) {
              SendReply(node, incarnation, nodes_[source].revision, sent_at - *age);
            }
          });
        },
        node);
  }

  void SendReply(std::size_t node, std::uint64_t incarnation, std::uint64_t revision,
                 instant current_at) {
    if (IsLost()) {
      return;
    }
    At(
        now_ + NetworkDelay(),
        [this, node, incarnation, revision, current_at] {
          Handle(node, [this, node, incarnation, revision, current_at] {
            node_state& state = nodes_[node];
            if (state.incarnation == incarnation) {
              state.revision = std::max(state.revision, revision);
              state.age.OnCurrentAt(current_at);
            }
          });
        },
        node);
  }

  random_source random_;
  instant now_ = FromMicros(100'000'000);
  std::vector<node_state> nodes_;
  std::vector<instant> changes_;
  std::multimap<instant, std::pair<std::size_t, std::function<void()>>> events_;
};

// Whether each node that relies on its replica has everything that the platform had announced
// `kAllowed` ago.
bool IsUpperBound(std::size_t nodes, std::uint64_t seed, duration span) {
  dissemination_simulation simulation(nodes, seed);
  bool safe = true;
  std::size_t relied_on = 0;
  std::size_t checked = 0;
  simulation.RunUntil(simulation.now() + span, [&](std::size_t node) {
    const dissemination_simulation::node_state& state = simulation.node(node);
    ++checked;
    if (state.age.RemainingTrustTime(kAllowed, simulation.now()) <= duration::zero()) {
      return;
    }
    ++relied_on;
    safe = safe && state.revision >= simulation.RevisionAt(simulation.now() - kAllowed);
  });
  // A bound by which no replica is ever relied on would be safe, too.
  return safe && relied_on * 2 > checked;
}

}  // namespace

// Guards against a revoked key that still works at a node which can't receive the revocation.
class replica_age_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(replica_age_test);
  CPPUNIT_TEST(Age_NoCopyReceived_KeysAreNotReliedOn);
  CPPUNIT_TEST(Age_CopyOlderThanAllowed_KeysAreNotReliedOn);
  CPPUNIT_TEST(Age_OlderMoment_ChangesNothing);
  CPPUNIT_TEST(Age_RandomTrees_IsAnUpperBound);
  CPPUNIT_TEST(Age_ThousandsOfNodes_IsAnUpperBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Age_NoCopyReceived_KeysAreNotReliedOn() {
    const replica_age age;
    CPPUNIT_ASSERT(age.RemainingTrustTime(kAllowed, FromMicros(1)) <= duration::zero());
    CPPUNIT_ASSERT(!age.IsUpToDate(FromMicros(1)));
  }

  void Age_CopyOlderThanAllowed_KeysAreNotReliedOn() {
    const instant announced = FromMicros(1'000'000);
    replica_age age;
    age.OnCurrentAt(announced);
    CPPUNIT_ASSERT(age.RemainingTrustTime(kAllowed, announced + seconds(4)) > duration::zero());
    CPPUNIT_ASSERT(age.RemainingTrustTime(kAllowed, announced + kAllowed) <= duration::zero());
    age.OnCurrentAt(announced + kAllowed);
    CPPUNIT_ASSERT(age.RemainingTrustTime(kAllowed, announced + kAllowed) > seconds(4));
  }

  void Age_OlderMoment_ChangesNothing() {
    replica_age age;
    age.OnCurrentAt(FromMicros(2'000'000));
    age.OnCurrentAt(FromMicros(1'000'000));
    CPPUNIT_ASSERT(*age.AgeAt(FromMicros(2'500'000)) == milliseconds(500));
  }

  void Age_RandomTrees_IsAnUpperBound() {
    CheckProperty("a node that relies on its copy has all announced changes",
                  [](std::uint64_t seed) {
                    RC_ASSERT(IsUpperBound(14, seed, seconds(60)));
                    RC_ASSERT(IsUpperBound(69, seed, seconds(20)));
                  });
  }

  void Age_ThousandsOfNodes_IsAnUpperBound() {
    CPPUNIT_ASSERT(IsUpperBound(7'000, 1, seconds(12)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_age_test);

}  // namespace cuminferry::testing
