#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "trial/deployment.h"

namespace cuminferry::trial {

/** What goes wrong in a trial. */
enum class fault_kind : std::uint8_t {
  kSlowDeep,      ///< the bottleneck works ten times slower during the surge
  kKillNode,      ///< SIGKILL of one node of the bottleneck, started anew after 2 s
  kKillInstance,  ///< SIGKILL of an entry service's node and its backend server, both anew after 2
                  ///< s
  kPause,         ///< SIGSTOP of one node of each service for 3 s
  kPlatformDown,  ///< the platform doesn't answer during the surge
  kDrain,         ///< SIGTERM of one node of each service
  kSilence,       ///< all open connections between nodes go silent for good
  kCutOff,        ///< the first failure domain is cut off from the others during the surge
};

/** How much slower kSlowDeep makes the bottleneck. */
inline constexpr double kSlowFactor = 10.0;

/** The kinds by name: "slow-deep", "kill-node", "kill-instance", "pause",
    "platform-down", "drain", "silence", "cut-off". Fails with kCommandLineInvalid. */
absl::StatusOr<fault_kind> ParseFault(std::string_view name);

/** Brings a fault about and mends it, on its own thread. */
class fault_player {
 public:
  fault_player(deployment& running, const deployment_plan& plan);
  /** Waits until what began has been mended. */
  ~fault_player();

  /** Begins the faults now; they end after `length`. */
  void Begin(const std::vector<fault_kind>& faults, duration length);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::trial
