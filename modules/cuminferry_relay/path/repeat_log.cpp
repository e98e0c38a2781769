#include "cuminferry_relay/path/repeat_log.h"

#include <utility>

namespace cuminferry {

repeat_log::repeat_log(relay_board& board)
    : board_(board), timer_(board.loop), started_at_(board.loop.Now()) {}

void repeat_log::OnDecision(std::string_view row, bool allowed) {
  if (allowed) {
    ++allowed_;
    board_.metrics.OnRepeat(row);
  } else {
    ++denied_;
    board_.metrics.OnRepeatDenied(row);
  }
  if (!std::exchange(is_scheduled_, true)) {
    timer_.StartOnce(kPeriod, [this] { Write(); });
  }
}

void repeat_log::Write() {
  is_scheduled_ = false;
  const instant now = board_.loop.Now();
  const repeat_budget::figures figures = board_.repeats.FiguresAt(now);
  board_.log.LogChange("repeats.decided", {{"allowed", std::exchange(allowed_, 0)},
                                           {"denied", std::exchange(denied_, 0)},
                                           {"requests", RoundForLog(figures.requests)},
                                           {"repeats", RoundForLog(figures.repeats)},
                                           {"charged", RoundForLog(figures.charged)},
                                           {"earned", RoundForLog(figures.earned)},
                                           {"allowance", RoundForLog(figures.allowance)},
                                           {"targets", figures.targets},
                                           {"up_s", RoundForLog(ToSeconds(now - started_at_))}});
}

void repeat_log::SetGauges(relay_metrics& metrics) const {
  const repeat_budget::figures figures = board_.repeats.FiguresAt(board_.loop.Now());
  metrics.SetGauge("cuminferry_repeat_budget", {{"part", "earned"}}, figures.earned);
  metrics.SetGauge("cuminferry_repeat_budget", {{"part", "allowance"}}, figures.allowance);
  metrics.SetGauge("cuminferry_repeat_budget", {{"part", "used"}}, figures.repeats);
}

}  // namespace cuminferry
