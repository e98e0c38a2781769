#include "cuminferry_policy/serving/slot_gate.h"

#include <algorithm>
#include <limits>

namespace cuminferry {
namespace {

// Until the first runs have ended.
constexpr double kAssumedServiceMicros = 20'000.0;
constexpr std::uint64_t kLastId = std::numeric_limits<std::uint64_t>::max();
// Weight of one run in the mean: the last hundred count, some hundred ms of a
// small backend server under load.
constexpr double kServiceWeight = 0.01;

}  // namespace

slot_gate::slot_gate(std::uint32_t slots)
    : learning_(slots), service_micros_(kAssumedServiceMicros) {}

void slot_gate::SetSlots(std::uint32_t slots) { learning_.SetSlots(slots); }

void slot_gate::Learn(instant now) { learning_.Step(!queue_.empty(), now); }

void slot_gate::OnRun(std::uint32_t began, double relative) {
  if (began > 0) {
    learning_.OnFullRun(began, relative);
  }
}

duration slot_gate::service_time() const {
  return duration(static_cast<duration::rep>(service_micros_));
}

instant slot_gate::LastUsefulStart(const slot_request& request, instant now) const {
  const double mean = request.run_time > duration::zero()
                          ? static_cast<double>(request.run_time.count())
                          : service_micros_;
  const duration run(static_cast<duration::rep>(kServiceMargin * mean));
  const instant deadline = now + request.deadline_left - run;
  if (request.nested) {
    return deadline;
  }
  const duration prompt(
      static_cast<duration::rep>(kPromptShare * static_cast<double>(request.objective.count())));
  const instant in_time = now + std::max(prompt, request.objective_left - run);
  return std::min(deadline, in_time);
}

duration slot_gate::ExpectedWait(instant give_up) const {
  const auto ahead = std::distance(queue_.begin(), queue_.upper_bound({give_up, kLastId}));
  const double turns = static_cast<double>(ahead + 1) / limit();
  return duration(static_cast<duration::rep>(turns * service_micros_));
}

slot_verdict slot_gate::Offer(const slot_request& request, instant now) {
  if (running_ < limit() && queue_.empty()) {
    ++running_;
    return slot_verdict::kStart;
  }
  const instant give_up = LastUsefulStart(request, now);
  const duration expected = ExpectedWait(give_up);
  if (waiting() >= limit() * kQueuePerSlot || now + expected > give_up) {
    longest_wait_ = std::max(longest_wait_, expected);
    return slot_verdict::kRefuse;
  }
  queue_.insert({give_up, request.id});
  by_id_[request.id] = {.arrived = now, .give_up = give_up};
  return slot_verdict::kWait;
}

void slot_gate::Finish(duration ran) {
  Release();
  service_micros_ += kServiceWeight * (static_cast<double>(ran.count()) - service_micros_);
}

void slot_gate::Release() { running_ -= running_ > 0 ? 1 : 0; }

std::optional<std::uint64_t> slot_gate::StartNext(instant now) {
  if (running_ >= limit() || queue_.empty()) {
    return std::nullopt;
  }
  const std::uint64_t id = queue_.begin()->second;
  longest_wait_ = std::max(longest_wait_, now - by_id_[id].arrived);
  queue_.erase(queue_.begin());
  by_id_.erase(id);
  ++running_;
  return id;
}

std::vector<std::uint64_t> slot_gate::TakeExpired(instant now) {
  std::vector<std::uint64_t> expired;
  while (!queue_.empty() && queue_.begin()->first < now) {
    const std::uint64_t id = queue_.begin()->second;
    longest_wait_ = std::max(longest_wait_, now - by_id_[id].arrived);
    expired.push_back(id);
    by_id_.erase(id);
    queue_.erase(queue_.begin());
  }
  return expired;
}

bool slot_gate::Remove(std::uint64_t id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return false;
  }
  queue_.erase({found->second.give_up, id});
  by_id_.erase(found);
  return true;
}

duration slot_gate::TakeLongestWait(instant now) {
  duration longest = longest_wait_;
  longest_wait_ = duration::zero();
  for (const auto& [id, waiting] : by_id_) {
    longest = std::max(longest, now - waiting.arrived);
  }
  return longest;
}

std::optional<instant> slot_gate::next_expiry() const {
  return queue_.empty() ? std::nullopt : std::optional<instant>(queue_.begin()->first);
}

}  // namespace cuminferry
