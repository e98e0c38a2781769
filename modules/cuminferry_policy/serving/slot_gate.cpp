#include "cuminferry_policy/serving/slot_gate.h"

#include <algorithm>

namespace cuminferry {
namespace {

// Mean service time assumed until the first runs have ended.
constexpr double kInitialServiceMicros = 20'000.0;
// Weight of one run in the mean service time, which covers about the last hundred runs: a few
// hundred ms of a small backend server under load.
constexpr double kServiceTimeWeight = 0.01;

}  // namespace

slot_gate::slot_gate(std::uint32_t slots)
    : learning_(slots), mean_service_micros_(kInitialServiceMicros) {}

void slot_gate::SetSlots(std::uint32_t slots) { learning_.SetSlots(slots); }

void slot_gate::Learn(instant now) { learning_.Step(!queue_.empty() && lacks_slots(), now); }

void slot_gate::OnRun(std::uint32_t limit_at_start, double relative_time) {
  if (limit_at_start > 0) {
    learning_.OnFullRun(limit_at_start, relative_time);
  }
}

duration slot_gate::service_time() const {
  return duration(static_cast<duration::rep>(mean_service_micros_));
}

instant slot_gate::LastUsefulStart(const slot_request& request, instant now) const {
  const double mean = request.run_time > duration::zero()
                          ? static_cast<double>(request.run_time.count())
                          : mean_service_micros_;
  const duration run_allowance(static_cast<duration::rep>(kRunTimeMargin * mean));
  const instant deadline_start = now + request.deadline_left - run_allowance;
  if (request.nested) {
    return deadline_start;
  }
  const duration prompt_limit(static_cast<duration::rep>(
      kPromptRefusalShare * static_cast<double>(request.objective.count())));
  const instant in_time_start =
      now + std::max(prompt_limit, request.objective_left - run_allowance);
  return std::min(deadline_start, in_time_start);
}

duration slot_gate::ExpectedWait(std::size_t requests_ahead, instant now) const {
  const duration wait_for_turn = pacer_.WaitFor(requests_ahead + 1, now);
  if (!lacks_slots() && pacer_.is_limited()) {
    return wait_for_turn;
  }
  const double rounds = static_cast<double>(requests_ahead + 1) / limit();
  const duration wait_for_slot(static_cast<duration::rep>(rounds * mean_service_micros_));
  return std::max(wait_for_slot, wait_for_turn);
}

duration slot_gate::MaxWaitForTurn() const {
  const std::chrono::duration<double> few_turns(kMinQueuedTurns / pacer_.rate());
  return std::max(kMaxTurnQueueTime, std::chrono::round<duration>(few_turns));
}

request_queue::start_times slot_gate::StartTimes(instant now) const {
  const double turn = pacer_.is_limited() ? std::micro::den / pacer_.rate() : 0.0;
  return {.first = ExpectedWait(0, now),
          .interval_micros = std::max(mean_service_micros_ / limit(), turn)};
}

bool slot_gate::IsTooLong(instant now) const {
  return waiting() > limit() * kMaxQueuedPerSlot ||
         (pacer_.is_limited() && ExpectedWait(waiting() - 1, now) > MaxWaitForTurn());
}

slot_verdict slot_gate::Offer(const slot_request& request, instant now) {
  if (!lacks_slots() && queue_.empty() && pacer_.TryTake(now)) {
    ++running_;
    waits_since_ = now;
    return slot_verdict::kStart;
  }
  const request_queue::request arriving{.id = request.id,
                                        .priority = request.priority,
                                        .nested = request.nested,
                                        .last_useful_start = LastUsefulStart(request, now),
                                        .arrived_at = now};
  queue_.OnArrival(request.nested);
  const duration expected = ExpectedWait(queue_.StartsAhead(arriving), now);
  // Requests that wait for a turn show that other targets have no room either.
  if (!request.awaits_turn && queue_.empty() && pacer_.WaitFor(1, now) > kMaxTurnWait) {
    return slot_verdict::kOverRate;
  }
  if (is_by_importance()) {
    longest_wait_ = std::max(longest_wait_, ExpectedWait(waiting(), now));
  }
  const bool waits_too_long = pacer_.is_limited() && expected > MaxWaitForTurn();
  const bool is_full = !is_by_importance() && waiting() >= limit() * kMaxQueuedPerSlot;
  if (is_full || now + expected > arriving.last_useful_start || waits_too_long) {
    if (!is_by_importance()) {
      longest_wait_ = std::max(longest_wait_, expected);
    }
    return slot_verdict::kRefuse;
  }
  if (queue_.empty()) {
    waits_since_ = now;
  }
  queue_.Add(arriving);
  if (is_by_importance()) {
    Displace(now);
    const auto own = std::find(displaced_.begin(), displaced_.end(), request.id);
    if (own != displaced_.end()) {
      displaced_.erase(own);
      return slot_verdict::kRefuse;
    }
  }
  return slot_verdict::kWait;
}

void slot_gate::Displace(instant now) {
  if (!is_by_importance() || queue_.empty()) {
    return;
  }
  const request_queue::start_times starts = StartTimes(now);
  while (const auto late = queue_.TakeLate(starts, now)) {
    displaced_.push_back(late->id);
  }
  while (!queue_.empty() && IsTooLong(now)) {
    displaced_.push_back(queue_.TakeLeastImportant()->id);
  }
}

std::optional<std::uint64_t> slot_gate::TakeDisplaced() {
  if (displaced_.empty()) {
    return std::nullopt;
  }
  const std::uint64_t id = displaced_.back();
  displaced_.pop_back();
  return id;
}

void slot_gate::Finish(duration served_time) {
  Release();
  mean_service_micros_ +=
      kServiceTimeWeight * (static_cast<double>(served_time.count()) - mean_service_micros_);
}

void slot_gate::Release() { running_ -= running_ > 0 ? 1 : 0; }

std::optional<std::uint64_t> slot_gate::StartNext(instant now) {
  if (lacks_slots() || queue_.empty() || !pacer_.TryTake(now)) {
    return std::nullopt;
  }
  const request_queue::request next = *queue_.TakeNext();
  if (!is_by_importance()) {
    longest_wait_ = std::max(longest_wait_, now - next.arrived_at);
  }
  waits_since_ = now;
  ++running_;
  return next.id;
}

std::vector<std::uint64_t> slot_gate::TakeExpired(instant now) {
  std::vector<std::uint64_t> expired;
  while (const auto next = queue_.TakeExpired(now)) {
    if (!is_by_importance()) {
      longest_wait_ = std::max(longest_wait_, now - next->arrived_at);
    }
    expired.push_back(next->id);
  }
  return expired;
}

bool slot_gate::Remove(std::uint64_t id) { return queue_.Take(id).has_value(); }

duration slot_gate::TakeLongestWait(instant now) {
  duration longest = longest_wait_;
  longest_wait_ = duration::zero();
  if (queue_.empty()) {
    return longest;
  }
  if (is_by_importance()) {
    return std::max({longest, ExpectedWait(waiting() - 1, now), now - waits_since_});
  }
  return std::max(longest, now - queue_.earliest_arrival());
}

std::optional<instant> slot_gate::NextTurn(instant now) const {
  const bool waits = !queue_.empty() && !lacks_slots() && pacer_.is_limited();
  return waits ? std::optional(now + pacer_.WaitFor(1, now)) : std::nullopt;
}

}  // namespace cuminferry
