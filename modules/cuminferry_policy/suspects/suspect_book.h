#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/suspects/suspect_event.h"

namespace cuminferry {

/** How a request may run. */
enum class suspect_standing : std::uint8_t {
  kFree,
  /** It ran at a backend server that ended: it runs apart from other suspects. */
  kCareful,
  /** It ends what runs it: it is not run. */
  kBlocked,
};

/** Finds the request that ends the backend servers that run it, among all that ran beside it.

    Answers a request that is sent again, by the node that took it or by its client, until no
    backend server of its service is left. An end takes along all that the backend server runs,
    and all of it is sent on at the same moment, so that being there proves little: innocent
    requests meet the guilty one at the next target again. So after an end all that ran there
    are suspects. Each runs apart from the others, and those that end well are cleared. If a
    backend server ends while it runs just one suspect, that one did it, unless many of the
    latest ends came about without it: then backend servers end by themselves, too.

    The book is the same at all nodes that have heard the same events, in any order. What is
    remembered runs out, so that a mended backend server gets the request again: one at a time,
    at one target of the fleet.
    @see suspect_lane
*/
class suspect_book {
 public:
  /** A request that a backend server ran when it ended. */
  struct running_request {
    request_digest digest;
    /** @see PlaceOf */
    std::uint64_t place = 0;
    /** It was known as a suspect, and ran apart from others. */
    bool apart = false;
  };

  /** Part of the latest ends that came about under a request that is found out as the only
      suspect there. */
  static constexpr double kMostEnds = 2.0 / 3.0;
  /** A request that ran apart at so many ends, and was at kManyEnds of the latest ones, is found
      out whatever ran beside it. */
  static constexpr std::size_t kApartToBlock = 3;
  static constexpr double kManyEnds = 1.0 / 3.0;
  /** A request that is seldom sent is found out by ends that are minutes apart. */
  static constexpr duration kSuspicionTime = std::chrono::minutes(5);
  /** An end doesn't count against a request that ended well so shortly before or after it. */
  static constexpr duration kClearTime = std::chrono::seconds(1);
  /** Ends this long ago are compared with those under a suspect. */
  static constexpr duration kRecentEnds = std::chrono::minutes(1);
  /** What ends say of a flood of requests leaves room for those that were found out. */
  static constexpr std::size_t kMostSuspects = 4096;
  static constexpr std::size_t kMostBlocked = 256;
  /** Told of one end at most: the slots of the largest backend servers in use. */
  static constexpr std::size_t kMostOfOneEnd = 512;

  /** Takes an event in. Returns whether it was new. */
  bool Apply(const suspect_event& event, instant now);
  /** Forgets what has run out. */
  void Expire(instant now);

  suspect_standing StandingOf(const request_digest& digest, instant now) const;
  /** When a blocked request may run again; nothing where it is not blocked. */
  std::optional<instant> BlockedUntil(const request_digest& digest, instant now) const;
  /** How many backend servers ended under it. */
  std::size_t EndsOf(const request_digest& digest) const;
  bool empty() const { return records_.empty(); }
  /** Whether any suspect has this place: only then a body must be looked at. */
  bool HasPlace(std::uint64_t place) const { return places_.contains(place); }

  /** What the own backend server's end tells of the requests that it ran. */
  std::vector<suspect_event> EventsOfEnd(std::uint64_t end,
                                         std::span<const running_request> running,
                                         instant now) const;
  /** All that is remembered, for a node that may lack some of it. */
  std::vector<suspect_event> All(instant now) const;
  /** Equal where the same ends are remembered; 0 where none are. */
  std::uint64_t checksum() const { return checksum_; }
  /** Suspects whose last end is this recent. */
  std::size_t CountSince(instant since) const;
  std::size_t CountBlocked(instant now) const;

 private:
  struct ended {
    instant at{};
    bool apart = false;
    bool found_out = false;
  };
  struct record {
    std::uint64_t place = 0;
    std::map<std::uint64_t, ended> ends;
    // When it last ended well.
    std::optional<instant> cleared;

    instant last_end() const;
    std::size_t ends_apart() const;
    bool is_found_out() const;
  };
  using records = std::map<request_digest, record>;

  static std::optional<instant> BlockedUntil(const record& of);
  static instant ForgottenAt(const record& of);
  bool ApplyEnd(const suspect_event& event, instant at, instant now);
  bool ApplyClearing(const suspect_event& event, instant at, instant now);
  void Toggle(const request_digest& digest, std::uint64_t number);
  records::iterator Forget(records::iterator at);
  void MakeRoom(instant now);
  bool IsFoundOut(const running_request& run, std::uint64_t end, bool only_suspect,
                  instant now) const;
  std::size_t CountSuspectsAt(std::uint64_t end,
                              const std::map<request_digest, running_request>& told,
                              instant now) const;
  double PartOfLatestEnds(const record& of, std::uint64_t latest, instant now) const;

  records records_;
  // Of all suspects, cleared or not.
  std::map<std::uint64_t, instant> latest_ends_;
  std::unordered_map<std::uint64_t, std::size_t> places_;
  std::uint64_t checksum_ = 0;
};

}  // namespace cuminferry
