#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_table/cuminferry_table.h"
#include "cuminferry_wire/cuminferry_wire.h"

namespace cuminferry {

/** The choice of targets and the retry ratios of a node, for all its calls out.
    Safe to use from all threads. */
class call_router {
 public:
  explicit call_router(const node_settings& settings);

  //============================================================================
  void UseTargets(std::string_view service, std::span<const target_info> targets);
  /** A node of a service that this node calls was heard of directly. */
  void LearnTarget(const hello_message& hello);
  void MarkDraining(endpoint target, incarnation_id incarnation);
  /** This process did not run for a while: its losses are not the targets' fault. */
  void NoteProcessPause();

  /** Chooses the target of an attempt and counts it as sent there. */
  std::optional<endpoint> ChooseTarget(std::string_view service, std::span<const endpoint> avoid);
  void OnSent(endpoint target);
  void OnEnded(endpoint target, target_outcome outcome, const advertised_load& load);
  /** A call that was sent at `sent` got no reply. */
  void OnLost(endpoint target, instant sent);

  /** Counts a first attempt on the path to a row. */
  void CountFirstAttempt(std::string_view row);
  /** Takes one retry from the path's ratio; false where it is spent. */
  bool TakeRetry(std::string_view row);

 private:
  struct choice {
    explicit choice(target_chooser::options chosen)
        : chooser(std::move(chosen)), random(random_source::FromMachine()) {}

    target_chooser chooser;
    random_source random;
  };

  section<choice> choice_;
  section<std::map<std::string, retry_ratio, std::less<>>> ratios_;
};

}  // namespace cuminferry
