#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cuminferry {

/** Tracks the success rate of each row, to decide whether a failed run should be repeated.

    A repeat helps against isolated failures: a lost call further down, or a defect that
    occurs rarely. One such failure fails the whole request, including rows that must not run
    again, although a repeat of the one failed call would probably succeed. If many runs of a
    row fail, the cause lies further down, and repeating all runs adds load there: at a success
    rate of one half, three levels of calls that each run twice send eight times the load to
    the last level. In that case failed runs are passed on as they are.
*/
class run_outcomes {
 public:
  /** Weight of the newest answer in the moving average, which spans about the last 20 answers. */
  static constexpr double kNewestAnswerWeight = 0.05;
  /** Minimum success rate of a row at which a failed run is worth repeating. At this rate a
      repeat succeeds four times in five, and ten levels of calls add less than a quarter to the
      load of each level, which the bound on repeats limits further. */
  static constexpr double kMinSuccessRate = 0.8;

  /** Records the result of a backend server's answer to a request of this row. */
  void OnAnswer(std::string_view row, bool success);
  /** Returns whether a repeat would probably succeed; true for a row without any answer yet. */
  bool IsRerunWorthwhile(std::string_view row) const;

 private:
  std::map<std::string, double, std::less<>> failure_rates_;
};

}  // namespace cuminferry
