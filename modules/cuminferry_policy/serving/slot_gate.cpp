#include "cuminferry_policy/serving/slot_gate.h"

#include <algorithm>
#include <limits>

namespace cuminferry {
namespace {

// Mean service time assumed until the first runs have ended.
constexpr double kInitialServiceMicros = 20'000.0;
constexpr std::uint64_t kMaxId = std::numeric_limits<std::uint64_t>::max();
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

std::size_t slot_gate::RequestsAhead(instant last_useful_start) const {
  return static_cast<std::size_t>(
      std::distance(queue_.begin(), queue_.upper_bound({last_useful_start, kMaxId})));
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

slot_verdict slot_gate::Offer(const slot_request& request, instant now) {
  if (!lacks_slots() && queue_.empty() && pacer_.TryTake(now)) {
    ++running_;
    return slot_verdict::kStart;
  }
  const instant last_useful_start = LastUsefulStart(request, now);
  const duration expected = ExpectedWait(RequestsAhead(last_useful_start), now);
  // Requests that wait for a turn show that other targets have no room either.
  if (!request.awaits_turn && queue_.empty() && pacer_.WaitFor(1, now) > kMaxTurnWait) {
    return slot_verdict::kOverRate;
  }
  const bool waits_too_long = pacer_.is_limited() && expected > MaxWaitForTurn();
  if (waiting() >= limit() * kMaxQueuedPerSlot || now + expected > last_useful_start ||
      waits_too_long) {
    longest_wait_ = std::max(longest_wait_, expected);
    return slot_verdict::kRefuse;
  }
  queue_.insert({last_useful_start, request.id});
  waiting_by_id_[request.id] = {.arrived_at = now, .last_useful_start = last_useful_start};
  return slot_verdict::kWait;
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
  const std::uint64_t id = queue_.begin()->second;
  longest_wait_ = std::max(longest_wait_, now - waiting_by_id_[id].arrived_at);
  queue_.erase(queue_.begin());
  waiting_by_id_.erase(id);
  ++running_;
  return id;
}

std::vector<std::uint64_t> slot_gate::TakeExpired(instant now) {
  std::vector<std::uint64_t> expired;
  while (!queue_.empty() && queue_.begin()->first < now) {
    const std::uint64_t id = queue_.begin()->second;
    longest_wait_ = std::max(longest_wait_, now - waiting_by_id_[id].arrived_at);
    expired.push_back(id);
    waiting_by_id_.erase(id);
    queue_.erase(queue_.begin());
  }
  return expired;
}

bool slot_gate::Remove(std::uint64_t id) {
  const auto found = waiting_by_id_.find(id);
  if (found == waiting_by_id_.end()) {
    return false;
  }
  queue_.erase({found->second.last_useful_start, id});
  waiting_by_id_.erase(found);
  return true;
}

duration slot_gate::TakeLongestWait(instant now) {
  duration longest = longest_wait_;
  longest_wait_ = duration::zero();
  for (const auto& [id, waiting] : waiting_by_id_) {
    longest = std::max(longest, now - waiting.arrived_at);
  }
  return longest;
}

std::optional<instant> slot_gate::NextTurn(instant now) const {
  const bool waits = !queue_.empty() && !lacks_slots() && pacer_.is_limited();
  return waits ? std::optional(now + pacer_.WaitFor(1, now)) : std::nullopt;
}

std::optional<instant> slot_gate::next_expiry() const {
  return queue_.empty() ? std::nullopt : std::optional<instant>(queue_.begin()->first);
}

}  // namespace cuminferry
