#include "cuminferry_policy/admission/table_change.h"

#include <absl/container/flat_hash_map.h>

#include <limits>
#include <string_view>
#include <utility>

namespace cuminferry {
namespace {

/** The place of a row that the new table does not have. */
constexpr std::uint32_t kGone = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t kNoLimit = std::numeric_limits<std::uint32_t>::max();

row_record RecordOf(const request_row& row) {
  row_record record;
  record.name = row.name;
  record.target_limit = row.target_limit == 0 ? kNoLimit : row.target_limit;
  return record;
}

/** Takes a row's figures to its place in the new table and returns that place. A
    row that is gone stays at the end while calls of it are in flight. */
std::uint32_t CarryOver(std::uint32_t old, std::uint32_t place, admission_blackboard& board,
                        std::vector<row_record>& rows, std::vector<row_paths>& paths) {
  row_record& record = board.rows.rows[old];
  if (place != kGone) {
    record.target_limit = rows[place].target_limit;
    rows[place] = std::move(record);
    paths[place] = std::move(board.paths.rows[old]);
    return place;
  }
  if (record.running + record.queued > 0) {
    rows.push_back(std::move(record));
    paths.push_back(std::move(board.paths.rows[old]));
    return static_cast<std::uint32_t>(rows.size() - 1);
  }
  return kGone;
}

}  // namespace

void UseRows(const table_shard& shard, admission_blackboard& board) {
  std::vector<row_record> rows;
  absl::flat_hash_map<std::string_view, std::uint32_t> places;
  rows.reserve(shard.rows.size());
  for (const request_row& row : shard.rows) {
    places.emplace(row.name, static_cast<std::uint32_t>(rows.size()));
    rows.push_back(RecordOf(row));
  }
  std::vector<row_paths> paths(rows.size());
  std::vector<std::uint32_t> new_place(board.rows.rows.size());
  for (std::uint32_t old = 0; old < new_place.size(); ++old) {
    const auto same = places.find(board.rows.rows[old].name);
    new_place[old] =
        CarryOver(old, same == places.end() ? kGone : same->second, board, rows, paths);
  }
  board.rows.rows = std::move(rows);
  board.paths.rows = std::move(paths);
  for (auto& [key, call] : board.calls.running) {
    call.row = new_place[call.row];
  }
  for (queued_call& call : board.queue.calls()) {
    call.row = new_place[call.row];
  }
}

}  // namespace cuminferry
