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

/** One instance of a service, as named by an instance list or by a peer. */
struct target_info {
  endpoint address;
  std::string instance;
  std::string failure_domain;
  std::string region;
  bool draining = false;
};

/** The load that a target reported with its last answer. */
struct advertised_load {
  std::uint32_t in_flight = 0;
  /** The target's concurrency limit; 0 if the answer did not state one. */
  std::uint32_t limit = 0;
};

/** How a call to a target ended. */
enum class target_outcome : std::uint8_t {
  kAnswered,           ///< the target answered, whatever the result of the call
  kRefusedByInstance,  ///< refused for a reason that concerns only this instance
  kLost,               ///< no answer: the connection was lost or silent
};

/** Chooses the instance that a call goes to.

    Draws two targets at random from a small subset and compares their utilisation; the node's own
    failure domain comes first. What this node has observed takes precedence over the instance list:
    see docs/design/target-choice.md.

    Sans-I/O, guarded by the node with lock_rank::kTargets. Choose() allocates nothing, and its cost
    is the same for ten targets and for a thousand. Memory: about 200 bytes per target, at most
    kMaxTargetsPerService targets per service and kMaxServices services.
*/
class target_chooser {
 public:
  static constexpr std::size_t kMaxTargetsPerService = 4096;
  static constexpr std::size_t kMaxServices = 512;
  /** Number of consecutive lost calls after which a target counts as failed. */
  static constexpr std::uint32_t kLossesToFail = 3;
  /** Delay until a failed target gets its next single call. The delay doubles with each such
      call that is lost. While other targets are eligible, at most one call in kChoicesPerRetest
      goes to a failed one. */
  static constexpr duration kFirstRetestDelay = std::chrono::milliseconds(250);
  static constexpr duration kMaxRetestDelay = std::chrono::seconds(2);
  static constexpr std::uint32_t kChoicesPerRetest = 16;
  /** How long a new or recovered target takes to get its full share of calls. */
  static constexpr duration kWarmUpDuration = std::chrono::seconds(5);
  /** How long a target that is on no list is retained after its last sign of life. */
  static constexpr duration kUnlistedRetention = std::chrono::seconds(60);
  /** How long the draining state of an instance is retained after the instance is gone. */
  static constexpr duration kDrainingRetention = std::chrono::hours(1);

  struct options {
    std::string failure_domain;
    std::string region;
    /** Number of targets per service in the own failure domain to which this node keeps
        connections; half as many in the rest of the region, a quarter as many in other regions. */
    std::uint32_t subset_size = 16;
    /** This node's identity; makes the subsets of different nodes spread evenly over the
        targets. */
    std::uint64_t identity = 0;
  };

  explicit target_chooser(options chosen);
  ~target_chooser();

  //============================================================================
  /** Applies the instance list of a service. Direct evidence takes precedence: a target that
      reported draining is not brought back, one that fails here stays out, and one that is not
      on the list yet is retained while it answers. A target that is dropped from the list
      counts as draining. An empty list is ignored. */
  void UseTargets(std::string_view service, std::span<const target_info> targets, instant now);

  /** Adds a target that introduced itself, whether or not a list names it. */
  void LearnTarget(std::string_view service, const target_info& target, instant now);

  /** Marks a target that announced, or was observed, to be draining: it gets no new calls until
      another incarnation answers at its address. */
  void MarkDraining(endpoint target, instant now);
  /** Does nothing if another incarnation has answered at the address since. */
  void MarkDraining(endpoint target, incarnation_id incarnation, instant now);
  /** Notes that a connection to the target was opened, so the target is reachable. */
  void MarkReachable(endpoint target, instant now);
  /** Notes the incarnation that answered. For a new incarnation all earlier evidence is
      discarded. */
  void MarkReachable(endpoint target, incarnation_id incarnation, instant now);

  /** Notes that this process was paused: calls lost meanwhile do not count against the targets. */
  void OnProcessPause(instant now);

  void OnSent(endpoint target, instant now);
  void OnEnded(endpoint target, target_outcome outcome, const advertised_load& load, instant now);
  /** Notes that a call sent at `sent` got no answer. The loss counts against the target only if
      nothing was received from it since. */
  void OnLost(endpoint target, instant sent, instant now);

  //============================================================================
  /** Returns the target of the next call, or nullopt if no instance is eligible.

      @param avoid targets that refused this call or at which it was lost
  */
  std::optional<endpoint> Choose(std::string_view service, std::span<const endpoint> avoid,
                                 instant now, random_source& random);

  /** How many instances of a service are eligible now. */
  std::size_t CountEligible(std::string_view service, instant now) const;

  /** The targets of a service over which this node spreads its calls. */
  std::vector<endpoint> Subset(std::string_view service) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
