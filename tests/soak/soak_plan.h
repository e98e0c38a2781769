#pragma once

#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::testing {

enum class soak_action : std::uint8_t {
  // Not planned.
  kKill,           ///< SIGKILL; the process is started anew after the span
  kKillAll,        ///< SIGKILL of all processes at one moment
  kPause,          ///< SIGSTOP for the span
  kDelay,          ///< connections to a node are slow
  kReset,          ///< open connections to a node are reset
  kSilence,        ///< open connections to a node go silent for good
  kCutToNode,      ///< what other nodes send to a node is lost
  kCutFromNode,    ///< what a node answers other nodes is lost
  kCutOff,         ///< both, and the node's way to the store
  kStoreCut,       ///< a node's way to the store is silent
  kStoreReset,     ///< the store's connections to a node are reset, new ones too
  kStoreDown,      ///< the store turns all away
  kStoreSilent,    ///< the store accepts and says nothing
  kStoreForgets,   ///< the store's history is gone
  kTargetSlow,     ///< a backend server works ten times slower
  kTargetLoses,    ///< a backend server runs requests and resets the connection
  kTargetDamages,  ///< a backend server cuts, damages and doubles answers
  kTargetSheds,    ///< a backend server turns half of its requests away
  kTargetCrash,    ///< a backend server ends; another takes its address after the span
  // Planned.
  kStop,     ///< SIGTERM; started anew when it has ended
  kReload,   ///< the settings change, with SIGHUP
  kEdit,     ///< one edit of the table
  kEdits,    ///< a quick series of edits
  kReplace,  ///< a backend server leaves, ends, and another takes its address
  // Load.
  kBurst,  ///< clients send four times as much
  // Drawn apart, so that earlier seeds keep their plans.
  kStoreReturns,  ///< the store comes back from a copy that is as old as the span
  kCrashing,      ///< a request that ends each backend server that runs it comes again and again
};

std::string_view ToText(soak_action action);

/** One thing that is done to the fleet. */
struct soak_event {
  soak_action action = soak_action::kEdit;
  /** From the soak's begin. */
  duration at{};
  /** How long it lasts, where it lasts. */
  duration span{};
  /** Number of the node or of the backend server beside it. */
  std::size_t node = 0;
};

/** What is done in one soak, drawn from a seed: a time of harm in which anything
    may come together, calm, a time of planned work alone, calm again. */
struct soak_plan {
  static constexpr duration kStartTime = std::chrono::milliseconds(3'000);
  static constexpr duration kHarmTime = std::chrono::milliseconds(6'000);
  /** What must be noticed and mended before the calm counts. */
  static constexpr duration kSettleTime = std::chrono::milliseconds(4'000);
  static constexpr duration kCalmTime = std::chrono::milliseconds(3'000);
  static constexpr duration kPlannedTime = std::chrono::milliseconds(9'000);

  std::vector<soak_event> events;
  /** Spans in which nearly all must be served. */
  std::vector<std::pair<duration, duration>> calm;
  duration length{};

  /** @param nodes   nodes in the fleet
      @param rounds  times that harm and planned work come */
  static soak_plan Draw(std::uint64_t seed, std::size_t nodes, int rounds);
};

}  // namespace cuminferry::testing
