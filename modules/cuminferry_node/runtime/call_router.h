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

/** Chooses the targets of a node's outgoing calls and holds the retry ratio of each
    called row. Thread-safe. */
class call_router {
 public:
  explicit call_router(const node_settings& settings);

  //============================================================================
  void UseTargets(std::string_view service, std::span<const target_info> targets);
  /** Adds the node that sent this hello to the targets of its service. */
  void LearnTarget(const hello_message& hello);
  void MarkDraining(endpoint target, incarnation_id incarnation);
  /** Reports that this process was paused: calls lost meanwhile don't count against targets. */
  void NoteProcessPause();

  /** Chooses the target of an attempt and counts the attempt as sent to it.
      @return nullopt where every target is to be avoided or unavailable */
  std::optional<endpoint> ChooseTarget(std::string_view service, std::span<const endpoint> avoid);
  void OnSent(endpoint target);
  void OnEnded(endpoint target, target_outcome outcome, const advertised_load& load);
  /** Records that an attempt sent at `sent` got no reply. */
  void OnLost(endpoint target, instant sent);

  /** Counts the first attempt of a call to `row`; retries are limited in proportion to these. */
  void CountFirstAttempt(std::string_view row);
  /** Takes one retry from the retry ratio of `row`.
      @return false where the ratio permits none now */
  bool TakeRetry(std::string_view row);

 private:
  struct chooser_state {
    explicit chooser_state(target_chooser::options chosen)
        : chooser(std::move(chosen)), random(random_source::FromMachine()) {}

    target_chooser chooser;
    random_source random;
  };

  section<chooser_state> chooser_;
  instant started_;
  section<std::map<std::string, retry_ratio, std::less<>>> ratios_;
};

}  // namespace cuminferry
