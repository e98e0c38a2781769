#include "cuminferry_policy/admission/learned_thresholds.h"

#include <algorithm>

namespace cuminferry {
namespace {

using std::chrono::milliseconds;

/** Thresholds older than this are ignored. */
constexpr milliseconds kThresholdValidity{2000};
/** If a callee row has sent no reply for this long, one request may pass as a probe. */
constexpr milliseconds kProbeInterval{100};
/** Minimum number of calls per request for the callee's threshold to apply to a row. Below it, the
    refusals would hit more requests that never make the call than they would save work. */
constexpr float kMinCallFraction = 0.3F;
/** The counts are halved when they reach this number, so that older calls lose their weight. */
constexpr float kHalveCountsAt = 256;

bool IsFresh(const callee_row_record& callee, instant now) {
  return callee.replies > 0 && now - callee.last_reply < kThresholdValidity;
}

call_rank MedianOf(const callee_row_record& callee) {
  const std::size_t count =
      std::min<std::size_t>(callee.replies, callee_row_record::kMedianReplies);
  std::array<call_rank, callee_row_record::kMedianReplies> sorted = callee.thresholds;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
  std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(count));
  return *middle;
}

/** Returns whether requests of the row frequently make this call. */
bool IsFrequentCall(const row_paths& row, const row_path& path) {
  return path.calls >= kMinCallFraction * std::max(row.finished, 1.0F);
}

}  // namespace

void learned_thresholds::Learn(std::uint32_t row, std::string_view callee_service,
                               std::string_view callee_row, call_rank threshold, instant now) {
  const std::uint32_t index = FindOrAddCalleeRow(callee_service, callee_row);
  if (row >= board_.paths.rows.size() || index == callee_row_record::kNoCallee) {
    return;
  }
  callee_row_record& callee = board_.paths.callee_rows[index];
  if (!IsFresh(callee, now)) {
    callee.replies = 0;
  }
  callee.thresholds[callee.replies % callee_row_record::kMedianReplies] = threshold;
  ++callee.replies;
  callee.last_reply = now;
  callee.median = MedianOf(callee);
  CountCall(board_.paths.rows[row], index);
  UpdateFrequentCallees(row);
}

std::uint32_t learned_thresholds::FindOrAddCalleeRow(std::string_view service,
                                                     std::string_view callee_row) {
  std::vector<callee_row_record>& records = board_.paths.callee_rows;
  for (std::size_t index = 0; index < records.size(); ++index) {
    if (records[index].callee_row == callee_row && records[index].callee_service == service) {
      return static_cast<std::uint32_t>(index);
    }
  }
  if (records.size() >= paths_section::kMaxCalleeRows) {
    return callee_row_record::kNoCallee;
  }
  records.emplace_back();
  records.back().callee_service = service;
  records.back().callee_row = callee_row;
  records.back().callee = board_.waits.FindOrAddCallee(service);
  return static_cast<std::uint32_t>(records.size() - 1);
}

/** Counts a call from a row to a callee row. When the row's list of paths is full, the path with
    the fewest calls is replaced. */
void learned_thresholds::CountCall(row_paths& row, std::uint32_t callee_row) {
  const auto found = std::find_if(row.paths.begin(), row.paths.end(), [&](const row_path& path) {
    return path.callee_row == callee_row;
  });
  if (found != row.paths.end()) {
    found->calls += 1;
    return;
  }
  if (row.paths.size() >= row_paths::kMaxPaths) {
    row.paths.erase(std::min_element(
        row.paths.begin(), row.paths.end(),
        [](const row_path& left, const row_path& right) { return left.calls < right.calls; }));
  }
  row.paths.push_back({callee_row, 1});
}

void learned_thresholds::UpdateFrequentCallees(std::uint32_t row) {
  std::uint64_t frequent_callees = 0;
  for (const row_path& path : board_.paths.rows[row].paths) {
    const std::uint32_t callee = board_.paths.callee_rows[path.callee_row].callee;
    if (callee != callee_row_record::kNoCallee && IsFrequentCall(board_.paths.rows[row], path)) {
      frequent_callees |= std::uint64_t{1} << callee;
    }
  }
  board_.rows.rows[row].frequent_callees = frequent_callees;
}

void learned_thresholds::OnFinished(std::uint32_t row) {
  row_paths& record = board_.paths.rows[row];
  record.finished += 1;
  UpdateFrequentCallees(row);
  if (record.finished < kHalveCountsAt) {
    return;
  }
  record.finished /= 2;
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

call_rank learned_thresholds::ThresholdFor(std::uint32_t row, instant now) const {
  call_rank highest;
  if (row >= board_.paths.rows.size()) {
    return highest;
  }
  const row_paths& record = board_.paths.rows[row];
  for (const row_path& path : record.paths) {
    const callee_row_record& callee = board_.paths.callee_rows[path.callee_row];
    if (IsFresh(callee, now) && IsFrequentCall(record, path)) {
      highest = std::max(highest, callee.median);
    }
  }
  return highest;
}

bool learned_thresholds::TakeProbe(std::uint32_t row, instant now) {
  for (const row_path& path : board_.paths.rows[row].paths) {
    callee_row_record& callee = board_.paths.callee_rows[path.callee_row];
    const bool is_reply_overdue = now - callee.last_reply >= kProbeInterval;
    if (callee.median != call_rank() && is_reply_overdue &&
        now - callee.last_probe >= kProbeInterval) {
      callee.last_probe = now;
      return true;
    }
  }
  return false;
}

}  // namespace cuminferry
