#include "cuminferry_policy/targets/known_target.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

/** Assumed limit of a target that has reported none or has never answered. An instance on the
    list may not exist; a few calls are enough to identify that. */
constexpr double kUnconfirmedLimit = 4;
/** Fraction of its limit that a target gets at the start of its warm-up. */
constexpr double kInitialWarmUpFraction = 0.1;
/** After this time the last reported load of other nodes counts half. */
constexpr double kReportedLoadHalfLifeMicros = 500'000;
/** Added to the utilisation for each refusal that concerns only the instance. */
constexpr double kRefusalPenalty = 1.0;
constexpr double kMaxRefusalPenalty = 4.0;
constexpr double kRefusalHalfLifeMicros = 200'000;

double Decayed(double value, duration age, double half_life_micros) {
  return value * std::exp2(-static_cast<double>(age.count()) / half_life_micros);
}

}  // namespace

known_target::known_target(const target_info& info, tier distance, std::uint64_t subset_weight,
                           bool warmed_up)
    : address_(info.address),
      distance_(distance),
      subset_weight_(subset_weight),
      warmed_up_(warmed_up) {}

//==============================================================================
void known_target::NoteListed(const target_info& info) {
  // Only a change in the list takes effect. A lagging list repeats the draining state of the
  // instance that used this address before, and would leave the new instance, which has answered,
  // without calls for as long as the list lags.
  if (info.draining != last_listed_draining_ || !listed_) {
    draining_by_list_ = info.draining;
  }
  last_listed_draining_ = info.draining;
  listed_ = true;
}

void known_target::NoteUnlisted() {
  if (listed_) {
    draining_by_list_ = true;
  }
  listed_ = false;
}

void known_target::NoteDraining(instant now) {
  draining_by_evidence_ = true;
  last_evidence_at_ = now;
}

void known_target::NoteDraining(incarnation_id incarnation, instant now) {
  // The draining message of the previous instance at this address may arrive late. Applied to the
  // new one, it would leave a healthy target idle permanently.
  if (incarnation_ == 0 || incarnation_ == incarnation) {
    incarnation_ = incarnation;
    NoteDraining(now);
  }
}

void known_target::NoteReachable(instant now) {
  last_evidence_at_ = now;
  if (failed_) {
    retest_at_ = std::min(retest_at_, now);
  }
}

bool known_target::NoteIncarnation(incarnation_id incarnation, instant now) {
  NoteReachable(now);
  const bool replaced = incarnation_ != 0 && incarnation_ != incarnation;
  // If draining was reported before any incarnation was known, the instance that answers now may be
  // the draining one, so the target stays out of the choice.
  incarnation_ = incarnation;
  if (replaced) {
    ResetForNewIncarnation(now);
  } else {
    // The process itself has answered. When a connection goes silent, all calls on it are lost at
    // once, and the target counts as failed although a new connection works: callers would be
    // refused for lack of an instance.
    Recover(now);
  }
  return replaced;
}

void known_target::NoteProcessPause(instant now) {
  consecutive_losses_ = 0;
  retest_delay_ = target_chooser::kFirstRetestDelay;
  if (failed_) {
    retest_at_ = now;
  }
}

void known_target::NoteRetest(instant now) {
  retest_at_ = now + retest_delay_;
  retest_delay_ = std::min(retest_delay_ * 2, target_chooser::kMaxRetestDelay);
}

void known_target::NoteLost(instant sent, instant now) {
  in_flight_ -= std::min<std::uint32_t>(in_flight_, 1);
  if (sent > last_evidence_at_) {
    RecordLoss(now);
  }
}

void known_target::NoteEnded(target_outcome outcome, const advertised_load& load, instant now) {
  in_flight_ -= std::min<std::uint32_t>(in_flight_, 1);
  if (outcome == target_outcome::kLost) {
    RecordLoss(now);
    return;
  }
  RecordAnswer(now);
  if (outcome == target_outcome::kRefusedByInstance) {
    refusals_ = std::min(kMaxRefusalPenalty, RefusalPenalty(now) + kRefusalPenalty);
    refused_at_ = now;
  }
  if (load.limit > 0) {
    // The target's figure includes the calls of this node; the remainder are those of others.
    others_in_flight_ = load.in_flight - std::min(load.in_flight, in_flight_);
    limit_ = load.limit;
    advertised_at_ = now;
  }
}

//==============================================================================
bool known_target::MayBeRemoved(instant now) const {
  if (listed_ || in_flight_ > 0) {
    return false;
  }
  const duration retention = draining_by_evidence_ ? target_chooser::kDrainingRetention
                                                   : target_chooser::kUnlistedRetention;
  return now - last_evidence_at_ >= retention;
}

double known_target::Utilisation(instant now) const {
  const double others =
      Decayed(others_in_flight_, now - advertised_at_, kReportedLoadHalfLifeMicros);
  const double limit = limit_ == 0 || !has_answered_ ? kUnconfirmedLimit : limit_;
  return (in_flight_ + others + 1) / (limit * WarmUpFraction(now)) + RefusalPenalty(now);
}

//==============================================================================
void known_target::ResetForNewIncarnation(instant now) {
  draining_by_evidence_ = false;
  draining_by_list_ = false;
  failed_ = false;
  has_answered_ = false;
  warmed_up_ = false;
  consecutive_losses_ = 0;
  refusals_ = 0;
  others_in_flight_ = 0;
  limit_ = 0;
  last_evidence_at_ = now;
}

void known_target::RecordAnswer(instant now) {
  last_evidence_at_ = now;
  consecutive_losses_ = 0;
  retest_delay_ = target_chooser::kFirstRetestDelay;
  Recover(now);
  if (!has_answered_) {
    has_answered_ = true;
    warm_up_started_at_ = now;
  }
}

void known_target::Recover(instant now) {
  if (failed_) {
    failed_ = false;
    consecutive_losses_ = 0;
    warmed_up_ = false;
    warm_up_started_at_ = now;
  }
}

void known_target::RecordLoss(instant now) {
  ++consecutive_losses_;
  if (!failed_ && consecutive_losses_ >= target_chooser::kLossesToFail) {
    failed_ = true;
    retest_at_ = now + retest_delay_;
  }
}

double known_target::WarmUpFraction(instant now) const {
  const duration age = now - warm_up_started_at_;
  if (warmed_up_ || !has_answered_ || age >= target_chooser::kWarmUpDuration) {
    return 1;
  }
  const double elapsed_fraction = static_cast<double>(age.count()) /
                                  static_cast<double>(target_chooser::kWarmUpDuration.count());
  return kInitialWarmUpFraction + (1 - kInitialWarmUpFraction) * std::max(0.0, elapsed_fraction);
}

double known_target::RefusalPenalty(instant now) const {
  return refusals_ == 0 ? 0 : Decayed(refusals_, now - refused_at_, kRefusalHalfLifeMicros);
}

}  // namespace cuminferry
