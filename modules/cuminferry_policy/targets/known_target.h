#pragma once

#include <cstdint>
#include <string>

#include "cuminferry_policy/targets/target_chooser.h"

namespace cuminferry {

/** What this node knows of one target, from a list and from its own calls. */
class known_target {
 public:
  /** How far away a target is. */
  enum class tier : std::uint8_t { kOwnDomain = 0, kOwnRegion = 1, kOtherRegion = 2 };
  static constexpr std::size_t kTiers = 3;

  /** @param warm the target was there before this node, and needs no ramp */
  known_target(const target_info& info, tier distance, std::uint64_t subset_weight, bool warm);

  //============================================================================
  /** A list has the target, or has it no more. */
  void NoteListed(const target_info& info);
  void NoteUnlisted();
  /** It was there before this node. */
  void NoteWarm() { warm_ = true; }
  void NoteLeaving(instant now);
  /** As above, unless another incarnation has answered since. */
  void NoteLeaving(incarnation_id incarnation, instant now);
  void NoteReachable(instant now);
  /** True where the incarnation is new, so that all evidence was dropped. */
  bool NoteIncarnation(incarnation_id incarnation, instant now);
  void NoteOwnPause(instant now);

  /** A failed target was given its next call; the one after that has to wait. */
  void NoteRetest(instant now);
  void NoteSent() { ++in_flight_; }
  void NoteLost(instant sent, instant now);
  void NoteEnded(target_outcome outcome, const advertised_load& load, instant now);

  //============================================================================
  /** Whether new calls may go there at all. */
  bool leaving() const { return leaving_directly_ || leaving_by_list_; }
  bool failed() const { return failed_; }
  bool eligible() const { return !leaving() && !failed_; }
  /** Whether a failed target may be given its next single call now. */
  bool RetestDue(instant now) const { return failed_ && !leaving() && now >= retest_at_; }
  /** Whether nothing is lost by forgetting it. */
  bool Forgettable(instant now) const;

  /** Own calls and those of others, by the target's limit; 1 is full. */
  double Utilisation(instant now) const;

  endpoint at() const { return at_; }
  tier distance() const { return distance_; }
  /** Place in this node's order of preference; the higher, the earlier. */
  std::uint64_t subset_weight() const { return subset_weight_; }

 private:
  void BeginAfresh(instant now);
  void Answered(instant now);
  /** A failed target shows that it lives. */
  void Recover(instant now);
  void Lost(instant now);
  double RampPart(instant now) const;
  double RefusalPenalty(instant now) const;

  endpoint at_;
  tier distance_;
  std::uint64_t subset_weight_;
  incarnation_id incarnation_ = 0;

  bool listed_ = false;
  /** What the list said last, so that only its changes count. */
  bool list_said_leaving_ = false;
  bool leaving_by_list_ = false;
  bool leaving_directly_ = false;
  instant evidence_at_;

  std::uint32_t in_flight_ = 0;
  std::uint32_t others_in_flight_ = 0;
  std::uint32_t limit_ = 0;
  instant advertised_at_;

  bool warm_;
  bool proven_ = false;
  instant ramp_from_;

  double refusals_ = 0;
  instant refused_at_;

  bool failed_ = false;
  std::uint32_t lost_in_a_row_ = 0;
  duration retest_pause_ = target_chooser::kFirstRetest;
  instant retest_at_;
};

}  // namespace cuminferry
