#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::testing {

/** Outcome of a request as its client sees it. */
enum class request_outcome : std::uint8_t {
  kPending,         ///< not finished yet
  kAnswered,        ///< a complete answer of a backend server, success or failure
  kRefused,         ///< a status that promises that the request has not run
  kUnknown,         ///< status 502 or 504: the request may have run
  kNoRow,           ///< status 404
  kConnectionLost,  ///< the connection ended, or 4 s passed after the timeout, before
                    ///< the answer was complete
  kNotSent,         ///< no connection was established
  kAbandoned,       ///< the client closed the connection
};

/** One request of a client, or one call of a backend server. */
struct sent_request {
  std::string id;
  std::string row;
  std::string service;
  /** Number of the node that received the request. */
  std::size_t node = 0;
  /** Number of starts of that node's process so far. */
  int incarnation = 0;
  bool idempotent = false;
  bool nested = false;
  /** Number of the edit that added the row; 0 for rows that are in every table. */
  int edit = 0;
  instant sent{};
  duration timeout{};
  request_outcome outcome = request_outcome::kPending;
  instant ended{};
  int status = 0;
};

/** The arrival of a request at a backend server. */
struct observed_run {
  std::string id;
  std::size_t target = 0;
  std::string service;
  std::string caller_service;
  instant arrived{};
  instant began{};
  instant ended{};
  /** The backend server ran the request; otherwise it rejected or never started it. */
  bool ran = false;
  /** The backend server itself truncated, dropped or damaged the answer. */
  bool answer_damaged = false;
};

/** A period with a fault, during which some guarantees do not hold. */
struct disturbance {
  enum class kind : std::uint8_t {
    kFault,  ///< kills, pauses, connection faults, failing backend servers
    kStore,  ///< faults of the platform's store or of a node's connection to it
  };
  static constexpr std::size_t kAllNodes = ~std::size_t{0};

  kind type = kind::kFault;
  std::size_t node = kAllNodes;
  instant begin{};
  instant end{};
};

/** A time in which a backend server declares something in its answers. */
struct declared_period {
  enum class kind : std::uint8_t { kRate, kLeaving };

  kind type = kind::kRate;
  std::size_t target = 0;
  /** Requests a second; kRate only. */
  double rate = 0.0;
  instant begin{};
  instant end{};
  /** When each process of a node first passed on such an answer, by node and incarnation. */
  std::map<std::pair<std::size_t, int>, instant> told;
};

/** A time in which a backend server served and was not leaving. */
struct serving_period {
  std::size_t target = 0;
  std::size_t node = 0;
  std::string service;
  /** When its entry was first written. */
  instant begin{};
  instant end{};
};

/** Breaches of the promises that work which is not idempotent runs at most once, and that a refused
    request has not run. */
struct at_most_once_breaches {
  /** One line for each request that ran more than once. */
  std::vector<std::string> ran_twice;
  /** One line for each request that was refused with a promise and ran. */
  std::vector<std::string> refused_and_ran;
  /** The same for idempotent requests, where a second run does no harm. */
  std::vector<std::string> refused_and_ran_idempotent;
};

/** Records what was sent, run and answered in one soak, and checks the guarantees.
    The records come from the soak's own clients and backend servers only, never from
    what the nodes report. Recording is thread-safe; a returned reference is for the thread that
    called. The checks are for the time after all threads have ended. */
class soak_ledger {
 public:
  /** The bounds on time do not hold for this long after a disturbance. */
  static constexpr duration kRecoveryMargin = std::chrono::seconds(3);
  /** An edit or a drain is in force on all nodes after this time. */
  static constexpr duration kMaxPropagationTime = std::chrono::seconds(2);
  /** The answer arrives at most this long after the row's timeout. */
  static constexpr duration kAnswerSlack = std::chrono::milliseconds(500);
  static constexpr double kRepeatRatio = 0.2;
  static constexpr duration kRepeatWindow = std::chrono::seconds(10);
  /** A node keeps to what a backend server declares this long after it passed on the first such
      answer. */
  static constexpr duration kNoticeTime = std::chrono::milliseconds(500);
  /** A backend server that declares a rate gets at most kRateFactor times as much and kRateSlack
      requests more in any window, from kRateStartTime after the first declaration. */
  static constexpr duration kRateWindow = std::chrono::seconds(4);
  static constexpr duration kRateStartTime = std::chrono::seconds(1);
  static constexpr double kRateFactor = 1.5;
  static constexpr double kRateSlack = 5.0;

  /** Within this time some request reaches a service, a backend server of which serves. */
  static constexpr duration kTargetWindow = std::chrono::seconds(1);
  static constexpr std::size_t kMinRequestsPerWindow = 10;

  explicit soak_ledger(double repeat_allowance) : repeat_allowance_(repeat_allowance) {}

  //============================================================================
  /** The returned reference is valid as long as the ledger. */
  sent_request& OnSent(sent_request request);
  observed_run& OnArrival(observed_run run);
  /** The end of the returned disturbance may be set later. */
  disturbance& OnDisturbance(const disturbance& seen) { return disturbances_.emplace_back(seen); }
  /** Records when the store accepted the edit with this number. */
  void OnEdit(int number, instant at) { edits_[number] = at; }
  /** Records when the store accepted that this backend server drains. */
  void OnDraining(std::size_t target, instant at) { draining_[target] = at; }
  /** Records when the store removed the entry of this backend server, which leaves and was never
      listed as draining.
      @param last_arrival  the latest time at which a request may reach it */
  void OnLeftUnlisted(std::size_t target, std::size_t node, instant removed, instant last_arrival) {
    left_.push_back({target, node, removed, last_arrival});
  }
  /** The end of the returned period may be set later. */
  serving_period& OnServing(serving_period period) {
    return serving_.emplace_back(std::move(period));
  }
  void OnDeclared(declared_period declared) { declared_.push_back(std::move(declared)); }
  /** An answer of this target in which it declares something was passed on to a client or, as the
      answer of a call, to a backend server. */
  void OnToldOf(declared_period::kind type, std::size_t target, const sent_request& answered,
                instant now);
  /** Between `begin` and `end` no fault is active: at least 90 % of requests must succeed. */
  void OnFaultFreePeriod(instant begin, instant end) {
    fault_free_periods_.emplace_back(begin, end);
  }
  /** Records a violation that is detected while the soak runs. */
  void OnViolation(std::string text);

  //============================================================================
  /** One line for each violated guarantee; empty if there is none. */
  std::vector<std::string> Check() const;
  /** What Check() finds of runs, each with the request's arrivals. */
  at_most_once_breaches CheckAtMostOnce() const;
  /** What was recorded by OnViolation(). */
  const std::vector<std::string>& Recorded() const { return violations_; }
  /** Number of requests per outcome. */
  std::string CountOutcomes() const;
  /** The same, and the use of the bound on repeats. */
  std::string Summary() const;

 private:
  using violations = std::vector<std::string>;
  struct unlisted_leaver {
    std::size_t target = 0;
    std::size_t node = 0;
    instant removed{};
    instant last_arrival{};
  };

  bool WasDisturbed(disturbance::kind type, std::size_t node, instant from, instant to) const;
  /** A store fault of the whole store, not of one node's connection, overlaps this time. */
  bool WasStoreDisturbed(instant from, instant to) const;
  /** No kFault disturbance of any node overlaps this request. */
  bool WasWithoutFault(const sent_request& request) const;
  const std::vector<const observed_run*>& RunsOf(const std::string& id) const;
  std::string DescribeArrivals(const sent_request& request) const;

  void CheckSenders(violations& into) const;
  void CheckCallers(violations& into) const;
  void CheckLostAnswers(violations& into) const;
  void CheckLateAnswers(violations& into) const;
  void CheckEdits(violations& into) const;
  void CheckRegression(violations& into) const;
  void CheckDraining(violations& into) const;
  void CheckDeclaredRates(violations& into) const;
  void CheckDeclaredLeaving(violations& into) const;
  void CheckLeftUnlisted(violations& into) const;
  void CheckServiceTargets(violations& into) const;
  /** The window in which a service had most repeats as a share of the bound. */
  struct repeat_use {
    std::string service;
    std::ptrdiff_t repeats = 0;
    std::ptrdiff_t requests = 0;
    double share = 0.0;
  };
  std::vector<repeat_use> LargestRepeatUses() const;
  void CheckRepeats(violations& into) const;
  void CheckFaultFreePeriods(violations& into) const;

  double repeat_allowance_;
  std::mutex mutex_;
  std::map<std::string, sent_request, std::less<>> requests_;
  std::vector<std::unique_ptr<observed_run>> runs_;
  std::map<std::string, std::vector<const observed_run*>> runs_by_id_;
  std::deque<disturbance> disturbances_;
  std::map<int, instant> edits_;
  std::map<std::size_t, instant> draining_;
  std::vector<declared_period> declared_;
  std::vector<unlisted_leaver> left_;
  std::deque<serving_period> serving_;
  std::vector<std::pair<instant, instant>> fault_free_periods_;
  violations violations_;
};

}  // namespace cuminferry::testing
