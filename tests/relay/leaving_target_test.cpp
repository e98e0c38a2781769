#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <set>

#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kIngress = 0;
constexpr int kLeaving = 1;
constexpr int kNodes = 4;
constexpr std::size_t kSlots = 20;
// A node leaves some slots free where it knows little of its target.
constexpr std::size_t kMinRunning = 15;
constexpr std::size_t kSent = 60;
// What waits is to be served elsewhere long before a slot of the leaving target becomes free.
constexpr duration kAtOnce = milliseconds(700);

}  // namespace

/** Requests fill the slots of a target, which holds them, and others wait for a slot when it
    leaves. */
class leaving_target_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(leaving_target_test);
  CPPUNIT_TEST(Leaving_ListedAsDraining_WhatWaitsRunsElsewhere);
  CPPUNIT_TEST(Leaving_ClientsOfItsOwnNode_WhatWaitsRunsElsewhere);
  CPPUNIT_TEST(Leaving_Uploads_WhatWaitsRunsElsewhere);
  CPPUNIT_TEST(Leaving_LongUploadsOfItsOwnNode_WhatWaitsRunsElsewhere);
  CPPUNIT_TEST(Leaving_TakenOutOfTheList_WhatWaitsRunsElsewhere);
  CPPUNIT_TEST(Leaving_TakenOutWhileItClaimsToServe_WhatWaitsRunsElsewhere);
  CPPUNIT_TEST(Unlisted_AskedWhileItClaimsToServe_NothingWaitsThere);
  CPPUNIT_TEST(Unlisted_AllTargetsAtOnce_WhatWaitsStays);
  CPPUNIT_TEST(Leaving_AddressUsedAgain_WhatWaitsRunsElsewhere);
  CPPUNIT_TEST(Leaving_NoOtherTarget_WhatWaitsIsRefused);
  CPPUNIT_TEST(Leaving_ListedAsReadyAgain_GetsRequests);
  CPPUNIT_TEST(Leaving_OnceFoundAbsentAndListedAgain_GetsRequests);
  CPPUNIT_TEST(Leaving_QueueByImportance_MostImportantMoveFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that wait for a slot being sent to a target long after it was listed as
  // draining: one that runs once was lost when the target exited.
  void Leaving_ListedAsDraining_WhatWaitsRunsElsewhere() {
    for (const char* path : {"/safe/x", "/once/x"}) {
      SetUpFleet();
      FillTarget(kIngress, path);
      fleet_->SetDraining({kLeaving});
      ListAll();
      ExpectMoved();
    }
  }

  // The same for clients of the leaving target's own node.
  void Leaving_ClientsOfItsOwnNode_WhatWaitsRunsElsewhere() {
    for (const char* path : {"/safe/x", "/once/x"}) {
      SetUpFleet();
      FillTarget(kLeaving, path);
      fleet_->SetDraining({kLeaving});
      ListAll();
      ExpectMoved();
    }
  }

  void Leaving_Uploads_WhatWaitsRunsElsewhere() {
    for (const int ingress : {kIngress, kLeaving}) {
      SetUpFleet();
      FillTarget(ingress, "/once/x", 120'000);
      fleet_->SetDraining({kLeaving});
      ListAll();
      ExpectMoved();
    }
  }

  // Guards against uploads that can't move as their first part was passed on, although the target
  // got none of it.
  void Leaving_LongUploadsOfItsOwnNode_WhatWaitsRunsElsewhere() {
    SetUpFleet();
    FillTarget(kLeaving, "/once/x", 1'000'000);
    fleet_->SetDraining({kLeaving});
    ListAll();
    ExpectMoved();
  }

  void Leaving_TakenOutOfTheList_WhatWaitsRunsElsewhere() {
    for (const int ingress : {kIngress, kLeaving}) {
      SetUpFleet();
      FillTarget(ingress, "/once/x");
      fleet_->SetUnlisted({kLeaving});
      Publish();
      ExpectMoved();
    }
  }

  // Guards against a target that was taken out being sent what waits for as long as its health
  // check is good: it may exit at any time.
  void Leaving_TakenOutWhileItClaimsToServe_WhatWaitsRunsElsewhere() {
    for (const int ingress : {kIngress, kLeaving}) {
      SetUpFleet(seconds(2));
      FillTarget(ingress, "/once/x");
      fleet_->SetUnlisted({kLeaving});
      Publish();
      ExpectMoved();
    }
  }

  // Guards against requests that come after the target was taken out, wait for its slots, and are
  // sent to it when it may long have stopped serving.
  void Unlisted_AskedWhileItClaimsToServe_NothingWaitsThere() {
    for (const int ingress : {kIngress, kLeaving}) {
      for (const char* path : {"/safe/x", "/once/x"}) {
        SetUpFleet(seconds(2));
        FillTarget(ingress, path);
        fleet_->SetUnlisted({kLeaving});
        Publish();
        fleet_->RunFor(milliseconds(50));
        for (std::size_t i = 0; i < kSent; ++i) {
          results_.push_back(fleet_->Send(ingress, Request(path, 0)));
        }
        fleet_->RunUntil([&] { return Count(200) + held_.size() == 2 * kSent; }, kAtOnce);
        CPPUNIT_ASSERT_EQUAL(2 * kSent, Count(200) + held_.size());
        CPPUNIT_ASSERT(held_.size() <= kSlots);
      }
    }
  }

  // Guards against requests that move from target to target, and are refused in the end, where the
  // platform has lost all targets of a service.
  void Unlisted_AllTargetsAtOnce_WhatWaitsStays() {
    SetUpFleet(seconds(2));
    FillTarget(kIngress, "/once/x");
    fleet_->SetUnlisted({0, 1, 2, 3});
    Publish();
    fleet_->RunFor(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count(503));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count(200));
    ReleaseHeld();
    CPPUNIT_ASSERT(fleet_->RunUntil([&] {
      ReleaseHeld();
      return Count(200) == kSent;
    }));
  }

  void Leaving_AddressUsedAgain_WhatWaitsRunsElsewhere() {
    SetUpFleet();
    FillTarget(kIngress, "/once/x");
    fleet_->ReplaceInstance(kLeaving);
    // The new instance takes nothing yet, so that what moves goes to the other nodes.
    fleet_->SetDraining({kLeaving});
    ListAll();
    ExpectMoved();
  }

  // Guards against requests that neither run nor are refused while the last target of a service
  // leaves.
  void Leaving_NoOtherTarget_WhatWaitsIsRefused() {
    SetUpFleet();
    FillTarget(kIngress, "/once/x");
    fleet_->SetDraining({0, 1, 2, 3});
    ListAll();
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return Count(503) == kSent - running_; }, kAtOnce));
    ReleaseHeld();
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return Count(200) == running_; }));
    CPPUNIT_ASSERT_EQUAL(running_, fleet_->target(kLeaving).request_ids.size());
    for (const auto& result : results_) {
      CPPUNIT_ASSERT(result->status() == 200 || result->Contains("Retry-After: "));
    }
  }

  void Leaving_ListedAsReadyAgain_GetsRequests() {
    SetUpFleet();
    FillTarget(kIngress, "/once/x");
    fleet_->SetDraining({kLeaving});
    ListAll();
    ExpectMoved();
    fleet_->SetDraining({});
    Publish();
    holds_ = false;
    const std::size_t before = fleet_->target(kLeaving).request_ids.size();
    for (const int ingress : {kIngress, kLeaving}) {
      for (std::size_t i = 0; i < kSent; ++i) {
        results_.push_back(fleet_->Send(ingress, Request("/once/y", 0)));
      }
    }
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return Count(200) == 3 * kSent; }));
    CPPUNIT_ASSERT(fleet_->target(kLeaving).request_ids.size() > before);
  }

  // Guards against a target that gets nothing for the rest of its life as another one was at its
  // address once.
  void Leaving_OnceFoundAbsentAndListedAgain_GetsRequests() {
    SetUpFleet();
    bool is_other = true;
    fleet_->target(kLeaving).on_request = [&](scripted_target::scripted_request& request) {
      request.connection.Write(
          is_other ? "HTTP/1.1 421 Misdirected\r\nId: " + *request.request.Find("Id") +
                         "\r\nContent-Length: 0\r\n\r\n"
                   : scripted_target::Answer(request.request));
    };
    results_.push_back(fleet_->Send(kIngress, Request("/safe/x", 0)));
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return Count(503) == 1; }));
    is_other = false;
    fleet_->SetUnlisted({kLeaving});
    Publish();
    fleet_->RunFor(milliseconds(100));
    fleet_->SetUnlisted({0, 2, 3});
    Publish();
    results_.push_back(fleet_->Send(kIngress, Request("/safe/x", 0)));
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return Count(200) == 1; }, kAtOnce));
  }

  // Guards against the least important requests taking the free slots of other targets while the
  // most important ones are refused.
  void Leaving_QueueByImportance_MostImportantMoveFirst() {
    request_queue queue;
    queue.SetOrder(queue_order::kImportance);
    const instant now = FromMicros(1'000'000);
    for (std::uint64_t id = 1; id <= 9; ++id) {
      queue.Add({.id = id,
                 .priority = static_cast<std::uint32_t>(id % 3),
                 .last_useful_start = now + milliseconds(100 - id),
                 .arrived_at = now});
    }
    CPPUNIT_ASSERT(queue.IdsInOrder() == (std::vector<std::uint64_t>{9, 6, 3, 7, 4, 1, 8, 5, 2}));
  }

 private:
  // Only the target that will leave is listed, and it holds what it gets.
  void SetUpFleet(duration drain = duration::zero()) {
    results_.clear();
    held_.clear();
    health_checks_ = 0;
    holds_ = true;
    version_ = 1;
    fleet_ = std::make_unique<relay_fleet>(kNodes);
    for (int node = 0; node < kNodes; ++node) {
      relay_settings settings = fleet_->SettingsOf(node);
      settings.drain = drain;
      fleet_->node(node).ApplySettings(settings);
    }
    for (int node = 0; node < kNodes; ++node) {
      fleet_->target(node).on_request = [this, node](scripted_target::scripted_request& request) {
        OnRequest(node, request);
      };
    }
    fleet_->SetUnlisted({0, 2, 3});
    Publish();
  }

  void OnRequest(int node, scripted_target::scripted_request& request) {
    if (request.request.target == "/health") {
      health_checks_ += node == kLeaving ? 1 : 0;
      request.connection.Write("HTTP/1.1 200 OK\r\nInstance-Id: i-" + std::to_string(node) +
                               "\r\nContent-Length: 0\r\n\r\n");
    } else if (node == kLeaving && holds_) {
      held_.emplace_back(&request.connection, request.request);
    } else {
      request.connection.Write(scripted_target::Answer(request.request));
    }
  }

  void Publish() { fleet_->PublishToAll(++version_); }

  void ListAll() {
    fleet_->SetUnlisted({});
    Publish();
  }

  static std::string Request(const std::string& path, std::size_t body_bytes) {
    static int last = 0;
    const std::string id = "r-" + std::to_string(++last);
    return body_bytes == 0 ? relay_fleet::Get(path, id)
                           : relay_fleet::Post(path, id, std::string(body_bytes, 'b'));
  }

  void FillTarget(int ingress, const std::string& path, std::size_t body_bytes = 0) {
    for (std::size_t i = 0; i < kSent; ++i) {
      results_.push_back(fleet_->Send(ingress, Request(path, body_bytes)));
    }
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return held_.size() >= kMinRunning; }));
    fleet_->RunFor(milliseconds(100));
    // The others are listed before the target leaves, so that what waits has a place.
    fleet_->SetUnlisted({});
    Publish();
    fleet_->RunFor(milliseconds(50));
    running_ = held_.size();
    CPPUNIT_ASSERT(running_ <= kSlots);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count(503));
  }

  std::size_t Count(int status) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        results_, [status](const auto& result) { return result->status() == status; }));
  }

  void ReleaseHeld() {
    for (auto& [connection, head] : std::exchange(held_, {})) {
      connection->Write(scripted_target::Answer(head));
    }
  }

  void ExpectMoved() {
    fleet_->RunUntil([&] { return Count(200) == kSent - running_; }, kAtOnce);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        std::to_string(Count(503)) + " refused, " + std::to_string(Count(0)) + " without an answer",
        kSent - running_, Count(200));
    CPPUNIT_ASSERT_EQUAL(running_, held_.size());
    // None of the others gets most of what moves.
    for (const int other : {0, 2, 3}) {
      CPPUNIT_ASSERT(fleet_->target(other).request_ids.size() < 3 * (kSent - running_) / 4);
    }
    ReleaseHeld();
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return Count(200) == kSent; }));
    CPPUNIT_ASSERT_EQUAL(health_checks_, fleet_->target(kLeaving).closed_while_running);
    std::set<std::string> ids;
    for (int node = 0; node < kNodes; ++node) {
      for (const std::string& id : fleet_->target(node).request_ids) {
        CPPUNIT_ASSERT_MESSAGE(id + " ran twice", id.empty() || ids.insert(id).second);
      }
    }
  }

  std::unique_ptr<relay_fleet> fleet_;
  std::uint64_t version_ = 1;
  int health_checks_ = 0;
  // The leaving target answers nothing.
  bool holds_ = true;
  // Requests that the leaving target holds.
  std::size_t running_ = 0;
  std::vector<std::shared_ptr<client_result>> results_;
  std::deque<std::pair<tcp_connection*, http_head>> held_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_target_test);

}  // namespace cuminferry::testing
