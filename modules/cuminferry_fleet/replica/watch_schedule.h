#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Times the watches of a node that watches the platform, so that both the age of its replica
    and its rate of requests are bounded.

    A watch is answered when something changes, or after its wait. An answer without changes
    confirms the replica as of the end of the wait. An answer with changes confirms it only as of
    the request, because the answer may have been on its way for the whole time. Three rules
    follow: the wait is shortened by the age that the replica already has; a watch that waited
    for a change is followed by the next one at once; and changes that come in series are
    collected for kMinInterval. @see refresh_planner for the nodes that rely on the bound
*/
class watch_schedule {
 public:
  /** Maximum wait of a watch. A platform that was unresponsive loses the watches that it accepted
      meanwhile. They look like waiting watches, so changes can be missed for this long. */
  static constexpr duration kMaxWait = std::chrono::milliseconds(500);
  /** Minimum wait, so that a replica that is nearly kMaxWait old costs one request and not
      several. */
  static constexpr duration kMinWait = std::chrono::milliseconds(50);
  /** Minimum time between the requests of two watches if the first one returned changes. The
      platform counts each request. */
  static constexpr duration kMinInterval = std::chrono::milliseconds(250);
  /** The platform measures waits in whole milliseconds with its own clock, so a watch that ends
      this much early still counts as having waited. Otherwise its answer would seem to be older
      than it is by the whole wait. */
  static constexpr duration kWaitTolerance = std::chrono::milliseconds(5);
  /** Maximum age of the replica between two answers, without the time that the platform and the
      network take. */
  static constexpr duration kMaxAge = kMaxWait + kMinWait;

  /** Records that the replica was complete at this moment. */
  void OnCompleteAt(instant moment);

  /** Returns how long a watch that is requested now waits, in whole milliseconds. */
  duration WaitAt(instant now) const;
  /** Returns the upper bound of the age of a watch's answer.
      @param wait     what WaitAt() returned for the watch
      @param elapsed  time from the request to the answer */
  static duration MaxAgeOfAnswer(bool has_changes, duration wait, duration elapsed);
  /** Returns the pause before the next watch.
      @param elapsed  time from the request to the answer */
  static duration PauseAfter(bool has_changes, duration elapsed);

 private:
  instant complete_at_{};
};

}  // namespace cuminferry
