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

bool IsFresh(const learned_path& path, instant now) {
  return path.replies > 0 && now - path.last_reply < kThresholdLasts;
}

call_rank MedianOf(const learned_path& path) {
  const std::size_t count = std::min<std::size_t>(path.replies, learned_path::kReplies);
  std::array<call_rank, learned_path::kReplies> sorted = path.thresholds;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
  std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(count));
  return *middle;
}

/** Whether requests of the row mostly make this call. */
bool MakesCallMostly(const row_paths& row, const learned_path& path) {
  return path.calls >= kMostly * std::max(row.ended, 1.0F);
}

/** The record of a path; replaces the one unused longest where all are taken. */
learned_path& PathOf(row_paths& row, std::string_view service, std::string_view callee_row) {
  for (learned_path& path : row.paths) {
    if (path.callee_row == callee_row && path.callee_service == service) {
      return path;
    }
  }
  if (row.paths.size() < row_paths::kPathBound) {
    row.paths.emplace_back();
  } else {
    std::iter_swap(std::min_element(row.paths.begin(), row.paths.end(),
                                    [](const learned_path& left, const learned_path& right) {
                                      return left.last_reply < right.last_reply;
                                    }),
                   std::prev(row.paths.end()));
    row.paths.back() = learned_path();
  }
  row.paths.back().callee_service = service;
  row.paths.back().callee_row = callee_row;
  return row.paths.back();
}

}  // namespace

void learned_thresholds::Learn(std::uint32_t row, std::string_view callee_service,
                               std::string_view callee_row, call_rank threshold, instant now) {
  if (row >= board_.paths.rows.size()) {
    return;
  }
  learned_path& path = PathOf(board_.paths.rows[row], callee_service, callee_row);
  path.calls += 1;
  if (path.callee == learned_path::kNoCallee) {
    path.callee = board_.waits.PlaceOf(callee_service);
  }
  if (!IsFresh(path, now)) {
    path.replies = 0;
  }
  path.thresholds[path.replies % learned_path::kReplies] = threshold;
  ++path.replies;
  path.last_reply = now;
  path.median = MedianOf(path);
  NoteCallees(row);
}

void learned_thresholds::NoteCallees(std::uint32_t row) {
  std::uint64_t callees = 0;
  for (const learned_path& path : board_.paths.rows[row].paths) {
    if (path.callee != learned_path::kNoCallee && MakesCallMostly(board_.paths.rows[row], path)) {
      callees |= std::uint64_t{1} << path.callee;
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
  for (learned_path& path : record.paths) {
    path.calls /= 2;
  }
}

void learned_thresholds::Reset() {
  for (row_paths& row : board_.paths.rows) {
    for (learned_path& path : row.paths) {
      path.replies = 0;
      path.median = {};
    }
  }
}

call_rank learned_thresholds::Of(std::uint32_t row, instant now) const {
  call_rank highest;
  if (row >= board_.paths.rows.size()) {
    return highest;
  }
  const row_paths& record = board_.paths.rows[row];
  for (const learned_path& path : record.paths) {
    if (IsFresh(path, now) && MakesCallMostly(record, path)) {
      highest = std::max(highest, path.median);
    }
  }
  return highest;
}

bool learned_thresholds::TakeProbe(std::uint32_t row, instant now) {
  for (learned_path& path : board_.paths.rows[row].paths) {
    const bool silent = now - path.last_reply >= kProbeAfter;
    if (path.median != call_rank() && silent && now - path.last_probe >= kProbeAfter) {
      path.last_probe = now;
      return true;
    }
  }
  return false;
}

}  // namespace cuminferry
