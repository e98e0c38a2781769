#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One backend server that a service's requests may go to, as published. */
struct published_target {
  /** Of this start of the backend server; a restart has another. */
  std::string id;
  endpoint backend;
  std::string failure_domain;
  std::uint32_t slots = 1;
  /** It runs slower than usual until then. */
  instant warm_from{};

  bool operator==(const published_target&) const = default;
};

/** What a target's node told with an answer. */
struct target_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t limit = 1;
  duration service_time{};
  /** Part of the target's recent answers that were successes, 0 to 1. */
  double success = 1.0;
  /** Its node is about to stop: it serves for a few seconds more. */
  bool stopping = false;
};

/** Picks a target for each request of one service.

    Answers uneven targets under a load near their slots: they differ in speed,
    some are cold, some fail part of what they get, some can't be reached. Slots
    of slow targets are slots, too: where all requests go for the least time, a
    queue stands before the fast target while slots of slow ones are free. So
    targets are filled alike, and waits are made alike once all are full; a
    target's own time counts in full only for requests that have little.
    All is worked out from what targets' nodes tell with every answer and from
    what was sent since. What a target says of its own health is not used.
*/
class target_picker {
 public:
  /** Up to this many targets are all compared; of more, this many are drawn. */
  static constexpr std::size_t kCompared = 6;
  /** Failures in a row to reach a target after which it rests. */
  static constexpr std::uint32_t kFailuresToRest = 1;
  /** The first rest, doubled with each further failure. */
  static constexpr duration kFirstRest = std::chrono::milliseconds(250);
  static constexpr duration kLongestRest = std::chrono::seconds(2);
  /** A target that was not heard from for so long may have gone silent since. */
  static constexpr duration kDoubtAfter = std::chrono::seconds(1);
  /** A target with less than this part of the best one's successes is passed over: the
      cost of its failures is then several times its run time. */
  static constexpr double kPassedOverShare = 0.85;
  /** An older report counts as unknown. */
  static constexpr duration kReportAge = std::chrono::seconds(2);

  void SetTargets(const std::vector<published_target>& targets);

  /** What is asked of a pick. */
  struct request {
    /** Targets that have turned this request away already. */
    const std::set<std::string>& tried;
    /** The failure domain that the request is sent from. */
    std::string_view own_domain;
    /** The request has little time: a fast target is worth a fuller one. */
    bool urgent = false;
    /** Bytes of bodies that it will move, both ways, as far as that is known. */
    double bytes = 0.0;
    /** Failure domains that can't be reached now: targets there are taken only
        where no others are left. */
    std::function<bool(std::string_view)> cut_off = [](std::string_view) { return false; };
    /** Where set, all nodes choose the same target for requests with this number, so that no
        two of them run at the same time. */
    std::optional<std::uint64_t> same_for = std::nullopt;
  };

  /** The target to send to; none where all were tried. */
  std::optional<published_target> Pick(const request& wanted, instant now, random_source& random);

  /** Whether the target fails so much more than the best one that it is passed over. Its
      slots are free, and it must not speak for those that carry its load: told that there
      was room, entries let in twice what one well target of three could carry. */
  bool IsPassedOver(std::string_view id, instant now) const;
  /** Whether nothing tells that the target can be reached now. */
  bool IsDoubtful(std::string_view id, instant now) const;

  //============================================================================
  /** A request was sent to the target. */
  void OnSent(std::string_view id);
  /** The request ended, however. */
  void OnDone(std::string_view id);
  void OnReport(std::string_view id, const target_report& report, instant now);
  /** The target's node or the target can't be reached, or a request to it was
      lost. */
  void OnUnreachable(std::string_view id, instant now);
  /** The target's node turned a request away although it had room by what was
      known here. */
  void OnFull(std::string_view id, instant now);

 private:
  struct target_state {
    published_target target;
    target_report report;
    instant reported_at{};
    std::uint32_t sent_since = 0;
    std::uint32_t outstanding = 0;
    std::uint32_t failures = 0;
    instant rests_until{};
  };

  static target_state* Same(const std::vector<target_state*>& among, std::uint64_t number);
  double MeanServiceTime(instant now) const;
  double Cost(const target_state& state, const request& wanted, double mean_service,
              instant now) const;
  static bool IsFresh(const target_state& state, instant now);
  target_state* Find(std::string_view id);

  std::map<std::string, target_state, std::less<>> targets_;
};

}  // namespace cuminferry
