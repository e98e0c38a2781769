#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cuminferry_fleet/platform/published_values.h"

namespace cuminferry {

/** What an instance reports about itself when it connects. */
struct member_hello {
  published_instance info;
  incarnation_id incarnation = 0;
};

/** One instance, as known to this node. */
struct member {
  published_instance info;
  /** Whether the instance gets no new work. */
  bool draining = false;
  /** Whether the instance is in the platform's list. */
  bool listed = false;
};

/** The instances of one service. Reports of an instance about itself take precedence over the
    platform's list, which lags behind:

    - an instance that reported that it is draining counts as draining until a message of
      another incarnation of it is received, whatever the list says;
    - an instance that connects is used before the list contains it;
    - an instance that was removed from the list is retained while messages of it arrive.

    Each function that changes the view returns whether it did.
*/
class member_view {
 public:
  static constexpr std::size_t kMaxListed = 4096;
  static constexpr std::size_t kMaxUnlisted = 64;

  explicit member_view(std::string service);
  ~member_view();
  member_view(member_view&&) noexcept;
  member_view& operator=(member_view&&) noexcept;

  //============================================================================
  bool UpdateList(const published_instances& list, instant now);
  bool OnHello(const member_hello& hello, instant now);
  /** Records that an instance drains.
      @param incarnation the incarnation that drains; 0 for the known one */
  bool OnDraining(endpoint peer, incarnation_id incarnation, instant now);
  /** Records the final loss of the connection. The instance gets no new work until a message
      of it is received. */
  bool OnLost(endpoint peer, instant now);
  /** Records that a datagram of this incarnation was received. */
  bool OnReceived(endpoint peer, incarnation_id incarnation, instant now);
  /** Removes instances that are not listed and sent no message for a while. */
  bool OnTick(instant now);
  /** Shifts the times of received messages by a period in which this process did not run, so
      that no instance is removed because of it. */
  void OnPause(duration gap);

  //============================================================================
  std::vector<member> members() const;
  /** Returns the listed instances that count as draining or lost here. They are probed with
      datagrams, as a new incarnation at the same address would otherwise go unnoticed. */
  std::vector<endpoint> instances_to_probe() const;
  bool Contains(endpoint peer) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
