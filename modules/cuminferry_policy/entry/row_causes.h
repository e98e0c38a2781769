#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Learns which rows the backend server calls while it runs requests of a row,
    and how often.

    Calls carry no tie to the request that caused them. In each short window the
    calls to a row are a sum over the rows that ran in it: of each run the part that
    fell into the window, times the calls that a run of its row makes. The calls a run
    that fit the windows of the last seconds best, none below zero, tell rows apart that
    often run side by side, as soon as their numbers sometimes differ. A run counts as
    one however long it took: counted by its time, lookups that wait in a surge seem to
    call less, and the calls that are then missing are laid to whatever else ran.

    Runs that broke off have made only some of their calls, and are counted apart from whole
    ones. Counted alike, many failed runs with a call or two and later a few whole ones with
    all of theirs leave a difference that whatever runs all the while seems to explain:
    uploads were refused for a full service that they never use.

    A row that the fit does nearly as well without is not taken for a cause. Uploads
    that merely run beside lookups were refused for the sake of a service that they
    never use: 35% of them served at three times the usual load.
*/
class row_causes {
 public:
  /** Length of a window: about a run, so that calls fall where their cause ran. */
  static constexpr duration kWindow = std::chrono::milliseconds(100);
  /** A window is read once the runs in it have ended, or after this many more. */
  static constexpr std::size_t kMostPending = 20;
  /** What a window keeps of its weight at the next: 30 s are remembered, so that
      a changed backend server shows within seconds. */
  static constexpr double kKept = 0.997;
  /** Fewer calls a run than this are taken as coincidence. A row that seldom calls
      a full service costs it little. */
  static constexpr double kLeastCalls = 0.4;
  /** A cause is one without which the squares of what is left unexplained grow by this
      many times their mean: four standard errors, as windows side by side are alike. */
  static constexpr double kLeastEvidence = 16.0;
  /** Kinds of runs that are learned of, whole ones and broken off ones of the first rows that
      run; a table's other rows don't run here. */
  static constexpr std::size_t kMostKinds = 32;
  /** A row breaks off where this part of its runs fails: more than a backend server's own
      errors are in calm times. */
  static constexpr double kBreaksOff = 0.1;

  /** How a run ended, as far as it tells of the calls that it made. */
  enum class run_fate : std::uint8_t {
    /** It made all its calls. */
    kWhole,
    /** It failed or ran out of time, perhaps for want of an answer to a call. */
    kFailed,
    /** Its caller left, or it was lost: no word of its calls. */
    kCutOff,
  };

  void OnRunStart(std::string_view row, instant now);
  /** @param started  as told to OnRunStart() */
  void OnRunEnd(std::string_view row, instant started, instant now, run_fate fate);
  /** The backend server calls this row. */
  void OnCall(std::string_view called, instant now);
  /** Clients send this row: what was taken for calls to it were their requests. */
  void OnSentByClients(std::string_view row);

  /** Calls to `called` in one run of `row`; zero where it is no cause of them. */
  double CallsPerRun(std::string_view row, std::string_view called) const;
  /** The rows that runs of `row` call, with the calls a run. */
  std::map<std::string, double> CalledBy(std::string_view row) const;
  /** Whether runs of `row` call any row. */
  bool IsCause(std::string_view row) const;
  /** Whether runs of `row` break off although none of the calls that the backend server makes
      are laid to them: they may make some all the same. */
  bool MayCallUnseen(std::string_view row) const;
  /** Calls that the backend server has made for each run, of whatever row. */
  std::map<std::string, double> CalledByAnyRun() const;
  /** Rows that ran here, as far as they are learned of. */
  const std::vector<std::string>& rows() const { return rows_; }
  /** Rows that the backend server called. */
  std::vector<std::string> called_rows() const;
  /** Whether it is known which rows runs of `row` call; false in the first seconds of a
      node whose backend server makes calls. */
  bool IsKnown(std::string_view row) const;

 private:
  /** Runs of a row that made all their calls, or those that broke off. */
  struct run_kind {
    std::size_t row = 0;
    bool whole = true;
  };
  /** A number for each kind of run, or each row, by its index. */
  using by_kind = std::vector<double>;
  using by_row = std::vector<double>;

  struct window {
    /** Parts of runs that fell into it. */
    by_kind runs;
    std::map<std::string, double, std::less<>> calls;
  };
  struct called_row {
    /** Sum over windows of the square of the calls. */
    double square = 0.0;
    /** Sum over windows of calls times each kind of runs. */
    by_kind products;
    /** Since the start. */
    double calls = 0.0;
    /** Calls a run that fit best. */
    by_kind fitted;
    /** Calls a run of rows that are causes; zero for the others. */
    by_row caused;
  };

  std::size_t RowIndex(std::string_view row) const;
  std::size_t KindIndex(std::size_t row, bool whole) const;
  std::size_t AddKind(std::size_t row, bool whole);
  void Advance(instant now);
  void ReadOldest();
  void Fit(const called_row& called, std::size_t without_row, by_kind& calls) const;
  double Unexplained(const called_row& called, const by_kind& calls) const;
  void FindCauses(called_row& called) const;
  bool BreaksOff(std::string_view row) const;
  double CallsOf(std::size_t row, const called_row& called, double mean_unexplained) const;

  std::vector<std::string> rows_;
  std::vector<run_kind> kinds_;
  std::multiset<instant> starts_;
  // The newest last; the first began at pending_from_.
  std::deque<window> pending_;
  instant pending_from_{};
  double windows_read_ = 0.0;
  // Since the start.
  double runs_begun_ = 0.0;
  /** Of the runs of a row, over the time that is remembered. */
  struct fate_counts {
    double ended = 0.0;
    double failed = 0.0;
  };
  std::vector<fate_counts> fates_;
  // Sum over windows of the products of the runs of two kinds.
  std::vector<by_kind> squares_;
  std::map<std::string, called_row, std::less<>> called_;
};

}  // namespace cuminferry
