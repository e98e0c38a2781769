#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Tells which other failure domains seem to be cut off.

    Answers the loss of a whole domain. Found target by target, each of dozens
    costs each node a request that waits in vain; but where one request brings no
    sign and nothing else came from the domain since it was sent, the others there
    are out of reach, too. One request at a time finds out whether it is back.
*/
class domain_watch {
 public:
  /** How long a domain is left alone after each request that brought no sign. */
  static constexpr duration kFirstRest = std::chrono::milliseconds(250);
  static constexpr duration kLongestRest = std::chrono::milliseconds(1'000);

  /** Something came from a node of this domain. */
  void OnHeard(std::string_view domain, instant now);
  /** A request that was sent there at `sent` has brought no sign until now. */
  void OnSilent(std::string_view domain, instant sent, instant now);

  /** Whether requests should go elsewhere now. */
  bool IsCutOff(std::string_view domain, instant now) const;
  /** A request goes there although the domain was silent: the next ones don't,
      until it has brought a sign or the rest is over. */
  void OnTried(std::string_view domain, instant now);

 private:
  struct domain_state {
    instant heard{};
    // Zero rest: not silent.
    duration rest{};
    instant rests_until{};
  };

  std::map<std::string, domain_state, std::less<>> domains_;
};

}  // namespace cuminferry
