#pragma once

#include <optional>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Age of a node's replica of the customers' keys, which bounds how long the keys may be relied on.

    A revoked key must stop working within a given time after the platform has announced the
    revocation, even at a node that is cut off and can't receive the announcement. A node therefore
    stores a moment as of which its replica held everything that the platform had announced, and
    refuses requests with keys when that moment is too long ago. The moment is that at which a
    query was sent, never that at which the reply arrived, so it is safe whatever was lost or
    delayed on the way.
*/
class replica_age {
 public:
  /** Fraction of the allowed time that is reserved for clock differences and for the delay between
      two nodes: a fiftieth, ten times the difference between the clocks of instances. */
  static constexpr double kReservedFraction = 0.02;
  /** Time within which an edit is in force at every node. A node with an older replica can't be
     sure that a key which it doesn't know belongs to nobody. */
  static constexpr duration kEditTime = std::chrono::seconds(2);

  /** Records that the replica held everything as of this moment. A moment earlier than the stored
     one changes nothing. */
  void OnCurrentAt(instant moment);

  /** Age of the replica; nothing where the platform's items were never received. */
  std::optional<duration> AgeAt(instant now) const;
  /** How long keys may be relied on from now; zero or less where they may not.
      @param allowed  time from the platform's announcement until a revoked key must not work */
  duration RemainingTrustTime(duration allowed, instant now) const;
  /** Whether a key that isn't known here belongs to nobody. */
  bool IsUpToDate(instant now) const;

 private:
  instant current_at_{};
};

}  // namespace cuminferry
