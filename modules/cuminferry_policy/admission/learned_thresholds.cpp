#include "cuminferry_policy/admission/learned_thresholds.h"

#include <algorithm>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Older words of a callee are not used. */
constexpr milliseconds kThresholdLasts{2000};
/** Without a reply for so long, a request may pass as a test. */
constexpr milliseconds kProbeAfter{100};
/** A request that makes a call less often than this is not refused for it:
    more requests would be lost that never make the call than work is saved. */
constexpr float kMostly = 0.3F;
/** Counts are halved at this many, so that old habits are forgotten. */
constexpr float kForgetAt = 256;

bool IsFresh(const callee_row_record& callee, instant now) {
  return callee.replies > 0 && now - callee.last_reply < kThresholdLasts;
}

call_rank MedianOf(const callee_row_record& callee) {
  const std::size_t count = std::min<std::size_t>(callee.replies, callee_row_record::kReplies);
  std::array<call_rank, callee_row_record::kReplies> sorted = callee.thresholds;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
  std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(count));
  return *middle;
}

/** Whether requests of the row mostly make this call. */
bool MakesCallMostly(const row_paths& row, const row_path& path) {
  return path.calls >= kMostly * std::max(row.ended, 1.0F);
}

}  // namespace

void learned_thresholds::Learn(std::uint32_t row, std::string_view callee_service,
                               std::string_view callee_row, call_rank threshold, instant now) {
  const std::uint32_t place = PlaceOf(callee_service, callee_row);
  if (row >= board_.paths.rows.size() || place == callee_row_record::kNoCallee) {
    return;
  }
  callee_row_record& callee = board_.paths.callee_rows[place];
  if (!IsFresh(callee, now)) {
    callee.replies = 0;
  }
  callee.thresholds[callee.replies % callee_row_record::kReplies] = threshold;
  ++callee.replies;
  callee.last_reply = now;
  callee.median = MedianOf(callee);
  CountCall(board_.paths.rows[row], place);
  NoteCallees(row);
}

std::uint32_t learned_thresholds::PlaceOf(std::string_view service, std::string_view callee_row) {
  std::vector<callee_row_record>& known = board_.paths.callee_rows;
  for (std::size_t place = 0; place < known.size(); ++place) {
    if (known[place].callee_row == callee_row && known[place].callee_service == service) {
      return static_cast<std::uint32_t>(place);
    }
  }
  if (known.size() >= paths_section::kCalleeRowBound) {
    return callee_row_record::kNoCallee;
  }
  known.emplace_back();
  known.back().callee_service = service;
  known.back().callee_row = callee_row;
  known.back().callee = board_.waits.PlaceOf(service);
  return static_cast<std::uint32_t>(known.size() - 1);
}

/** Where all places are taken, the path that is used least gives way. */
void learned_thresholds::CountCall(row_paths& row, std::uint32_t callee_row) {
  const auto found = std::find_if(row.paths.begin(), row.paths.end(), [&](const row_path& path) {
    return path.callee_row == callee_row;
  });
  if (found != row.paths.end()) {
    found->calls += 1;
    return;
  }
  if (row.paths.size() >= row_paths::kPathBound) {
    row.paths.erase(std::min_element(
        row.paths.begin(), row.paths.end(),
        [](const row_path& left, const row_path& right) { return left.calls < right.calls; }));
  }
  row.paths.push_back({callee_row, 1});
}

void learned_thresholds::NoteCallees(std::uint32_t row) {
  std::uint64_t callees = 0;
  for (const row_path& path : board_.paths.rows[row].paths) {
    const std::uint32_t callee = board_.paths.callee_rows[path.callee_row].callee;
    if (callee != callee_row_record::kNoCallee && MakesCallMostly(board_.paths.rows[row], path)) {
      callees |= std::uint64_t{1} << callee;
    }
  }
  board_.rows.rows[row].callees = callees;
}

void learned_thresholds::OnEnded(std::uint32_t row) {
  row_paths& record = board_.paths.rows[row];
  record.ended += 1;
  NoteCallees(row);
  if (record.ended < kForgetAt) {
    return;
  }
  record.ended /= 2;
  for (row_path& path : record.paths) {
    path.calls /= 2;
  }
}

void learned_thresholds::Reset() {
  for (callee_row_record& callee : board_.paths.callee_rows) {
    callee.replies = 0;
    callee.median = {};
  }
}

call_rank learned_thresholds::Of(std::uint32_t row, instant now) const {
  call_rank highest;
  if (row >= board_.paths.rows.size()) {
    return highest;
  }
  const row_paths& record = board_.paths.rows[row];
  for (const row_path& path : record.paths) {
    const callee_row_record& callee = board_.paths.callee_rows[path.callee_row];
    if (IsFresh(callee, now) && MakesCallMostly(record, path)) {
      highest = std::max(highest, callee.median);
    }
  }
  return highest;
}

bool learned_thresholds::TakeProbe(std::uint32_t row, instant now) {
  for (const row_path& path : board_.paths.rows[row].paths) {
    callee_row_record& callee = board_.paths.callee_rows[path.callee_row];
    const bool silent = now - callee.last_reply >= kProbeAfter;
    if (callee.median != call_rank() && silent && now - callee.last_probe >= kProbeAfter) {
      callee.last_probe = now;
      return true;
    }
  }
  return false;
}

}  // namespace cuminferry
