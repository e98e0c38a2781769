#include "cuminferry_policy/admission/row_replacement.h"

#include <absl/container/flat_hash_map.h>

#include <limits>
#include <string_view>
#include <utility>

namespace cuminferry {
namespace {

/** Index of a row that the new table doesn't define. */
constexpr std::uint32_t kNoIndex = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t kNoLimit = std::numeric_limits<std::uint32_t>::max();

row_record MakeRowRecord(const request_row& row) {
  row_record record;
  record.name = row.name;
  record.target_limit = row.target_limit == 0 ? kNoLimit : row.target_limit;
  return record;
}

/** Moves a row's record to its index in the new table and returns that index. A row that the new
    table lacks is appended while calls of it are in flight. */
std::uint32_t MoveRow(std::uint32_t old_index, std::uint32_t index, admission_blackboard& board,
                      std::vector<row_record>& rows, std::vector<row_paths>& paths) {
  row_record& record = board.rows.rows[old_index];
  if (index != kNoIndex) {
    record.target_limit = rows[index].target_limit;
    rows[index] = std::move(record);
    paths[index] = std::move(board.paths.rows[old_index]);
    return index;
  }
  if (record.running + record.queued > 0) {
    rows.push_back(std::move(record));
    paths.push_back(std::move(board.paths.rows[old_index]));
    return static_cast<std::uint32_t>(rows.size() - 1);
  }
  return kNoIndex;
}

}  // namespace

void ReplaceRows(const table_shard& shard, admission_blackboard& board) {
  std::vector<row_record> rows;
  absl::flat_hash_map<std::string_view, std::uint32_t> index_by_name;
  rows.reserve(shard.rows.size());
  for (const request_row& row : shard.rows) {
    index_by_name.emplace(row.name, static_cast<std::uint32_t>(rows.size()));
    rows.push_back(MakeRowRecord(row));
  }
  std::vector<row_paths> paths(rows.size());
  std::vector<std::uint32_t> new_index(board.rows.rows.size());
  for (std::uint32_t old_index = 0; old_index < new_index.size(); ++old_index) {
    const auto found = index_by_name.find(board.rows.rows[old_index].name);
    new_index[old_index] = MoveRow(
        old_index, found == index_by_name.end() ? kNoIndex : found->second, board, rows, paths);
  }
  board.rows.rows = std::move(rows);
  board.paths.rows = std::move(paths);
  for (auto& [key, call] : board.calls.running) {
    call.row = new_index[call.row];
  }
  for (queued_call& call : board.queue.calls()) {
    call.row = new_index[call.row];
  }
}

}  // namespace cuminferry
