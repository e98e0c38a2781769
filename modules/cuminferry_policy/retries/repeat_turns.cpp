#include "cuminferry_policy/retries/repeat_turns.h"

#include <algorithm>

namespace cuminferry {

void repeat_turns::OnAnswer(std::string_view row, double repeated_share, bool callee_shortage,
                            instant now) {
  auto found = rows_.find(row);
  if (found == rows_.end()) {
    if (repeated_share >= 1.0 && !callee_shortage) {
      return;
    }
    found = rows_.emplace(std::string(row), row_state{}).first;
  }
  found->second.share = repeated_share;
  found->second.callee_shortage = callee_shortage;
  found->second.reported_at = now;
}

bool repeat_turns::HasTurn(std::string_view row, instant now, random_source& random) {
  const auto found = rows_.find(row);
  if (found == rows_.end()) {
    return true;
  }
  row_state& state = found->second;
  if (state.share >= 1.0 || now - state.reported_at > kReportAge) {
    return true;
  }
  if (now >= state.turn_ends_at) {
    state.has_turn = random.Fraction() < state.share;
    state.turn_ends_at = now + kTurn;
  }
  return state.has_turn;
}

bool repeat_turns::IsScarce(const row_state& state, instant now) {
  return (state.share < 1.0 || state.callee_shortage) && now - state.reported_at <= kReportAge;
}

bool repeat_turns::IsScarce(std::string_view row, instant now) const {
  const auto found = rows_.find(row);
  return found != rows_.end() && IsScarce(found->second, now);
}

bool repeat_turns::IsAnyScarce(instant now) const {
  return std::ranges::any_of(rows_, [now](const auto& row) { return IsScarce(row.second, now); });
}

}  // namespace cuminferry
