#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cuminferry_fleet/platform/published_values.h"

namespace cuminferry {

/** What an instance says of itself when it connects. */
struct member_hello {
  published_instance info;
  incarnation_id incarnation = 0;
};

/** One instance as this node sees it. */
struct member {
  published_instance info;
  /** Nothing new may go there. */
  bool leaving = false;
  /** The platform's list names it. */
  bool listed = false;
};

/** The instances of one service. What an instance says itself goes before the
    platform's list, which lags:

    - an instance that said it is leaving stays so until another incarnation of
      it is heard of, whatever the list says and however long it says it;
    - an instance that connects is used before the list names it;
    - one that the list has dropped is kept while it is heard of.

    Each function returns whether the view changed.
*/
class member_view {
 public:
  static constexpr std::size_t kLargestList = 4096;
  static constexpr std::size_t kUnlistedBound = 64;

  explicit member_view(std::string service);
  ~member_view();
  member_view(member_view&&) noexcept;
  member_view& operator=(member_view&&) noexcept;

  //============================================================================
  bool UseList(const published_instances& list, instant now);
  bool OnHello(const member_hello& hello, instant now);
  /** It said that it is leaving, in this incarnation; 0: the one known. */
  bool OnLeaving(endpoint peer, incarnation_id incarnation, instant now);
  /** Its connection ended for good; until it is heard of, nothing goes there. */
  bool OnLost(endpoint peer, instant now);
  /** A datagram of this incarnation came from it. */
  bool OnHeard(endpoint peer, incarnation_id incarnation, instant now);
  /** Forgets what was not listed and not heard of for a while. */
  bool OnTick(instant now);
  /** This process did not run for so long; its peers are not to blame. */
  void OnPause(duration gap);

  //============================================================================
  std::vector<member> members() const;
  /** Listed as live, but held to be leaving or lost here: to be asked with a
      datagram, as a new incarnation at the same address would not be noticed. */
  std::vector<endpoint> doubtful() const;
  bool Holds(endpoint peer) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
