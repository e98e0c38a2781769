#include "cuminferry_policy/targets/known_target.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

/** Limit of a target that has not said one, and of one that never answered: a
    list may name an instance that is not there, which a few calls find out. */
constexpr double kUnprovenLimit = 4;
/** The part of its limit with which a cold target begins. */
constexpr double kRampBegin = 0.1;
/** After this time a fact about others' calls counts half. */
constexpr double kFactHalfLifeMicros = 500'000;
/** A refusal for the instance's own sake makes it look this much fuller. */
constexpr double kRefusalWeight = 1.0;
constexpr double kMostRefusals = 4.0;
constexpr double kRefusalHalfLifeMicros = 200'000;

double Halved(double value, duration age, double half_life_micros) {
  return value * std::exp2(-static_cast<double>(age.count()) / half_life_micros);
}

}  // namespace

known_target::known_target(const target_info& info, tier distance, std::uint64_t subset_weight,
                           bool warm)
    : at_(info.at), distance_(distance), subset_weight_(subset_weight), warm_(warm) {}

//==============================================================================
void known_target::NoteListed(const target_info& info) {
  // Only a change of what the list says counts. A lagging list repeats "leaving"
  // of the instance that stood at this address before, and would keep the new one,
  // which has answered, without work for as long as it lags.
  if (info.leaving != list_said_leaving_ || !listed_) {
    leaving_by_list_ = info.leaving;
  }
  list_said_leaving_ = info.leaving;
  listed_ = true;
}

void known_target::NoteUnlisted() {
  if (listed_) {
    leaving_by_list_ = true;
  }
  listed_ = false;
}

void known_target::NoteLeaving(instant now) {
  leaving_directly_ = true;
  evidence_at_ = now;
}

void known_target::NoteLeaving(incarnation_id incarnation, instant now) {
  // The goodbye of the instance that stood here before may come late. Taken for
  // the new one, it would keep a healthy target idle for good.
  if (incarnation_ == 0 || incarnation_ == incarnation) {
    incarnation_ = incarnation;
    NoteLeaving(now);
  }
}

void known_target::NoteReachable(instant now) {
  evidence_at_ = now;
  if (failed_) {
    retest_at_ = std::min(retest_at_, now);
  }
}

bool known_target::NoteIncarnation(incarnation_id incarnation, instant now) {
  NoteReachable(now);
  const bool replaced = incarnation_ != 0 && incarnation_ != incarnation;
  // Leaving before its incarnation was known: the one that answers now may be the
  // one that is leaving, so it stays out.
  incarnation_ = incarnation;
  if (replaced) {
    BeginAfresh(now);
  } else {
    // The process itself answered. When a connection went silent, all calls on it
    // were lost at once, and the target would pass for dead though a new
    // connection works: callers would hear that there is no instance.
    Recover(now);
  }
  return replaced;
}

void known_target::NoteOwnPause(instant now) {
  lost_in_a_row_ = 0;
  retest_pause_ = target_chooser::kFirstRetest;
  if (failed_) {
    retest_at_ = now;
  }
}

void known_target::NoteRetest(instant now) {
  retest_at_ = now + retest_pause_;
  retest_pause_ = std::min(retest_pause_ * 2, target_chooser::kLongestRetest);
}

void known_target::NoteLost(instant sent, instant now) {
  in_flight_ -= std::min<std::uint32_t>(in_flight_, 1);
  if (sent > evidence_at_) {
    Lost(now);
  }
}

void known_target::NoteEnded(target_outcome outcome, const advertised_load& load, instant now) {
  in_flight_ -= std::min<std::uint32_t>(in_flight_, 1);
  if (outcome == target_outcome::kLost) {
    Lost(now);
    return;
  }
  Answered(now);
  if (outcome == target_outcome::kRefusedHere) {
    refusals_ = std::min(kMostRefusals, RefusalPenalty(now) + kRefusalWeight);
    refused_at_ = now;
  }
  if (load.limit > 0) {
    // The target counts our own calls too; what is left are those of others.
    others_in_flight_ = load.in_flight - std::min(load.in_flight, in_flight_);
    limit_ = load.limit;
    advertised_at_ = now;
  }
}

//==============================================================================
bool known_target::Forgettable(instant now) const {
  if (listed_ || in_flight_ > 0) {
    return false;
  }
  const duration memory =
      leaving_directly_ ? target_chooser::kLeavingMemory : target_chooser::kUnlistedMemory;
  return now - evidence_at_ >= memory;
}

double known_target::Utilisation(instant now) const {
  const double others = Halved(others_in_flight_, now - advertised_at_, kFactHalfLifeMicros);
  const double limit = limit_ == 0 || !proven_ ? kUnprovenLimit : limit_;
  return (in_flight_ + others + 1) / (limit * RampPart(now)) + RefusalPenalty(now);
}

//==============================================================================
void known_target::BeginAfresh(instant now) {
  leaving_directly_ = false;
  leaving_by_list_ = false;
  failed_ = false;
  proven_ = false;
  warm_ = false;
  lost_in_a_row_ = 0;
  refusals_ = 0;
  others_in_flight_ = 0;
  limit_ = 0;
  evidence_at_ = now;
}

void known_target::Answered(instant now) {
  evidence_at_ = now;
  lost_in_a_row_ = 0;
  retest_pause_ = target_chooser::kFirstRetest;
  Recover(now);
  if (!proven_) {
    proven_ = true;
    ramp_from_ = now;
  }
}

void known_target::Recover(instant now) {
  if (failed_) {
    failed_ = false;
    lost_in_a_row_ = 0;
    warm_ = false;
    ramp_from_ = now;
  }
}

void known_target::Lost(instant now) {
  ++lost_in_a_row_;
  if (!failed_ && lost_in_a_row_ >= target_chooser::kLostToFail) {
    failed_ = true;
    retest_at_ = now + retest_pause_;
  }
}

double known_target::RampPart(instant now) const {
  const duration age = now - ramp_from_;
  if (warm_ || !proven_ || age >= target_chooser::kRamp) {
    return 1;
  }
  const double passed =
      static_cast<double>(age.count()) / static_cast<double>(target_chooser::kRamp.count());
  return kRampBegin + (1 - kRampBegin) * std::max(0.0, passed);
}

double known_target::RefusalPenalty(instant now) const {
  return refusals_ == 0 ? 0 : Halved(refusals_, now - refused_at_, kRefusalHalfLifeMicros);
}

}  // namespace cuminferry
