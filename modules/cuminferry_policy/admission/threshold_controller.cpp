#include "cuminferry_policy/admission/threshold_controller.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Desired queue length, as a fraction of the calls that can run concurrently. */
constexpr double kDesiredQueueFraction = 0.25;
constexpr double kMaxQueueFraction = 1.0;
constexpr std::size_t kMinQueueBound = 8;
/** Time within which the queue is to return to its desired length. */
constexpr double kMinCorrectionSeconds = 0.2;
/** The correction takes at least this multiple of the mean hold time. */
constexpr double kCorrectionHoldTimes = 1.5;
/** Fraction of the desired rate by which the admitted rate grows per second while the instance is
    busy. While the instance is idle, the growth doubles at regular intervals. */
constexpr double kGrowthPerSecond = 1.0;
constexpr double kMinGrowthDoublingSeconds = 0.1;
constexpr double kMaxGrowthSpeed = 32.0;
constexpr double kRateTimeConstantSeconds = 0.3;
/** While the limit increases, the measured rate lags behind the rate that the slots will soon
    allow. */
constexpr double kMinSlotRateFraction = 0.5;
/** Number of finished calls from which the service rate counts as known. */
constexpr std::uint32_t kMinFinishedCalls = 32;
/** The admitted rate exceeds the rate of answers by this factor, so that the rate of answers can
    grow. */
constexpr double kAnswerRateHeadroom = 1.25;
constexpr double kMinAdmittedPerSecond = 20;
constexpr double kMinAdmittedFraction = 0.8;
constexpr double kMicrosPerSecond = 1e6;
/** Calls of a weight are refused only if no call of a lower weight has started for this long. */
constexpr milliseconds kLowerWeightsAbsentFor{250};

}  // namespace

double threshold_controller::SlotServiceRate() const {
  const limit_section& limit = board_.limit;
  if (limit.hold_micros == 0) {
    return 0;
  }
  const double by_slots = board_.fixed.slots * kMicrosPerSecond / limit.hold_micros;
  const double by_limit = limit.limit * kMicrosPerSecond / limit.self_micros;
  return std::min(by_slots, by_limit);
}

double threshold_controller::DesiredQueueLength() const {
  const double max_concurrent = std::min<double>(board_.fixed.slots, board_.limit.limit);
  return std::max(1.0, max_concurrent * kDesiredQueueFraction);
}

std::size_t threshold_controller::MaxQueueLength(std::uint16_t lowest_weight, instant now) const {
  const double max_concurrent = std::min<double>(board_.fixed.slots, board_.limit.limit);
  auto desired =
      std::max(kMinQueueBound, static_cast<std::size_t>(max_concurrent * kMaxQueueFraction));
  if (board_.offered.HighestWeightStartedBelow(lowest_weight, now - kLowerWeightsAbsentFor)
          .has_value()) {
    desired *= 2;
  }
  return std::min<std::size_t>(board_.fixed.queue_bound, desired);
}

duration threshold_controller::ExpectedWait(std::size_t calls_ahead) const {
  if (board_.limit.service_rate <= 0) {
    return duration(0);
  }
  const double seconds = static_cast<double>(calls_ahead) / board_.limit.service_rate;
  return duration(static_cast<std::int64_t>(std::min(seconds, 3600.0) * kMicrosPerSecond));
}

void threshold_controller::Reset(instant now) {
  board_.offered.Clear();
  board_.threshold.own = {};
  board_.limit.service_rate = SlotServiceRate();
  finished_since_tick_ = 0;
  finished_total_ = 0;
  idle_for_ = duration(0);
  last_tick_ = now;
}

void threshold_controller::OnTick(instant now) {
  const duration elapsed = now - last_tick_;
  if (elapsed <= duration(0)) {
    return;
  }
  last_tick_ = now;
  board_.offered.Decay(elapsed);
  UpdateServiceRate(elapsed);
  UpdateAnswerRateThreshold(elapsed, now);
  MoveThreshold(elapsed, now);
}

void threshold_controller::UpdateServiceRate(duration elapsed) {
  const double seconds = ToSeconds(elapsed);
  const double slot_rate = SlotServiceRate();
  const bool busy = !board_.HasCapacity();
  const double sample = busy ? finished_since_tick_ / seconds : slot_rate;
  finished_since_tick_ = 0;
  double& rate = board_.limit.service_rate;
  rate += (sample - rate) * (1.0 - std::exp(-seconds / kRateTimeConstantSeconds));
  rate = std::max(rate, slot_rate * kMinSlotRateFraction);
}

// While callees refuse calls, callers retry and the offered load grows with each round. A threshold
// that a callee reported then admits more calls than intended until its next report arrives, and
// the callee refuses the difference after work was done for it. Limiting the admitted rate by the
// rate of answers avoids that work.
void threshold_controller::UpdateAnswerRateThreshold(duration elapsed, instant now) {
  const double seconds = ToSeconds(elapsed);
  const double sample = answers_since_tick_ / seconds;
  answers_since_tick_ = 0;
  answers_per_second_ +=
      (sample - answers_per_second_) * (1.0 - std::exp(-seconds / kRateTimeConstantSeconds));
  const double admitted_rate =
      std::max(kMinAdmittedPerSecond, answers_per_second_ * kAnswerRateHeadroom);
  const double surge_adjusted_rate = admitted_rate / board_.offered.SurgeFactor();
  board_.threshold.answer_rate_threshold =
      ClampToWeightOrder(board_.offered.ThresholdForRate(surge_adjusted_rate), now);
}

// A burst of requests of a high weight at one instance would raise the threshold into their weight,
// while requests of a lower weight still run there and are admitted elsewhere. Callers of the
// higher weight would then be refused in favour of the lower one. The threshold therefore stays
// below a weight until no call of a lower weight is left.
call_rank threshold_controller::ClampToWeightOrder(call_rank desired, instant now) const {
  std::optional<std::uint16_t> lower =
      board_.offered.HighestWeightStartedBelow(desired.weight(), now - kLowerWeightsAbsentFor);
  for (const queued_call& call : board_.queue.calls()) {
    if (call.rank.weight() >= desired.weight()) {
      break;
    }
    if (!board_.IsBehindBulkhead(call.row)) {
      lower = std::max(lower.value_or(0), call.rank.weight());
    }
  }
  if (!lower.has_value()) {
    return desired;
  }
  return call_rank(static_cast<std::uint16_t>(*lower + 1), false, 0);
}

double threshold_controller::HoldSeconds() const {
  return board_.limit.hold_micros / kMicrosPerSecond;
}

double threshold_controller::DesiredRate() const {
  const double queue = static_cast<double>(board_.queued_outside_bulkheads());
  const double service_rate = board_.limit.service_rate;
  const double correct_seconds =
      std::max(kMinCorrectionSeconds, kCorrectionHoldTimes * HoldSeconds());
  return std::max(service_rate * kMinAdmittedFraction,
                  service_rate + (DesiredQueueLength() - queue) / correct_seconds);
}

void threshold_controller::MoveThreshold(duration elapsed, instant now) {
  const double desired = DesiredRate();
  call_rank& own = board_.threshold.own;
  const double surge = board_.offered.SurgeFactor();
  const double offered_above = board_.offered.RateAbove(own) * surge;
  const bool busy = !board_.HasCapacity();
  const bool has_queue =
      2.0 * static_cast<double>(board_.queued_outside_bulkheads()) >= DesiredQueueLength();
  idle_for_ = has_queue ? duration(0) : idle_for_ + elapsed;
  if (busy && offered_above > desired && finished_total_ >= kMinFinishedCalls) {
    own = std::max(own, ClampToWeightOrder(board_.offered.ThresholdForRate(desired / surge), now));
  } else if (own != call_rank() && offered_above < desired) {
    own = board_.offered.LowerThreshold(
        own, std::min(desired - offered_above, desired * GrowthFraction(elapsed)));
  }
}

// A lower threshold changes the offered load only after a round trip through the callers' nodes and
// their backend servers. If the threshold kept falling at full speed during that time, it would
// admit several times too much and oscillate, and callers would get only half of the capacity.
double threshold_controller::GrowthFraction(duration elapsed) const {
  const double doubling_seconds = std::max(kMinGrowthDoublingSeconds, HoldSeconds());
  const double growth_speed =
      std::min(std::exp2(ToSeconds(idle_for_) / doubling_seconds), kMaxGrowthSpeed);
  return kGrowthPerSecond * growth_speed * ToSeconds(elapsed);
}

}  // namespace cuminferry
