#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"
#include "support/event_queue.h"

namespace cuminferry::testing {

/** Simulates one service in virtual time: targets that declare rates, the decisions of all nodes,
   and clients that send two rows to them, "first" (refused last) and "second". Counts what each
   target gets from nodes that were told. */
class declared_rate_world {
 public:
  struct options {
    std::uint64_t seed = 1;
    int nodes = 6;
    /** The first nodes have a target each; the others are ingress nodes only. */
    int targets = 6;
    /** Client requests a second of both rows together, over all nodes. */
    double load = 360.0;
    /** Each ingress node gets from one to this many times the load of the others. */
    double unevenness = 1.0;
    duration run_time = std::chrono::milliseconds(60);
    std::uint32_t slots = 40;
    /** Share of requests that a target rejects without running them. */
    double rejections = 0.0;
  };

  /** Time after which a node that was told must keep to a rate, and length of a window. */
  static constexpr duration kNoticeTime = std::chrono::milliseconds(500);
  static constexpr duration kWindow = std::chrono::seconds(4);
  /** A rate need not be kept earlier than this after it was first declared. */
  static constexpr duration kFirstNoticeTime = std::chrono::seconds(3);

  explicit declared_rate_world(const options& chosen);
  ~declared_rate_world();
  declared_rate_world(const declared_rate_world&) = delete;
  declared_rate_world& operator=(const declared_rate_world&) = delete;

  //============================================================================
  void Run(duration span) { events_.RunUntil(events_.now() + span); }
  /** Runs `act` after this time. */
  void After(duration span, std::function<void()> act) {
    events_.ScheduleAfter(span, std::move(act));
  }
  /** From now on the target's answers declare this rate, or none. */
  void Declare(int target, std::optional<double> rate);
  /** The process of a node ends and starts anew after this time, knowing nothing. */
  void RestartNode(int node, duration outage);
  /** The process of a node stands still for this long. */
  void FreezeNode(int node, duration span);
  /** Nothing passes between a node and the others for this long. */
  void CutNode(int node, duration span);
  /** A target ends and starts anew, declaring nothing.
      @param keeps_id  whether it has its former id, and only a new start time */
  void RestartTarget(int target, bool keeps_id);

  //============================================================================
  /** The highest number of requests that a target got in any window, as a part of what its declared
      rate allows: one and a half times the rate, and five. */
  double WorstPart() const;
  /** Requests that a target received from `from` on. */
  int Arrivals(int target, instant from) const;
  int sent(const std::string& row) const { return Get(sent_, row); }
  int served(const std::string& row) const { return Get(served_, row); }
  /** Forgets what was sent and served. */
  void StartCounting();
  /** Share of placements that were turned away, as the target had no turn. */
  double over_rate_share() const {
    return static_cast<double>(over_rate_) / std::max(1, placements_);
  }
  instant now() const { return events_.now(); }

 private:
  struct node;
  struct request;
  struct target;
  struct arrival {
    instant at;
    bool was_told = false;
  };
  using shared_request = std::shared_ptr<request>;

  static int Get(const std::map<std::string, int>& counts, const std::string& row) {
    const auto found = counts.find(row);
    return found == counts.end() ? 0 : found->second;
  }
  published_target Published(int target) const;
  void ScheduleClient(int ingress, double per_second);
  void SendByClient(int ingress);
  void Place(const shared_request& before);
  void Deliver(int from, int to, std::function<void()> act);
  void ArriveAtNode(const shared_request& sent);
  void OfferSlot(const shared_request& sent);
  void StartRun(const shared_request& started);
  void SendToTarget(const shared_request& started);
  void FinishRun(const shared_request& run, bool was_rejected);
  void OnAnswer(const shared_request& run, bool was_rejected);
  void Reply(const shared_request& sent, bool was_served, bool is_over_rate);
  void OnReply(const shared_request& sent, bool was_served, bool is_over_rate);
  void StartWaiting(int at);
  void ScheduleTurn(int at);
  void Step();
  double RateAllowed(const target& of, instant from, instant to) const;

  options options_;
  random_source random_;
  event_queue events_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::vector<std::unique_ptr<target>> targets_;
  std::uint64_t last_id_ = 0;
  std::map<std::string, int> sent_;
  std::map<std::string, int> served_;
  int over_rate_ = 0;
  int placements_ = 0;
};

}  // namespace cuminferry::testing
