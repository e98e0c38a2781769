#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

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
  /** Its concurrency limit; 0 where the reply did not say. */
  std::uint32_t limit = 0;
};

/** How a call to a target came back. */
enum class target_outcome : std::uint8_t {
  kAnswered,     ///< a reply came, whatever it says of the call itself
  kRefusedHere,  ///< refused for this instance's own sake
  kLost,         ///< no reply: connection lost or silent
};

/** Which instance a call goes to.

    Two random choices out of a small subset, scored by utilisation; the own
    failure domain first. What this node has seen itself goes before what a list
    says: see docs/design/target-choice.md.

    Sans-I/O, guarded by the node with lock_rank::kTargets. Choose() allocates
    nothing and costs the same for ten targets and for a thousand. Memory: about
    200 bytes for each of at most kMostTargets targets of each service, and at
    most kMostServices services.
*/
class target_chooser {
 public:
  static constexpr std::size_t kMostTargets = 4096;
  static constexpr std::size_t kMostServices = 512;
  /** Calls lost in a row until a target is out of choice. */
  static constexpr std::uint32_t kLostToFail = 3;
  /** A failed target gets one call per pause; the pause doubles with each that
      is lost. While others are eligible, at most one call in kRetestEvery is
      spent on failed ones. */
  static constexpr duration kFirstRetest = std::chrono::milliseconds(250);
  static constexpr duration kLongestRetest = std::chrono::seconds(2);
  static constexpr std::uint32_t kRetestEvery = 16;
  /** How long a target that is new, or back, takes to its full part. */
  static constexpr duration kRamp = std::chrono::seconds(5);
  /** How long a target that no list names is kept after it last answered. */
  static constexpr duration kUnlistedMemory = std::chrono::seconds(60);
  /** How long it is remembered that a target was leaving after it went. */
  static constexpr duration kLeavingMemory = std::chrono::hours(1);

  struct options {
    std::string failure_domain;
    std::string region;
    /** Targets of one service in the own failure domain that this node keeps
        connections to; half of it in the rest of the region, a quarter beyond. */
    std::uint32_t subset = 16;
    /** Own identity; spreads the subsets of different nodes evenly. */
    std::uint64_t identity = 0;
  };

  explicit target_chooser(options chosen);
  ~target_chooser();

  //============================================================================
  /** Takes the list of instances of a service. Direct evidence outlives it: a
      target that said that it leaves is not brought back, one that fails here
      stays out, one that the list does not have yet is kept while it answers.
      One that the list had and has no more is taken to be leaving. An empty
      list is not believed. */
  void UseTargets(std::string_view service, std::span<const target_info> targets, instant now);

  /** Takes a target that introduced itself, whether or not a list has it. */
  void LearnTarget(std::string_view service, const target_info& target, instant now);

  /** A target said, or was seen, to be leaving: nothing new goes there until
      another incarnation answers at its address. */
  void MarkLeaving(endpoint target, instant now);
  /** As above, unless another incarnation has answered there since. */
  void MarkLeaving(endpoint target, incarnation_id incarnation, instant now);
  /** A connection to the target was opened: it is in reach. */
  void MarkReachable(endpoint target, instant now);
  /** As above, with the incarnation that answered; a new one begins afresh. */
  void MarkReachable(endpoint target, incarnation_id incarnation, instant now);

  /** This process was paused: what was lost meanwhile is not the targets' fault. */
  void OnOwnPause(instant now);

  void OnSent(endpoint target, instant now);
  void OnEnded(endpoint target, target_outcome outcome, const advertised_load& load, instant now);
  /** A call that was sent at `sent` got no reply. Counts against the target only
      where nothing has been heard of it since. */
  void OnLost(endpoint target, instant sent, instant now);

  //============================================================================
  /** The target of the next call; none where no instance is eligible.
      @param avoid targets that this call was already refused by or lost at */
  std::optional<endpoint> Choose(std::string_view service, std::span<const endpoint> avoid,
                                 instant now, random_source& random);

  /** How many instances of a service are eligible now. */
  std::size_t EligibleTargets(std::string_view service, instant now) const;

  /** The targets of a service that this node spreads its calls over. */
  std::vector<endpoint> Subset(std::string_view service) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
