#include "cuminferry_policy/admission/path_bulkhead.h"

#include <algorithm>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Fraction of the slots that calls waiting for one service may hold. */
constexpr double kMaxWaitingFraction = 0.6;
/** Maximum queue length behind bulkheads, as a fraction of the slots. */
constexpr double kBulkheadQueueFraction = 0.125;
constexpr double kMinBulkheadQueue = 4;
/** A row counts as needing slots for this long after its last offered call. */
constexpr milliseconds kDemandValidity{1000};
/** A row's callees count as known once this many of its requests have finished. Before that, the
    row would count as one that never calls the service. */
constexpr float kMinFinishedRequests = 8;
/** A bulkhead stays active for this long after its waiting calls were last close to the maximum. */
constexpr milliseconds kBulkheadDuration{500};

std::uint64_t BitAt(std::uint32_t index) { return std::uint64_t{1} << index; }

}  // namespace

std::uint32_t path_bulkhead::MaxWaiting() const {
  return static_cast<std::uint32_t>(std::max(1.0, board_.fixed.slots * kMaxWaitingFraction));
}

std::size_t path_bulkhead::MaxBulkheadQueue() const {
  return static_cast<std::size_t>(
      std::max(kMinBulkheadQueue, board_.fixed.slots * kBulkheadQueueFraction));
}

void path_bulkhead::BeginWait(running_call& call, std::string_view callee_service) {
  if (callee_service.empty()) {
    return;
  }
  call.callee = board_.waits.FindOrAddCallee(callee_service);
  if (call.callee != running_call::kNoCallee) {
    ++board_.waits.callees[call.callee].waiting;
    UpdateFull(call.callee);
  }
}

void path_bulkhead::EndWait(running_call& call) {
  if (call.callee != running_call::kNoCallee) {
    --board_.waits.callees[call.callee].waiting;
    UpdateFull(call.callee);
    call.callee = running_call::kNoCallee;
  }
}

void path_bulkhead::UpdateFull(std::uint32_t index) {
  const bool bulkhead_active = (board_.waits.bulkhead_active & BitAt(index)) != 0;
  const bool bulkhead_full = bulkhead_active && board_.waits.callees[index].waiting >= MaxWaiting();
  board_.waits.bulkhead_full &= ~BitAt(index);
  board_.waits.bulkhead_full |= bulkhead_full ? BitAt(index) : 0;
}

bool path_bulkhead::DoOtherRowsNeedSlots(std::uint64_t callee, instant now) const {
  for (std::size_t index = 0; index < board_.rows.rows.size(); ++index) {
    const row_record& row = board_.rows.rows[index];
    const bool needs_slots = row.last_offer != instant() && now - row.last_offer < kDemandValidity;
    const bool has_known_callees = board_.paths.rows[index].finished >= kMinFinishedRequests;
    if (needs_slots && has_known_callees && (row.frequent_callees & callee) == 0) {
      return true;
    }
  }
  return false;
}

void path_bulkhead::OnTick(instant now) {
  for (std::uint32_t index = 0; index < board_.waits.callees.size(); ++index) {
    callee_waits& callee = board_.waits.callees[index];
    const bool nearly_full = callee.waiting + MaxBulkheadQueue() >= MaxWaiting();
    if (nearly_full) {
      callee.bulkhead_active_until = now + kBulkheadDuration;
    }
    const bool bulkhead_active =
        now < callee.bulkhead_active_until && DoOtherRowsNeedSlots(BitAt(index), now);
    board_.waits.bulkhead_active &= ~BitAt(index);
    board_.waits.bulkhead_active |= bulkhead_active ? BitAt(index) : 0;
    UpdateFull(index);
  }
  const std::vector<queued_call>& calls = board_.queue.calls();
  board_.queued_behind_bulkhead = static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(),
                    [&](const queued_call& call) { return board_.IsBehindBulkhead(call.row); }));
}

}  // namespace cuminferry
