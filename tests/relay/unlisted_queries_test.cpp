#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cuminferry_fleet/cuminferry_fleet.h"
#include "support/property.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = FromMicros(1'000'000);
constexpr duration kStep = milliseconds(100);

using candidate = unlisted_queries::candidate;

candidate Unlisted(std::string id, std::string service = "maps") {
  return {.id = std::move(id), .service = std::move(service), .confirmed_at = std::nullopt};
}

}  // namespace

/** Which nodes are asked whether their unlisted backend servers serve. */
class unlisted_queries_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(unlisted_queries_test);
  CPPUNIT_TEST(TakeDue_ManyNodesAtOnce_FirstQueriesAreSpreadOverHalfASecond);
  CPPUNIT_TEST(TakeDue_Unanswered_IsQueriedOnceAPeriod);
  CPPUNIT_TEST(TakeDue_ConfirmedByAnswers_IsNotQueried);
  CPPUNIT_TEST(TakeDue_SilentInstance_DoesNotCrowdOutOthers);
  CPPUNIT_TEST(TakeDue_LeastRecentlyConfirmed_ComesFirst);
  CPPUNIT_TEST(TakeDue_ServiceNotUsed_IsQueriedOnlyWithoutListedInstances);
  CPPUNIT_TEST(TakeDue_ServiceUsedAMinuteAgo_IsQueriedNoLonger);
  CPPUNIT_TEST(TakeDue_AnyHistory_KeepsToThePace);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against all callers querying the same node at the moment at which they learn that its
  // instance is no longer listed.
  void TakeDue_ManyNodesAtOnce_FirstQueriesAreSpreadOverHalfASecond() {
    std::map<instant, int> queries;
    constexpr int kNodes = 1'000;
    for (std::uint64_t node = 0; node < kNodes; ++node) {
      random_source random(node);
      unlisted_queries chosen;
      instant now = kStart;
      while (chosen.TakeDue(std::vector{Unlisted("x")}, now, random).empty()) {
        now += kStep;
        CPPUNIT_ASSERT(now <= kStart + unlisted_queries::kMaxFirstDelay);
      }
      ++queries[now];
    }
    for (const auto& [at, count] : queries) {
      CPPUNIT_ASSERT(count < kNodes / 3);
    }
  }

  void TakeDue_Unanswered_IsQueriedOnceAPeriod() {
    CPPUNIT_ASSERT_EQUAL(4, CountQueries({Unlisted("x")}, milliseconds(3'900))["x"]);
  }

  // Guards against queries about instances that answers to requests confirm all the time.
  void TakeDue_ConfirmedByAnswers_IsNotQueried() {
    for (instant now = kStart; now < kStart + seconds(10); now += kStep) {
      candidate confirmed = Unlisted("x");
      confirmed.confirmed_at = now - milliseconds(500);
      CPPUNIT_ASSERT(chosen_.TakeDue(std::vector{confirmed}, now, random_).empty());
    }
  }

  // Guards against instances whose nodes can't be reached taking all queries, while others that
  // serve are dropped because nobody asks.
  void TakeDue_SilentInstance_DoesNotCrowdOutOthers() {
    std::vector<candidate> unlisted;
    for (int id = 0; id < 9; ++id) {
      unlisted.push_back(Unlisted(std::to_string(id)));
    }
    const std::map<std::string, int> queries = CountQueries(unlisted, milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, queries.size());
  }

  void TakeDue_LeastRecentlyConfirmed_ComesFirst() {
    std::vector<candidate> unlisted;
    for (int id = 0; id < 5; ++id) {
      unlisted.push_back(Unlisted(std::to_string(id)));
      unlisted.back().confirmed_at = kStart - seconds(id);
    }
    const instant now = kStart + seconds(2);
    chosen_.TakeDue(unlisted, kStart, random_);
    const std::vector<std::string> due = chosen_.TakeDue(unlisted, now, random_);
    CPPUNIT_ASSERT((due == std::vector<std::string>{"4", "3", "2"}));
  }

  // Guards against every node querying about every service of the fleet.
  void TakeDue_ServiceNotUsed_IsQueriedOnlyWithoutListedInstances() {
    candidate one_of_many = Unlisted("x", "maps");
    one_of_many.has_listed_others = true;
    const std::map<std::string, int> queries =
        CountQueries({one_of_many, Unlisted("last", "permits")}, milliseconds(1'900));
    CPPUNIT_ASSERT((queries == std::map<std::string, int>{{"last", 2}}));
    chosen_.OnRequest("maps", now_);
    CPPUNIT_ASSERT_EQUAL(1, CountQueries({one_of_many}, milliseconds(900))["x"]);
  }

  void TakeDue_ServiceUsedAMinuteAgo_IsQueriedNoLonger() {
    candidate one_of_many = Unlisted("x");
    one_of_many.has_listed_others = true;
    chosen_.OnRequest("maps", now_);
    now_ += unlisted_queries::kUseTime + milliseconds(1);
    CPPUNIT_ASSERT(CountQueries({one_of_many}, seconds(3)).empty());
  }

  // Guards against bursts of queries where a whole service or domain is no longer listed.
  void TakeDue_AnyHistory_KeepsToThePace() {
    CheckProperty(
        "at most three queries a service, one an instance, in a period", [](std::uint64_t seed) {
          random_source random(seed);
          unlisted_queries chosen;
          std::map<std::string, std::vector<instant>> by_service;
          std::map<std::string, std::vector<instant>> by_id;
          std::vector<candidate> unlisted;
          for (instant now = kStart; now < kStart + seconds(8); now += kStep) {
            const std::string id = std::to_string(random.Below(30));
            std::erase_if(unlisted, [&](const candidate& of) { return of.id == id; });
            if (random.Below(2) == 0) {
              unlisted.push_back(Unlisted(id, id.size() == 1 ? "maps" : "permits"));
            }
            for (candidate& of : unlisted) {
              if (random.Below(20) == 0) {
                of.confirmed_at = now;
              }
            }
            for (const std::string& due : chosen.TakeDue(unlisted, now, random)) {
              by_service[due.size() == 1 ? "maps" : "permits"].push_back(now);
              by_id[due].push_back(now);
            }
          }
          for (const auto& [service, sent] : by_service) {
            for (std::size_t at = unlisted_queries::kMaxPerService; at < sent.size(); ++at) {
              RC_ASSERT(sent[at] - sent[at - unlisted_queries::kMaxPerService] >=
                        unlisted_queries::kQueryPeriod);
            }
          }
          RC_ASSERT(by_service.size() == 2U);
        });
  }

 private:
  // Returns how often each instance is queried within a time, without any confirmation.
  std::map<std::string, int> CountQueries(const std::vector<candidate>& unlisted, duration span) {
    std::map<std::string, int> queries;
    for (const instant end = now_ + span; now_ < end; now_ += kStep) {
      for (const std::string& id : chosen_.TakeDue(unlisted, now_, random_)) {
        ++queries[id];
      }
    }
    return queries;
  }

  instant now_ = kStart;
  random_source random_{20261204};
  unlisted_queries chosen_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(unlisted_queries_test);

}  // namespace cuminferry::testing
