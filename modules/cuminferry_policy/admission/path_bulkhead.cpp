#include "cuminferry_policy/admission/path_bulkhead.h"

#include <algorithm>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Part of the slots that calls waiting on one service may hold. */
constexpr double kLargestPart = 0.6;
/** Part of the slots that may wait apart. */
constexpr double kApartPart = 0.125;
constexpr double kLeastApart = 4;
/** A row that offered a call this short a time ago wants slots. */
constexpr milliseconds kWantsFor{1000};
/** Which services a row calls is known once so many of its requests ended. Before,
    it would pass for one that never calls the service. */
constexpr float kKnownFrom = 8;
/** A part stays bounded for so long after it was last nearly full. */
constexpr milliseconds kBoundedFor{500};

std::uint64_t BitOf(std::uint32_t place) { return std::uint64_t{1} << place; }

}  // namespace

std::uint32_t path_bulkhead::MostWaiting() const {
  return static_cast<std::uint32_t>(std::max(1.0, board_.fixed.slots * kLargestPart));
}

std::size_t path_bulkhead::LongestApart() const {
  return static_cast<std::size_t>(std::max(kLeastApart, board_.fixed.slots * kApartPart));
}

void path_bulkhead::BeginWait(running_call& call, std::string_view callee_service) {
  if (callee_service.empty()) {
    return;
  }
  call.callee = board_.waits.PlaceOf(callee_service);
  if (call.callee != running_call::kNoCallee) {
    ++board_.waits.callees[call.callee].waiting;
    NoteFull(call.callee);
  }
}

void path_bulkhead::EndWait(running_call& call) {
  if (call.callee != running_call::kNoCallee) {
    --board_.waits.callees[call.callee].waiting;
    NoteFull(call.callee);
    call.callee = running_call::kNoCallee;
  }
}

void path_bulkhead::NoteFull(std::uint32_t place) {
  const bool bounded = (board_.waits.bounded & BitOf(place)) != 0;
  const bool full = bounded && board_.waits.callees[place].waiting >= MostWaiting();
  board_.waits.full &= ~BitOf(place);
  board_.waits.full |= full ? BitOf(place) : 0;
}

bool path_bulkhead::OthersWantSlots(std::uint64_t callee, instant now) const {
  for (std::size_t place = 0; place < board_.rows.rows.size(); ++place) {
    const row_record& row = board_.rows.rows[place];
    const bool wants = row.last_offer != instant() && now - row.last_offer < kWantsFor;
    const bool known = board_.paths.rows[place].ended >= kKnownFrom;
    if (wants && known && (row.callees & callee) == 0) {
      return true;
    }
  }
  return false;
}

void path_bulkhead::OnTick(instant now) {
  for (std::uint32_t place = 0; place < board_.waits.callees.size(); ++place) {
    callee_waits& callee = board_.waits.callees[place];
    const bool nearly_full = callee.waiting + LongestApart() >= MostWaiting();
    if (nearly_full) {
      callee.bounded_until = now + kBoundedFor;
    }
    const bool bounded = now < callee.bounded_until && OthersWantSlots(BitOf(place), now);
    board_.waits.bounded &= ~BitOf(place);
    board_.waits.bounded |= bounded ? BitOf(place) : 0;
    NoteFull(place);
  }
  const std::vector<queued_call>& calls = board_.queue.calls();
  board_.queued_apart = static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(),
                    [&](const queued_call& call) { return board_.IsBounded(call.row); }));
}

}  // namespace cuminferry
