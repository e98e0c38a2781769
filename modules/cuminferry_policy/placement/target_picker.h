#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/declared/event_rate.h"
#include "cuminferry_policy/declared/target_rate.h"
#include "cuminferry_policy/placement/picked_target.h"
#include "cuminferry_policy/placement/published_target.h"
#include "cuminferry_policy/placement/service_figures.h"
#include "cuminferry_policy/placement/target_load.h"
#include "cuminferry_policy/placement/target_report.h"

namespace cuminferry {

/** Picks a target for each request of one service.

    Handles uneven targets under a load close to the number of their slots: they differ in speed,
    some are warming up, some fail a fraction of their requests, some are unreachable. If all
    requests went to the target with the least time, a queue would form at the fast target while
    slots of slow targets are free. So the picker equalises the utilisation of targets, and once all
    are full, their waiting times. A target's own service time counts in full only for urgent
    requests.

    A target whose backend server declares a rate gets what this node may send to it, and more only
    if there is no other target.

    A pick costs the targets that it compares, however many there are.

    All figures come from the reports that the targets' nodes send with every answer and from the
    requests sent since. A target's statement about its own health is not used.
*/
class target_picker {
 public:
  /** If there are at most this many targets, all are compared; otherwise this many are drawn at
      random. */
  static constexpr std::size_t kMaxCompared = 6;
  /** Minimum number of compared targets that are in the caller's failure domain, if it has as
      many available. With six failure domains, six targets drawn from all include none of the
      caller's own in a third of the picks, and these requests would leave it without need. */
  static constexpr std::size_t kMinComparedInDomain = 3;
  /** Number of consecutive failures to reach a target after which requests avoid it for a
      while. */
  static constexpr std::uint32_t kFailuresToBackOff = 1;
  /** The first backoff; doubles with each further failure. */
  static constexpr duration kFirstBackoff = std::chrono::milliseconds(250);
  static constexpr duration kMaxBackoff = std::chrono::seconds(2);
  /** A target from which nothing was received for this long may have become unreachable. */
  static constexpr duration kReachabilityTimeout = std::chrono::seconds(1);
  /** A target whose success ratio is below this fraction of the best target's is an outlier:
      the cost of its failures is then several times its run time. */
  static constexpr double kOutlierSuccessRatio = 0.85;
  static constexpr duration kMaxReportAge = service_figures::kMaxReportAge;
  /** Part of a target's usual requests that is sent at the least to one that declares a rate, to
      learn from the answers when the declaration is over. */
  static constexpr double kTryShare = 0.2;

  target_picker() = default;
  // A copy would refer to the targets of the original.
  target_picker(const target_picker&) = delete;
  target_picker& operator=(const target_picker&) = delete;
  target_picker(target_picker&&) = default;
  target_picker& operator=(target_picker&&) = default;

  /** Replaces all targets. */
  void SetTargets(const std::vector<published_target>& targets);
  /** Adds a target or changes one. What is known of an earlier run with the same id is
      forgotten. */
  void SetTarget(const published_target& target);
  void RemoveTarget(std::string_view id);

  /** Parameters of one pick. */
  struct request {
    /** Targets that have already refused this request. */
    const std::set<std::string>& tried_targets;
    /** The failure domain from which the request is sent. */
    std::string_view own_domain;
    /** Whether the request has little time left, so that a fast target is preferred even if it
        is fuller. */
    bool urgent = false;
    /** Body bytes that the request will transfer in both directions, as far as known. */
    double body_bytes = 0.0;
    /** Whether a failure domain is unreachable now. Targets in such domains are picked only if
        there are no others. */
    std::function<bool(std::string_view)> cut_off = [](std::string_view) { return false; };
    /** If set, all nodes pick the same target for requests with this key, so that no two of
        these requests run concurrently. */
    std::optional<std::uint64_t> rendezvous_key = std::nullopt;
  };

  /** Returns the target to send to, or nullopt if all were tried. */
  std::optional<picked_target> Pick(const request& wanted, instant now, random_source& random);

  /** Whether the target fails so much more than the best one that requests avoid it. Its slots
      are then free while other targets carry its load. That free capacity must not be reported:
      ingress nodes to which it was reported admitted twice what one healthy target of three
      could carry. */
  bool IsOutlier(std::string_view id, instant now);
  /** Whether nothing indicates that the target is reachable now. */
  bool IsReachabilityUncertain(std::string_view id, instant now) const;

  //============================================================================
  /** Notes that a request was sent to the target. */
  void OnSent(std::string_view id, instant now);
  /** Notes that a request to the target has finished, with any outcome. */
  void OnDone(std::string_view id);
  void OnReport(std::string_view id, const target_report& report, instant now);
  /** Notes what the target's node reported of the rate that its backend server declares; nothing
      where it declares none. */
  void OnRateReport(std::string_view id, const std::optional<rate_report>& report, instant now);
  /** Notes that the target's node had no turn for a request within the declared rate. */
  void OnOverRate(std::string_view id, instant now);
  /** Notes that the target or its node is unreachable, or that a request to it was lost. */
  void OnUnreachable(std::string_view id, instant now);
  /** Notes that the target's node refused a request although this node's figures showed free
      capacity. */
  void OnTargetFull(std::string_view id, instant now);

 private:
  static constexpr duration kPickAveragingTime = std::chrono::seconds(2);

  struct target_state {
    published_target target;
    target_load load;
    target_rate rate;
    std::uint32_t failures = 0;
    instant backoff_until{};
  };
  using target_map = std::map<std::string, target_state, std::less<>>;
  /** The targets of a failure domain, in an order that each draw changes. */
  using domain_targets = std::vector<target_map::iterator>;
  /** Targets of a failure domain from which a pick draws; those before `next` were drawn. */
  struct draw_pool {
    domain_targets* targets = nullptr;
    std::size_t next = 0;
  };
  struct candidates {
    std::vector<target_state*> available;
    /** Targets to which this node may send nothing now for the sake of the rate they declare. */
    std::vector<target_state*> over_rate;
    /** Targets that back off or whose failure domain is cut off. */
    std::vector<target_state*> backing_off;
  };

  static target_state* PickByRendezvousHash(const std::vector<target_state*>& candidates,
                                            std::uint64_t key);
  target_state* PickByCost(const std::vector<target_state*>& candidates, const request& wanted,
                           instant now, random_source& random);
  candidates DrawCandidates(const request& wanted, std::size_t count, instant now,
                            random_source& random);
  /** Draws from the pools until there are `count` available targets or no more to draw. */
  void DrawFrom(std::span<draw_pool> pools, const request& wanted, std::size_t count, instant now,
                random_source& random, candidates& drawn) const;
  bool IsTryDue(const target_state& state, instant now) const;
  target_state* Find(std::string_view id);
  void RemoveFromDomain(target_map::iterator removed);

  target_map targets_;
  std::map<std::string, domain_targets, std::less<>> targets_by_domain_;
  service_figures figures_;
  event_rate picks_{kPickAveragingTime};
};

}  // namespace cuminferry
