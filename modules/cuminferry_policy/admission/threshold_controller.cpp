#include "cuminferry_policy/admission/threshold_controller.h"

#include <algorithm>
#include <cmath>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Aimed queue, as part of the calls that can run at once. */
constexpr double kAimedPart = 0.25;
constexpr double kLongestPart = 1.0;
constexpr std::size_t kLeastLongest = 8;
/** A queue off its aim is to be back within this time. */
constexpr double kCorrectSeconds = 0.2;
/** Until a lower threshold shows in what is offered: about one round through
    the callers' nodes. */
constexpr double kRoundSeconds = 0.1;
constexpr double kEndsMemorySeconds = 0.3;
constexpr double kLeastPartOffered = 0.05;
constexpr milliseconds kIdleDoubles{50};
constexpr double kMicrosPerSecond = 1e6;
constexpr double kFastestDescent = 16.0;
/** A weight is refused only when no lower one has started for so long. */
constexpr milliseconds kLowerWeightsGone{100};

double Seconds(duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

double threshold_controller::RateOfSlots() const {
  const limit_section& limit = board_.limit;
  if (limit.hold_micros == 0) {
    return 0;
  }
  const double by_slots = board_.fixed.slots * kMicrosPerSecond / limit.hold_micros;
  const double by_limit = limit.limit * kMicrosPerSecond / limit.self_micros;
  return std::min(by_slots, by_limit);
}

double threshold_controller::AimedQueue() const {
  const double at_once = std::min<double>(board_.fixed.slots, board_.limit.limit);
  return std::max(1.0, at_once * kAimedPart);
}

std::size_t threshold_controller::LongestQueue(std::uint16_t lowest_weight, instant now) const {
  const double at_once = std::min<double>(board_.fixed.slots, board_.limit.limit);
  auto wanted = std::max(kLeastLongest, static_cast<std::size_t>(at_once * kLongestPart));
  if (board_.offered.StartedBelow(lowest_weight, now - kLowerWeightsGone).has_value()) {
    wanted *= 2;
  }
  return std::min<std::size_t>(board_.fixed.queue_bound, wanted);
}

duration threshold_controller::WaitBehind(std::size_t ahead) const {
  if (board_.limit.ends_per_second <= 0) {
    return duration(0);
  }
  const double seconds = static_cast<double>(ahead) / board_.limit.ends_per_second;
  return duration(static_cast<std::int64_t>(std::min(seconds, 3600.0) * kMicrosPerSecond));
}

void threshold_controller::Reset(instant now) {
  board_.offered.Clear();
  board_.threshold.own = {};
  board_.limit.ends_per_second = RateOfSlots();
  ends_since_tick_ = 0;
  idle_for_ = duration(0);
  last_tick_ = now;
}

void threshold_controller::OnTick(instant now) {
  const duration passed = now - last_tick_;
  if (passed <= duration(0)) {
    return;
  }
  last_tick_ = now;
  board_.offered.Decay(passed);
  FollowEnds(passed);
  Move(passed, now);
}

void threshold_controller::FollowEnds(duration passed) {
  const double seconds = Seconds(passed);
  double& rate = board_.limit.ends_per_second;
  const bool busy = !board_.HasRoom();
  const double sample = busy ? ends_since_tick_ / seconds : RateOfSlots();
  ends_since_tick_ = 0;
  rate += (sample - rate) * (1.0 - std::exp(-seconds / kEndsMemorySeconds));
}

// A burst of permits at one instance would lift the threshold into their weight while
// maps still run there and enter elsewhere. A farmer would be turned away in favour of
// a map. So the threshold stops below a weight until all lower ones are gone.
call_rank threshold_controller::InOrder(call_rank wanted, instant now) const {
  const std::optional<std::uint16_t> lower =
      board_.offered.StartedBelow(wanted.weight(), now - kLowerWeightsGone);
  if (!lower.has_value()) {
    return wanted;
  }
  return call_rank(static_cast<std::uint16_t>(*lower + 1), false, 0);
}

void threshold_controller::Move(duration passed, instant now) {
  const double queue = static_cast<double>(board_.queued_together());
  const double ends = board_.limit.ends_per_second;
  const double wanted =
      std::max(ends * kLeastPartOffered, ends + (AimedQueue() - queue) / kCorrectSeconds);
  call_rank& own = board_.threshold.own;
  const double above = board_.offered.RateAbove(own);
  const bool busy = !board_.HasRoom();
  if (busy && above > wanted && ends > 0) {
    own = std::max(own, InOrder(board_.offered.ThresholdForRate(wanted), now));
    idle_for_ = duration(0);
    return;
  }
  idle_for_ = busy ? duration(0) : idle_for_ + passed;
  if (own == call_rank() || above >= wanted) {
    return;
  }
  const double doublings =
      static_cast<double>(idle_for_.count()) / static_cast<double>(duration(kIdleDoubles).count());
  const double speed = std::min(std::exp2(doublings), kFastestDescent);
  own = board_.offered.Lower(own, (wanted - above) * speed * Seconds(passed) / kRoundSeconds);
}

}  // namespace cuminferry
