#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "trial/deployment.h"

namespace cuminferry::trial {

/** Faults that a trial can inject. */
enum class fault_kind : std::uint8_t {
  kSlowDeep,      ///< the bottleneck is ten times slower during the surge
  kKillNode,      ///< SIGKILL of one node of the bottleneck, restarted after 2 s
  kKillInstance,  ///< SIGKILL of a node and its backend server of the first load kind's service,
                  ///< both restarted after 2 s
  kPause,         ///< SIGSTOP of one node of each service for 3 s
  kPlatformDown,  ///< the platform does not answer during the surge
  kDrain,         ///< SIGTERM of one node of each service
  kSilence,       ///< all open connections between nodes permanently stop passing data
  kCutOff,        ///< the first failure domain has no links to the others during the surge
};

/** Factor by which kSlowDeep multiplies the bottleneck's service times. */
inline constexpr double kSlowFactor = 10.0;

/** Parses the name of a fault: "slow-deep", "kill-node", "kill-instance", "pause",
    "platform-down", "drain", "silence", "cut-off". Fails with kCommandLineInvalid. */
absl::StatusOr<fault_kind> ParseFault(std::string_view name);

/** Injects faults and reverts them, each on its own thread. */
class fault_injector {
 public:
  fault_injector(deployment& running, const deployment_plan& plan);
  /** Waits until all injected faults have been reverted. */
  ~fault_injector();

  /** Injects the faults now. Faults that last as long as the surge are reverted after `length`. */
  void Begin(const std::vector<fault_kind>& faults, duration length);

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry::trial
