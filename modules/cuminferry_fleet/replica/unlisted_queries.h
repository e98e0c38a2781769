#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Decides which nodes to ask whether their backend servers, which are not listed, serve.

    Answers to requests confirm most unlisted instances. The others are asked, so that a service
    without much traffic doesn't lose its targets. When a failure domain loses the platform, every
    node has hundreds of unlisted instances at the same moment: their nodes are asked at random
    moments, few of each service at a time, and only for services that this node uses or that would
    be without targets.

    The class does no I/O.
*/
class unlisted_queries {
 public:
  /** An instance is asked about if nothing has confirmed it for this long. */
  static constexpr duration kQueryPeriod = std::chrono::seconds(1);
  /** The first query about an instance is sent after a random part of this time. */
  static constexpr duration kMaxFirstDelay = std::chrono::milliseconds(500);
  /** Queries about the instances of one service in kQueryPeriod. */
  static constexpr std::size_t kMaxPerService = 3;
  /** A service counts as used for this long after a request to it. */
  static constexpr duration kUseTime = std::chrono::seconds(60);

  struct candidate {
    std::string id;
    std::string service;
    /** When a response last confirmed that it serves. */
    std::optional<instant> confirmed_at;
    /** Whether other instances of its service are listed. */
    bool has_listed_others = false;
  };

  /** This node has a request for a service. */
  void OnRequest(std::string_view service, instant now);
  /** Whether unlisted instances of a service are asked about at all. Callers needn't pass those of
      other services to TakeDue(), as there may be thousands.
      @param has_listed_others  @see candidate */
  bool IsWanted(std::string_view service, bool has_listed_others, instant now) const;
  /** Returns the ids of the instances to ask about now, the least recently confirmed of each
      service first, and counts them as asked.
      @param unlisted  the unlisted instances; what is known of others is forgotten */
  std::vector<std::string> TakeDue(std::span<const candidate> unlisted, instant now,
                                   random_source& random);
  /** There are no unlisted instances any more. The first queries are delayed again if there are
      some later. */
  void OnNoneUnlisted() { known_.clear(); }

 private:
  struct unlisted_state {
    instant first_due_at{};
    std::optional<instant> queried_at;
    // When it was last among the candidates.
    instant seen_at{};
  };
  struct due_instance {
    const candidate* of = nullptr;
    unlisted_state* known = nullptr;
  };

  static bool IsDue(const candidate& of, const unlisted_state& known, instant now);
  unlisted_state& KnownOf(const candidate& of, instant now, random_source& random);
  /** Returns how many queries about instances of the service may be sent now. */
  std::size_t Allowance(const std::string& service, instant now);

  std::map<std::string, instant, std::less<>> requested_at_;
  std::map<std::string, unlisted_state, std::less<>> known_;
  // Times of the queries in the last kQueryPeriod, by service.
  std::map<std::string, std::deque<instant>, std::less<>> sent_;
};

}  // namespace cuminferry
