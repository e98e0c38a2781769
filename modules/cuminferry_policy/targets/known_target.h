#pragma once

#include <cstdint>
#include <string>

#include "cuminferry_policy/targets/target_chooser.h"

namespace cuminferry {

/** What this node knows of one target, from the service's instance list and from its own calls. */
class known_target {
 public:
  /** How far away a target is. */
  enum class tier : std::uint8_t { kOwnDomain = 0, kOwnRegion = 1, kOtherRegion = 2 };
  static constexpr std::size_t kTierCount = 3;

  /** @param warmed_up the target ran before this node started and needs no warm-up */
  known_target(const target_info& info, tier distance, std::uint64_t subset_weight, bool warmed_up);

  //============================================================================
  /** The list names the target, or no longer names it. */
  void NoteListed(const target_info& info);
  void NoteUnlisted();
  /** The target ran before this node started. */
  void NoteWarmedUp() { warmed_up_ = true; }
  void NoteDraining(instant now);
  /** Does nothing if another incarnation has answered since. */
  void NoteDraining(incarnation_id incarnation, instant now);
  void NoteReachable(instant now);
  /** Returns true if the incarnation is new; all earlier evidence is then discarded. */
  bool NoteIncarnation(incarnation_id incarnation, instant now);
  void NoteProcessPause(instant now);

  /** Schedules the next retest after a failed target was given a call. */
  void NoteRetest(instant now);
  void NoteSent() { ++in_flight_; }
  void NoteLost(instant sent, instant now);
  void NoteEnded(target_outcome outcome, const advertised_load& load, instant now);

  //============================================================================
  /** Whether the target takes no new calls. */
  bool draining() const { return draining_by_evidence_ || draining_by_list_; }
  bool failed() const { return failed_; }
  bool eligible() const { return !draining() && !failed_; }
  /** Whether a failed target may now be given its next single call. */
  bool RetestDue(instant now) const { return failed_ && !draining() && now >= retest_at_; }
  /** Whether the target is unlisted, has no calls in flight, and gave no sign of life for the
      retention time. */
  bool MayBeRemoved(instant now) const;

  /** Calls in flight from this and other nodes divided by the target's limit, plus a penalty
      for refusals; 1 is full. */
  double Utilisation(instant now) const;

  endpoint address() const { return address_; }
  tier distance() const { return distance_; }
  /** Position in this node's order of preference; the highest weight comes first. */
  std::uint64_t subset_weight() const { return subset_weight_; }

 private:
  void ResetForNewIncarnation(instant now);
  void RecordAnswer(instant now);
  /** Returns a failed target to service, with a warm-up. */
  void Recover(instant now);
  void RecordLoss(instant now);
  double WarmUpFraction(instant now) const;
  double RefusalPenalty(instant now) const;

  endpoint address_;
  tier distance_;
  std::uint64_t subset_weight_;
  incarnation_id incarnation_ = 0;

  bool listed_ = false;
  /** What the last list said; only a change of it has an effect. */
  bool last_listed_draining_ = false;
  bool draining_by_list_ = false;
  bool draining_by_evidence_ = false;
  instant last_evidence_at_;

  std::uint32_t in_flight_ = 0;
  std::uint32_t others_in_flight_ = 0;
  std::uint32_t limit_ = 0;
  instant advertised_at_;

  bool warmed_up_;
  bool has_answered_ = false;
  instant warm_up_started_at_;

  double refusals_ = 0;
  instant refused_at_;

  bool failed_ = false;
  std::uint32_t consecutive_losses_ = 0;
  duration retest_delay_ = target_chooser::kFirstRetestDelay;
  instant retest_at_;
};

}  // namespace cuminferry
