#include "cuminferry_policy/admission/path_bulkhead.h"

#include <algorithm>

#include "cuminferry_policy/admission/learned_thresholds.h"

namespace cuminferry {
namespace {

/** Part of the slots that calls waiting on one service may hold. */
constexpr double kLargestPart = 0.6;
/** A row that offered a call this short a time ago wants slots. */
constexpr std::chrono::milliseconds kWantsFor{1000};

}  // namespace

std::uint32_t path_bulkhead::CalleeOf(std::string_view service) {
  std::vector<callee_waits>& callees = board_.waits.callees;
  for (std::size_t place = 0; place < callees.size(); ++place) {
    if (callees[place].service == service) {
      return static_cast<std::uint32_t>(place);
    }
  }
  if (callees.size() >= waits_section::kCalleeBound) {
    return running_call::kNoCallee;
  }
  callees.push_back({std::string(service), 0, false});
  return static_cast<std::uint32_t>(callees.size() - 1);
}

void path_bulkhead::BeginWait(running_call& call, std::string_view callee_service) {
  if (callee_service.empty()) {
    return;
  }
  call.callee = CalleeOf(callee_service);
  if (call.callee != running_call::kNoCallee) {
    ++board_.waits.callees[call.callee].waiting;
  }
}

void path_bulkhead::EndWait(running_call& call) {
  if (call.callee != running_call::kNoCallee) {
    --board_.waits.callees[call.callee].waiting;
    call.callee = running_call::kNoCallee;
  }
}

bool path_bulkhead::UsesCallee(std::uint32_t row, const callee_waits& callee) const {
  const row_paths& record = board_.paths.rows[row];
  return std::any_of(record.paths.begin(), record.paths.end(), [&](const learned_path& path) {
    return path.callee_service == callee.service && MakesCallMostly(record, path);
  });
}

bool path_bulkhead::OthersWantSlots(const callee_waits& callee, instant now) const {
  const std::vector<row_record>& rows = board_.rows.rows;
  for (std::uint32_t row = 0; row < rows.size(); ++row) {
    const bool wants = rows[row].last_offer != instant() && now - rows[row].last_offer < kWantsFor;
    if (wants && !UsesCallee(row, callee)) {
      return true;
    }
  }
  return false;
}

std::uint32_t path_bulkhead::MostWaiting() const {
  return static_cast<std::uint32_t>(std::max(1.0, board_.fixed.slots * kLargestPart));
}

void path_bulkhead::OnTick(instant now) {
  any_bounded_ = false;
  for (callee_waits& callee : board_.waits.callees) {
    callee.bounded = callee.waiting >= MostWaiting() / 2 && OthersWantSlots(callee, now);
    any_bounded_ = any_bounded_ || callee.bounded;
  }
}

bool path_bulkhead::Holds(std::uint32_t row) const {
  if (!any_bounded_) {
    return false;
  }
  return std::any_of(
      board_.waits.callees.begin(), board_.waits.callees.end(), [&](const callee_waits& callee) {
        return callee.bounded && callee.waiting >= MostWaiting() && UsesCallee(row, callee);
      });
}

}  // namespace cuminferry
