#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Identifies other failure domains that seem to be cut off.

    If a whole domain is lost and its targets are identified one by one, each of dozens of targets
    costs every node a request that waits in vain. But if one request got no sign of life, and
    nothing else was received from the domain since it was sent, the other targets there are
    unreachable, too. After that, single requests test whether the domain is reachable again.
*/
class domain_reachability {
 public:
  /** How long requests avoid a domain after each request that got no sign of life; doubles up
      to the maximum. */
  static constexpr duration kFirstBackoff = std::chrono::milliseconds(250);
  static constexpr duration kMaxBackoff = std::chrono::milliseconds(1'000);

  /** Notes that something was received from a node of this domain. */
  void OnReceived(std::string_view domain, instant now);
  /** Notes that a request sent to the domain at `sent` has got no sign of life so far. */
  void OnUnanswered(std::string_view domain, instant sent, instant now);

  /** Whether requests should go to other domains now. */
  bool IsCutOff(std::string_view domain, instant now) const;
  /** Notes that a request goes to the domain although it was silent. Further requests avoid the
      domain until something is received from it or the backoff has passed. */
  void OnProbeSent(std::string_view domain, instant now);

 private:
  struct domain_state {
    instant received_at{};
    // Zero if the domain is not silent.
    duration backoff{};
    instant backoff_until{};
  };

  std::map<std::string, domain_state, std::less<>> domains_;
};

}  // namespace cuminferry
