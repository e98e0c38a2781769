#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::testing {

/** How a request ended for the one who sent it. */
enum class request_end : std::uint8_t {
  kOpen,      ///< not yet
  kAnswered,  ///< a whole answer of a backend server, success or failure
  kRefused,   ///< told that it has not run and will not
  kUnknown,   ///< told 502 or 504: it may have run
  kNoRow,     ///< told 404
  kBroken,    ///< the connection ended without a whole answer
  kNotSent,   ///< no connection came about
  kLeft,      ///< its sender gave up
};

/** One request of a client, or one call of a backend server. */
struct sent_request {
  std::string id;
  std::string row;
  std::string service;
  /** Number of the node that it was sent to. */
  std::size_t node = 0;
  /** Which start of that node's process. */
  int incarnation = 0;
  bool idempotent = false;
  bool nested = false;
  /** Number of the edit that added its row; 0 for rows that always stand. */
  int edit = 0;
  instant sent{};
  duration timeout{};
  request_end end = request_end::kOpen;
  instant ended{};
  int status = 0;
};

/** A backend server's part in a request. */
struct seen_run {
  std::string id;
  std::size_t target = 0;
  std::string service;
  std::string caller_service;
  instant began{};
  instant ended{};
  /** It worked on the request; else it turned the request away. */
  bool ran = false;
  /** The backend server itself broke the answer off or damaged it. */
  bool harmed = false;
};

/** A time in which something was wrong or was being changed. */
struct disturbance {
  enum class kind : std::uint8_t {
    kHarm,   ///< not planned: kills, pauses, harmed connections, failing backend servers
    kStore,  ///< the platform's store, or a node's way to it
  };
  static constexpr std::size_t kAllNodes = ~std::size_t{0};

  kind what = kind::kHarm;
  std::size_t node = kAllNodes;
  instant begin{};
  instant end{};
};

/** What was asked, run and answered in one soak, and the promises that it must
    keep. Kept by the soak's own clients and backend servers: it knows nothing of
    what the nodes believe. */
class soak_ledger {
 public:
  /** For this long after a disturbance the bounds on time don't hold. */
  static constexpr duration kSettle = std::chrono::seconds(3);
  /** An edit or a leaving is in force everywhere after this. */
  static constexpr duration kSpread = std::chrono::seconds(2);
  /** A final answer comes no later than this after the row's timeout. */
  static constexpr duration kAnswerSlack = std::chrono::milliseconds(500);
  static constexpr double kRepeatRatio = 0.2;
  static constexpr duration kRepeatWindow = std::chrono::seconds(10);

  explicit soak_ledger(double repeat_allowance) : repeat_allowance_(repeat_allowance) {}

  //============================================================================
  /** The entry stays where it is until the ledger goes. */
  sent_request& OnSent(sent_request request);
  seen_run& OnArrival(seen_run run);
  /** Its end may be set later. */
  disturbance& OnDisturbance(const disturbance& seen) { return disturbances_.emplace_back(seen); }
  /** The store has accepted the edit of this number. */
  void OnEdit(int number, instant at) { edits_[number] = at; }
  /** The store has accepted that this backend server leaves. */
  void OnLeaving(std::size_t target, instant at) { leaving_[target] = at; }
  /** From now until `end` nothing is wrong any more: nearly all must be served. */
  void OnCalm(instant begin, instant end) { calm_.emplace_back(begin, end); }
  /** A broken promise that is seen at once. */
  void OnViolation(std::string text) { violations_.push_back(std::move(text)); }

  //============================================================================
  /** All broken promises, one a line; empty where all were kept. */
  std::vector<std::string> Check() const;
  /** Numbers of requests by their end, for the report. */
  std::string Summary() const;

 private:
  using violations = std::vector<std::string>;

  bool Disturbed(disturbance::kind what, std::size_t node, instant from, instant to) const;
  /** Nothing unplanned touched any node around this request. */
  bool Undisturbed(const sent_request& request) const;
  const std::vector<const seen_run*>& RunsOf(const std::string& id) const;

  void CheckRunOnce(violations& into) const;
  void CheckRefusals(violations& into) const;
  void CheckCallers(violations& into) const;
  void CheckCuts(violations& into) const;
  void CheckLateAnswers(violations& into) const;
  void CheckEdits(violations& into) const;
  void CheckRegression(violations& into) const;
  void CheckLeaving(violations& into) const;
  void CheckRepeats(violations& into) const;
  void CheckCalm(violations& into) const;

  double repeat_allowance_;
  std::map<std::string, sent_request, std::less<>> requests_;
  std::vector<std::unique_ptr<seen_run>> runs_;
  std::map<std::string, std::vector<const seen_run*>> runs_by_id_;
  std::deque<disturbance> disturbances_;
  std::map<int, instant> edits_;
  std::map<std::size_t, instant> leaving_;
  std::vector<std::pair<instant, instant>> calm_;
  violations violations_;
};

}  // namespace cuminferry::testing
