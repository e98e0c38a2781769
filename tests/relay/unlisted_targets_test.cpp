#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminferry_relay/path/listed_instances.h"
#include "cuminferry_relay/path/peer_headers.h"
#include "cuminferry_relay/path/unlisted_exchange.h"
#include "cuminferry_relay/path/unlisted_headers.h"
#include "relay/relay_fleet.h"

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kDrain = milliseconds(2'500);
// Longer than an instance that nobody confirms is retained.
constexpr duration kPastUnconfirmed = unlisted_retention::kTime + milliseconds(400);

/** Stands in for the node of a backend server: answers requests for it and queries about it. */
class standin_node {
 public:
  /** What it says of its backend server. */
  struct script {
    /** Reply to a registration query; empty for status 400, as a node of the previous release
        replies. */
    std::string registration;
    /** Whether answers to requests confirm the run that the caller means. */
    bool confirms_in_answers = false;
    /** Whether answers say that the backend server has declared that it leaves. */
    bool is_leaving = false;
    /** Outcome with which it refuses requests; empty where it serves them. */
    std::string outcome;
  };

  standin_node(event_loop& loop, const endpoint& at) : server_(loop, at) {
    server_.on_head = [](scripted_target::scripted_request& from) {
      if (from.request.Find("Expect") != nullptr) {
        from.connection.Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
    };
    server_.on_request = [this](scripted_target::scripted_request& from) { OnRequest(from); };
  }

  script says;
  int requests = 0;
  /** Registration queries, in order. */
  std::vector<registration_query> queries;
  /** What requests said of the time for which the caller did not list the target. */
  std::vector<unlisted_notice> notices;
  /** Requests with the field Relay-Unlisted, whatever it contains. */
  int marked_requests = 0;

 private:
  static std::string AnswerText(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
  }

  void OnRequest(scripted_target::scripted_request& from) {
    const std::string& target = from.request.target;
    if (const auto query = registration_query::Parse(target);
        query && target.starts_with(kRegistrationPath)) {
      queries.push_back(*query);
      from.connection.Write(says.registration.empty() ? AnswerText(400, "", "")
                                                      : AnswerText(200, "", says.registration));
      return;
    }
    if (target.starts_with("/relay/")) {
      from.connection.Write(AnswerText(400, "", ""));
      return;
    }
    ++requests;
    std::string fields;
    if (const std::string* field = from.request.Find(kUnlistedField)) {
      ++marked_requests;
      if (const auto notice = unlisted_notice::Parse(*field)) {
        notices.push_back(*notice);
      }
      if (says.confirms_in_answers) {
        fields += std::string(kServingField) + ": 0\r\n";
      }
    }
    if (says.is_leaving) {
      fields += std::string(kLoadField) + ": " + load_header{}.ToText() + "\r\n" +
                std::string(kLeavingField) + ": 0\r\n";
    }
    if (!says.outcome.empty()) {
      fields += std::string(kOutcomeField) + ": " + says.outcome + "\r\n";
      from.connection.Write(AnswerText(503, fields, ""));
      return;
    }
    from.connection.Write(AnswerText(200, fields, "ok"));
  }

  scripted_target server_;
};

}  // namespace

/** Callers of backend servers that serve but are no longer listed. Node 0 is the caller; stand-ins
    are the nodes of the other instances. The platform lists none of the instances after the first
    requests, as where all machines of the service have lost their connection to it. */
class unlisted_targets_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(unlisted_targets_test);
  CPPUNIT_TEST(Unlisted_AnswersConfirm_CallerGoesOn);
  CPPUNIT_TEST(Unlisted_RepliesToQueriesConfirm_CallerGoesOn);
  CPPUNIT_TEST(Unlisted_Again_FirstQueriesAreDelayedAtRandom);
  CPPUNIT_TEST(Unlisted_NobodyConfirms_CallerStops);
  CPPUNIT_TEST(Unlisted_RequestRefusedAsLeaving_TargetGetsNothingMore);
  CPPUNIT_TEST(Unlisted_ReplyIsLeaving_TargetGetsNothingMore);
  CPPUNIT_TEST(Unlisted_ReplyIsOther_TargetGetsNothingMore);
  CPPUNIT_TEST(Unlisted_TargetStopsConfirming_IsDroppedAfterConfirmedTime);
  CPPUNIT_TEST(Unlisted_NodeStarts_LearnsThemFromAnother);
  CPPUNIT_TEST(Unlisted_ListedAgain_RequestsAreNoLongerMarked);
  CPPUNIT_TEST(Unlisted_DeclaredLeavingBefore_IsDroppedAtOnce);
  CPPUNIT_TEST(Unlisted_DeclaresLeavingLater_IsDroppedAtOnce);
  CPPUNIT_TEST(Unlisted_ServiceNoLongerDeclared_IsDropped);
  CPPUNIT_TEST(Unlisted_Retained_IsCountedInMetrics);
  CPPUNIT_TEST(ListedInstances_ItemOverwritten_IsNotReportedAsGone);
  CPPUNIT_TEST(RegistrationQuery_AnyPrintableId_IsReadAsWritten);
  CPPUNIT_TEST(RegistrationQuery_DamagedEscape_IsRejected);
  CPPUNIT_TEST(Unlisted_ClientSendsTheField_IsNotPassedOn);
  CPPUNIT_TEST(Unlisted_DrainTimeNotSet_CallerStopsAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a service without targets although all its backend servers serve: in a trial of
  // one day 23,369 requests failed in eight seconds.
  void Unlisted_AnswersConfirm_CallerGoesOn() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.confirms_in_answers = true}; });
    UnlistAll();
    CPPUNIT_ASSERT_EQUAL(0, CountRefused(seconds(4)));
    CPPUNIT_ASSERT_EQUAL(0, client_saw_field_);
    for (const auto& [number, at] : standins_) {
      CPPUNIT_ASSERT(at->requests > 0);
      CPPUNIT_ASSERT(!at->notices.empty());
      CPPUNIT_ASSERT(at->notices.back().unlisted_for > seconds(3));
    }
  }

  // Guards against a service that gets few requests losing its targets, as no answers confirm them.
  void Unlisted_RepliesToQueriesConfirm_CallerGoesOn() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    UnlistAll();
    fleet_->RunFor(seconds(6));
    CPPUNIT_ASSERT_EQUAL(200, StatusOfRequest());
    for (const auto& [number, at] : standins_) {
      CPPUNIT_ASSERT(at->queries.size() >= 4 && at->queries.size() <= 7);
      CPPUNIT_ASSERT_EQUAL("i-" + std::to_string(number), at->queries.front().instance);
    }
  }

  // Guards against all callers querying a node at the same moment when its instance is removed a
  // second time.
  void Unlisted_Again_FirstQueriesAreDelayedAtRandom() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    constexpr int kRemovals = 4;
    constexpr duration kFirstCheck = unlisted_exchange::kCheckPeriod + milliseconds(50);
    std::size_t immediate = 0;
    std::size_t all = 0;
    for (int removal = 0; removal < kRemovals; ++removal) {
      const std::size_t before = TotalQueries();
      fleet_->SetUnlisted({0, 1, 2, 3, kStartedNode});
      fleet_->PublishTo(0, 2 + 2 * removal);
      fleet_->RunFor(kFirstCheck);
      immediate += TotalQueries() - before;
      fleet_->RunFor(unlisted_queries::kMaxFirstDelay + unlisted_exchange::kCheckPeriod);
      all += TotalQueries() - before;
      fleet_->SetUnlisted({0, kStartedNode});
      fleet_->PublishTo(0, 3 + 2 * removal);
      // The previous queries no longer delay the next ones.
      fleet_->RunFor(unlisted_queries::kQueryPeriod);
    }
    CPPUNIT_ASSERT_EQUAL(kRemovals * standins_.size(), all);
    // About a quarter is expected.
    CPPUNIT_ASSERT(immediate < all * 2 / 3);
  }

  // Guards against requests to backend servers that have left, at nodes of the previous release
  // too, which confirm nothing.
  void Unlisted_NobodyConfirms_CallerStops() {
    SetUp(kDrain);
    UnlistAll();
    CPPUNIT_ASSERT_EQUAL(200, StatusOfRequest());
    fleet_->RunFor(kPastUnconfirmed);
    const int before = TotalRequests();
    CPPUNIT_ASSERT_EQUAL(503, StatusOfRequest());
    CPPUNIT_ASSERT_EQUAL(before, TotalRequests());
  }

  void Unlisted_RequestRefusedAsLeaving_TargetGetsNothingMore() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    standins_.at(1)->says = {.registration = "serving", .outcome = "leaving"};
    const int before = standins_.at(1)->requests;
    UnlistAll();
    CPPUNIT_ASSERT_EQUAL(0, CountRefused(seconds(2)));
    CPPUNIT_ASSERT(standins_.at(1)->requests <= before + 1);
    CPPUNIT_ASSERT(standins_.at(2)->requests > 10);
  }

  void Unlisted_ReplyIsLeaving_TargetGetsNothingMore() { CheckDenial("leaving"); }

  void Unlisted_ReplyIsOther_TargetGetsNothingMore() { CheckDenial("other"); }

  // Guards against a caller trusting an old confirmation for ever.
  void Unlisted_TargetStopsConfirming_IsDroppedAfterConfirmedTime() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    UnlistAll();
    fleet_->RunFor(seconds(2));
    ForEach([](standin_node& at) { at.says = {.registration = "undecided"}; });
    fleet_->RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(200, StatusOfRequest());
    fleet_->RunFor(unlisted_retention::kTime);
    CPPUNIT_ASSERT_EQUAL(503, StatusOfRequest());
  }

  // Guards against a node that starts while a service is not listed refusing all requests for it.
  void Unlisted_NodeStarts_LearnsThemFromAnother() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    UnlistAll();
    fleet_->RunFor(seconds(2));
    fleet_->StartNode(kStartedNode);
    relay_settings settings = fleet_->SettingsOf(kStartedNode);
    settings.drain = kDrain;
    settings.seeds = {fleet_->SeedAddress(0)};
    fleet_->node(kStartedNode).ApplySettings(settings);
    // The node has the items within a second. Then it has the unlisted instances, too, and retains
    // them for longer than without confirmation.
    fleet_->RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(200, StatusOfRequest(kStartedNode));
    fleet_->RunFor(seconds(3));
    CPPUNIT_ASSERT_EQUAL(200, StatusOfRequest(kStartedNode));
  }

  void Unlisted_ListedAgain_RequestsAreNoLongerMarked() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.confirms_in_answers = true}; });
    UnlistAll();
    CPPUNIT_ASSERT_EQUAL(0, CountRefused(milliseconds(200)));
    fleet_->SetUnlisted({});
    fleet_->PublishTo(0, 3);
    int marked = 0;
    ForEach([&marked](standin_node& at) { marked += at.marked_requests; });
    CPPUNIT_ASSERT(marked > 0);
    CPPUNIT_ASSERT_EQUAL(0, CountRefused(seconds(2)));
    ForEach([&marked](standin_node& at) { marked -= at.marked_requests; });
    CPPUNIT_ASSERT_EQUAL(0, marked);
  }

  // Guards against requests to an instance that has announced in its answers that it stops.
  void Unlisted_DeclaredLeavingBefore_IsDroppedAtOnce() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    standins_.at(1)->says.is_leaving = true;
    CPPUNIT_ASSERT_EQUAL(0, CountRefusedUntilAsked(1));
    UnlistAll();
    CPPUNIT_ASSERT_EQUAL(std::string("2"), UnlistedGauge());
    fleet_->RunFor(seconds(1));
    CPPUNIT_ASSERT(standins_.at(1)->queries.empty());
    CPPUNIT_ASSERT(!standins_.at(2)->queries.empty());
  }

  void Unlisted_DeclaresLeavingLater_IsDroppedAtOnce() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    UnlistAll();
    CPPUNIT_ASSERT_EQUAL(std::string("3"), UnlistedGauge());
    standins_.at(1)->says.is_leaving = true;
    CPPUNIT_ASSERT_EQUAL(0, CountRefusedUntilAsked(1));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), UnlistedGauge());
  }

  // Guards against instances of a service that operators removed staying for as long as their nodes
  // confirm them.
  void Unlisted_ServiceNoLongerDeclared_IsDropped() {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    UnlistAll();
    fleet_->RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), UnlistedGauge());
    fleet_->SetDeclaredService("permits");
    fleet_->PublishTo(0, 3);
    CPPUNIT_ASSERT_EQUAL(std::string("0"), UnlistedGauge());
  }

  void Unlisted_Retained_IsCountedInMetrics() {
    SetUp(kDrain);
    CPPUNIT_ASSERT_EQUAL(std::string("0"), UnlistedGauge());
    UnlistAll();
    CPPUNIT_ASSERT_EQUAL(std::string("3"), UnlistedGauge());
    fleet_->RunFor(kPastUnconfirmed);
    CPPUNIT_ASSERT_EQUAL(std::string("0"), UnlistedGauge());
  }

  // Guards against an entry that another program overwrote being taken for one that expired.
  void ListedInstances_ItemOverwritten_IsNotReportedAsGone() {
    listed_instances listed([](const published_item& item) {
      return item.value == "x" ? std::optional(service_instance{.id = "x", .service = "maps"})
                               : std::nullopt;
    });
    const auto changes_with = [&](const std::vector<published_item>& published) {
      item_replica items;
      items.Apply({.complete_to = 1, .whole = true, .items = published, .age_micros = 0});
      return listed.OnChanged(items, {"k"});
    };
    const published_item written{.key = "k", .value = "x", .revision = 1};
    const published_item overwritten{.key = "k", .value = "y", .revision = 1};
    CPPUNIT_ASSERT(changes_with({written}).front().listed);
    CPPUNIT_ASSERT(!changes_with({overwritten}).front().is_item_gone);
    CPPUNIT_ASSERT(changes_with({written}).front().listed);
    CPPUNIT_ASSERT(changes_with({}).front().is_item_gone);
  }

  // Guards against a node replying for another id than the caller means, or a request line that
  // can't be parsed: ids may hold any printable character.
  void RegistrationQuery_AnyPrintableId_IsReadAsWritten() {
    std::vector<std::string> instances{"a&run=7", "a b", "50%", "%41", "x#y?z=1", "ü"};
    for (char printable = ' '; printable <= '~'; ++printable) {
      instances.push_back(std::string("i-") + printable);
    }
    for (const std::string& instance : instances) {
      const registration_query query{
          .instance = instance,
          .notice = {.started_millis = 1'700'000'000'123, .unlisted_for = milliseconds(250)}};
      const std::string target = query.ToTarget();
      CPPUNIT_ASSERT(target.find_first_of(" #") == std::string::npos);
      const auto read = registration_query::Parse(target);
      CPPUNIT_ASSERT(read);
      CPPUNIT_ASSERT_EQUAL(instance, read->instance);
      CPPUNIT_ASSERT_EQUAL(query.notice.started_millis, read->notice.started_millis);
      CPPUNIT_ASSERT(query.notice.unlisted_for == read->notice.unlisted_for);
    }
  }

  void RegistrationQuery_DamagedEscape_IsRejected() {
    const auto is_read = [](const std::string& id) {
      return registration_query::Parse(std::string(kRegistrationPath) + "?id=" + id +
                                       "&run=0&unlisted_ms=0")
          .has_value();
    };
    CPPUNIT_ASSERT(is_read("i-1"));
    CPPUNIT_ASSERT(is_read("i%2d1"));
    for (const std::string id : {"", "i%", "i%4", "i%zz", "i%-1", "i%4g"}) {
      CPPUNIT_ASSERT(!is_read(id));
    }
  }

  // Guards against a client making a node believe that its instance is not listed.
  void Unlisted_ClientSendsTheField_IsNotPassedOn() {
    SetUp(kDrain);
    CPPUNIT_ASSERT_EQUAL(200, StatusOfRequest(0, "Relay-Unlisted: 7 7\r\n"));
    ForEach([](standin_node& at) { CPPUNIT_ASSERT_EQUAL(0, at.marked_requests); });
  }

  void Unlisted_DrainTimeNotSet_CallerStopsAtOnce() {
    SetUp(duration::zero());
    ForEach([](standin_node& at) {
      at.says = {.registration = "serving", .confirms_in_answers = true};
    });
    UnlistAll();
    const int before = TotalRequests();
    CPPUNIT_ASSERT_EQUAL(503, StatusOfRequest());
    fleet_->RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(before, TotalRequests());
    ForEach([](standin_node& at) { CPPUNIT_ASSERT(at.queries.empty()); });
  }

  void tearDown() override {
    standins_.clear();
    fleet_.reset();
  }

 private:
  static constexpr int kStartedNode = 4;
  static constexpr int kNodes = 5;

  // Starts the caller, without a backend server, and three stand-ins, and lists the instances of
  // these nodes.
  void SetUp(duration drain) {
    fleet_ = std::make_unique<relay_fleet>(kNodes);
    relay_settings settings = fleet_->SettingsOf(0);
    settings.drain = drain;
    fleet_->node(0).ApplySettings(settings);
    for (int node = 0; node < kNodes; ++node) {
      fleet_->StopTarget(node);
    }
    for (int node = 1; node < kNodes; ++node) {
      fleet_->StopNode(node);
      if (node != kStartedNode) {
        standins_[node] = std::make_unique<standin_node>(fleet_->loop(), fleet_->PeerAddress(node));
      }
    }
    fleet_->SetUnlisted({0, kStartedNode});
    fleet_->PublishTo(0, 1);
    CPPUNIT_ASSERT_EQUAL(200, StatusOfRequest());
  }

  void UnlistAll() {
    fleet_->SetUnlisted({0, 1, 2, 3, kStartedNode});
    fleet_->PublishTo(0, 2);
  }

  template <typename Action>
  void ForEach(Action action) {
    for (const auto& [number, at] : standins_) {
      action(*at);
    }
  }

  int TotalRequests() {
    int total = 0;
    ForEach([&total](standin_node& at) { total += at.requests; });
    return total;
  }

  std::size_t TotalQueries() {
    std::size_t total = 0;
    ForEach([&total](standin_node& at) { total += at.queries.size(); });
    return total;
  }

  // Returns the value of the metric at the caller.
  std::string UnlistedGauge() {
    const auto page =
        fleet_->SendTo(fleet_->SettingsOf(0).metrics, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n");
    const std::string name = "\ncuminferry_unlisted_targets ";
    CPPUNIT_ASSERT(fleet_->RunUntil([&] {
      const auto at = page->bytes.find(name);
      return at != std::string::npos &&
             page->bytes.find('\n', at + name.size()) != std::string::npos;
    }));
    const auto begin = page->bytes.find(name) + name.size();
    return page->bytes.substr(begin, page->bytes.find('\n', begin) - begin);
  }

  int StatusOfRequest(int node = 0, std::string_view fields = "") {
    const std::string id = "r-" + std::to_string(++last_request_);
    const auto result = fleet_->Send(node, relay_fleet::Get("/safe/x", id, fields));
    CPPUNIT_ASSERT(fleet_->RunUntil([&] { return result->status() != 0; }));
    client_saw_field_ += result->Contains(kServingField) ? 1 : 0;
    return result->status();
  }

  // Sends requests one after another, some 20 a second, and counts those that are not answered.
  int CountRefused(duration span) {
    int refused = 0;
    for (const instant end = fleet_->loop().Now() + span; fleet_->loop().Now() < end;) {
      refused += StatusOfRequest() == 200 ? 0 : 1;
      fleet_->RunFor(milliseconds(50));
    }
    return refused;
  }

  // Targets are picked at random, so that some requests may pass before one reaches this node.
  int CountRefusedUntilAsked(int node) {
    const int before = standins_.at(node)->requests;
    const instant end = fleet_->loop().Now() + seconds(10);
    int refused = 0;
    while (standins_.at(node)->requests == before && fleet_->loop().Now() < end) {
      refused += CountRefused(milliseconds(50));
    }
    CPPUNIT_ASSERT(standins_.at(node)->requests > before);
    return refused;
  }

  void CheckDenial(const std::string& reply) {
    SetUp(kDrain);
    ForEach([](standin_node& at) { at.says = {.registration = "serving"}; });
    standins_.at(1)->says = {.registration = reply};
    UnlistAll();
    fleet_->RunFor(milliseconds(800));
    const int before = standins_.at(1)->requests;
    CPPUNIT_ASSERT_EQUAL(0, CountRefused(seconds(1)));
    CPPUNIT_ASSERT_EQUAL(before, standins_.at(1)->requests);
  }

  std::unique_ptr<relay_fleet> fleet_;
  std::map<int, std::unique_ptr<standin_node>> standins_;
  int last_request_ = 0;
  int client_saw_field_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(unlisted_targets_test);

}  // namespace cuminferry::testing
