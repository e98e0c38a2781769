#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** One instance of a service, as a list or a peer names it. */
struct target_info {
  endpoint at;
  std::string instance;
  std::string failure_domain;
  std::string region;
  bool leaving = false;
};

/** What a target said of its own load on its last reply. */
struct advertised_load {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
};

/** How a call to a target came back. */
enum class target_outcome : std::uint8_t {
  kAnswered,     ///< a reply came, whatever it says of the call itself
  kRefusedHere,  ///< refused for this instance's own sake
  kLost,         ///< no reply: connection lost or silent
};

/** Which instance a call goes to.

    Sans-I/O, guarded by the node with lock_rank::kTargets.
*/
class target_chooser {
 public:
  struct options {
    std::string failure_domain;
    std::string region;
    /** Targets of one service that this node keeps connections to. */
    std::uint32_t subset = 16;
    /** Own identity; spreads the subsets of different nodes evenly. */
    std::uint64_t identity = 0;
  };

  explicit target_chooser(options chosen);
  ~target_chooser();

  //============================================================================
  /** Takes the list of instances of a service. Direct evidence outlives it. */
  void UseTargets(std::string_view service, std::span<const target_info> targets, instant now);

  /** A target said, or was seen, to be leaving: nothing new goes there. */
  void MarkLeaving(endpoint target, instant now);
  /** A connection to the target was opened: it is in reach. */
  void MarkReachable(endpoint target, instant now);

  void OnSent(endpoint target, instant now);
  void OnEnded(endpoint target, target_outcome outcome, const advertised_load& load, instant now);

  //============================================================================
  /** The target of the next call; none where no instance is eligible.
      @param avoid targets that this call was already refused by or lost at */
  std::optional<endpoint> Choose(std::string_view service, std::span<const endpoint> avoid,
                                 instant now, random_source& random);

  /** How many instances of a service are eligible now. */
  std::size_t EligibleTargets(std::string_view service, instant now) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
