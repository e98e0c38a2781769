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

/** Learns which rows the backend server calls while it runs requests of a row, and how often.

    A call doesn't name the request that makes it. In each short window, the calls of a row are
    modelled as a sum over the rows that ran in the window: the fraction of each run that fell
    into the window, times the calls in one run of its row. A non-negative least-squares fit over
    the windows of the last seconds gives the calls in one run. The fit distinguishes rows that
    often run concurrently, as soon as their numbers sometimes differ. A run counts as one
    however long it took: if runs were weighted by time, lookups that wait in a surge would seem
    to make fewer calls, and the missing calls would be attributed to other running rows.

    Aborted runs have made only some of their calls, and are counted apart from completed ones.
    If both were counted together, many failed runs with one or two calls, followed by a few
    completed runs with all calls, would leave a residual that any continuously running row seems
    to explain: uploads were refused because of a full service that they never use.

    Calls are not attributed to a row if the fit is nearly as good without it. Uploads that
    merely ran concurrently with lookups were refused because of a service that they never use:
    35% of them were served at three times the usual load.

    Nor are they attributed to a row whose runs complete although these calls fail: a run that
    needs a call fails with it. This tells rows apart in the first seconds of a node beside a
    full service, when few windows are known and many calls fail.
*/
class call_attribution {
 public:
  /** Length of a window: about one run, so that calls fall into the windows of their run. */
  static constexpr duration kWindow = std::chrono::milliseconds(100);
  /** A window is evaluated once the runs in it have finished, or after this many more. */
  static constexpr std::size_t kMaxPendingWindows = 20;
  /** Factor on the weight of earlier windows at each new one. About 30 s are remembered, so that
      a changed backend server shows within seconds. */
  static constexpr double kWindowDecay = 0.997;
  /** Fewer calls in one run than this are taken for coincidence. A row that seldom calls a full
      service costs that service little. */
  static constexpr double kMinCallsPerRun = 0.4;
  /** Calls are attributed to a row if the sum of squared residuals without the row grows by at
      least this many times the mean: four standard errors, as successive windows are similar. */
  static constexpr double kMinEvidence = 16.0;
  /** Maximum number of kinds of runs, counting the completed and the aborted runs of a row
      apart. Rows beyond it are ignored; most rows of a table don't run at one node. */
  static constexpr std::size_t kMaxRunKinds = 32;
  /** A row fails often if more than this share of its runs fails: more than a backend server's
      own errors under normal load. */
  static constexpr double kOftenFailingShare = 0.1;

  /** Failed runs that a row must lack, of those expected if it made the calls, before the calls are
      taken for another row's. */
  static constexpr double kMinMissingFailures = 4.0;
  /** The same for a row of which no run has failed. */
  static constexpr double kMinMissingOfNone = 2.0;
  /** The calls are another row's if less than this share of the expected failures occurred. */
  static constexpr double kMaxOccurredFailures = 1.0 / 3.0;

  /** How a run finished, as far as that shows which calls it made. */
  enum class run_outcome : std::uint8_t {
    /** The run made all its calls. */
    kCompleted,
    /** The run failed or timed out, perhaps because a call was not answered. */
    kFailed,
    /** The caller left, or the run was lost: nothing is known of its calls. */
    kCancelled,
  };

  void OnRunStart(std::string_view row, instant now);
  /** @param started  the time that was passed to OnRunStart() */
  void OnRunEnd(std::string_view row, instant started, instant now, run_outcome outcome);
  /** Counts a call of this row by the backend server. */
  void OnCall(std::string_view called, instant now);
  /** Records whether a call of this row failed in the end, with all its repeats. */
  void OnCallEnd(std::string_view called, bool failed);
  /** Discards the calls counted for a row that clients send: they were the clients' requests. */
  void OnSentByClients(std::string_view row);

  /** Calls of `called` in one run of `row`; zero where no calls are attributed to `row`. */
  double CallsPerRun(std::string_view row, std::string_view called) const;
  /** The rows that runs of `row` call, with the calls in one run. */
  std::map<std::string, double> CalleesOf(std::string_view row) const;
  /** Whether calls of any row are attributed to `row`. */
  bool MakesCalls(std::string_view row) const;
  /** Whether runs of `row` fail often although no calls of the backend server are attributed to
      them: such runs may make calls all the same. */
  bool MayMakeUnattributedCalls(std::string_view row) const;
  /** Mean number of calls in one run of any row, by called row. */
  std::map<std::string, double> MeanCallsPerRun() const;
  /** Rows that ran here, up to the maximum number of kinds of runs. */
  const std::vector<std::string>& rows() const { return rows_; }
  /** Rows that the backend server called. */
  std::vector<std::string> called_rows() const;
  /** Whether the calls of runs of `row` are known; false in the first seconds of a node whose
      backend server makes calls. */
  bool KnowsCallsOf(std::string_view row) const;

 private:
  /** The completed runs of a row, or its aborted ones. */
  struct run_kind {
    std::size_t row = 0;
    bool completed = true;
  };
  /** A number for each kind of run, or for each row, by its index. */
  using kind_vector = std::vector<double>;
  using row_vector = std::vector<double>;

  struct window {
    /** Sum of the fractions of runs that fell into the window, by kind of run. */
    kind_vector runs;
    std::map<std::string, double, std::less<>> calls;
  };
  struct called_row {
    /** Sum over windows of the squared number of calls. */
    double calls_squared = 0.0;
    /** Sum over windows of the calls times the runs of each kind. */
    kind_vector products;
    /** Calls since the node started. */
    double calls = 0.0;
    /** Calls that ended, and those that failed, weighted as the windows are. */
    double ended = 0.0;
    double failed = 0.0;
    /** Calls in one run that fit best. */
    kind_vector fitted;
    /** Calls in one run of the rows that calls are attributed to; zero for the others. */
    row_vector attributed;
  };

  std::size_t RowIndex(std::string_view row) const;
  std::size_t KindIndex(std::size_t row, bool completed) const;
  std::size_t AddKind(std::size_t row, bool completed);
  void Advance(instant now);
  void EvaluateOldest();
  void DescendOnce(const called_row& called, std::size_t without_row, kind_vector& calls) const;
  double ResidualSquares(const called_row& called, const kind_vector& calls) const;
  void AttributeCalls(called_row& called) const;
  bool FailsOften(std::string_view row) const;
  bool CompletesDespiteFailures(std::size_t row, const called_row& called, double calls) const;
  double FittedCallsOf(std::size_t row, const called_row& called, double mean_residual) const;

  std::vector<std::string> rows_;
  std::vector<run_kind> kinds_;
  std::multiset<instant> starts_;
  // The newest window is last; the first one began at pending_from_.
  std::deque<window> pending_;
  instant pending_from_{};
  // Weighted number of evaluated windows.
  double windows_evaluated_ = 0.0;
  // Runs since the node started.
  double runs_started_ = 0.0;
  /** Runs of a row, weighted as the windows are. */
  struct outcome_counts {
    double finished = 0.0;
    double failed = 0.0;
  };
  std::vector<outcome_counts> outcomes_;
  // Sum over windows of the products of the runs of two kinds.
  std::vector<kind_vector> run_products_;
  std::map<std::string, called_row, std::less<>> called_;
};

}  // namespace cuminferry
