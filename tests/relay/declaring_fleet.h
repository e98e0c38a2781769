#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "relay/relay_fleet.h"

namespace cuminferry::testing {

/** Real nodes whose backend servers declare a rate, or that they leave, in their answers. Clients
    send evenly to all nodes, and arrivals are counted as clients and backend servers see them. */
class declaring_fleet {
 public:
  /** Run time of each request. */
  static constexpr duration kRunTime = std::chrono::milliseconds(30);
  /** A node need not keep a rate sooner after it passed the first answer with it on. */
  static constexpr duration kNoticeTime = std::chrono::milliseconds(500);
  static constexpr duration kWindow = std::chrono::seconds(4);

  /** What a backend server puts into its answers. */
  struct declaration {
    /** Header field lines, each ending with CRLF. */
    std::string fields;
    /** It rejects all requests without running them. */
    bool rejects = false;
  };

  explicit declaring_fleet(int nodes);

  relay_fleet& fleet() { return fleet_; }
  void Declare(int target, declaration declared) { declared_[target] = std::move(declared); }
  /** Sends this many requests a second for `span`, evenly to all nodes, and waits for the answers.
   */
  void Send(double rate, duration span, const std::string& path = "/safe/x");
  void RestartNode(int node);

  /** The highest number of requests that a target received within `window`, of those that entered
      at nodes which had passed its declaration on kNoticeTime before. */
  int MostArrivals(int target, duration window = kWindow) const;
  /** Number of all requests that a target received since `from`. */
  int ArrivalsSince(int target, instant from) const;
  /** Number of requests that reached a target later than `slack` after the node at which they
      entered had passed on an answer in which the target declares something. */
  int ArrivalsAfterTold(int target, duration slack) const;
  int served() const { return CountStatus(200); }
  int refused() const { return CountStatus(503); }
  int sent() const { return static_cast<int>(statuses_.size()); }
  /** Whether all refusals said when to come back. */
  bool all_refusals_have_retry_after() const { return refusals_without_retry_after_ == 0; }
  void ForgetOutcomes() { statuses_.clear(); }
  instant now() { return fleet_.loop().Now(); }

 private:
  struct arrival {
    instant at;
    int ingress = 0;
  };

  void OnRequest(int target, scripted_target::scripted_request& exchange);
  void SendOne(int ingress, const std::string& path);
  void OnAnswer(int ingress, const http_head& head);
  int CountStatus(int status) const;
  static int IngressOf(const http_head& request);

  relay_fleet fleet_;
  int nodes_;
  int last_id_ = 0;
  int open_ = 0;
  std::map<int, declaration> declared_;
  std::map<int, std::vector<arrival>> arrivals_;
  // When an ingress node first passed on an answer of a target that declares something.
  std::map<std::pair<int, int>, instant> told_;
  std::vector<int> statuses_;
  int refusals_without_retry_after_ = 0;
  std::vector<std::unique_ptr<http_client>> clients_;
  std::vector<std::unique_ptr<client_exchange>> exchanges_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
};

}  // namespace cuminferry::testing
