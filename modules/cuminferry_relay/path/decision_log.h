#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_relay/io/event_loop.h"

namespace cuminferry {

/** Rounds a figure to thousandths, which are precise enough for a log line and keep it short. */
double RoundForLog(double figure);

/** Structured log on standard output, one JSON object per line.

    Never blocks the caller: lines are batched and passed to a writer thread a few times a second,
    through a bounded queue that drops its oldest batches while standard output is blocked. Lines
    that exceed the maximum rate are suppressed; a separate line reports their number.
*/
class decision_log {
 public:
  /** Maximum rate of lines on requests that completed normally. These lines are a sample: a
      node handles some hundred requests a second. */
  static constexpr double kMaxOrdinaryLinesPerSecond = 50.0;
  /** Maximum rate of lines on requests that were refused, failed, late or sent to more than
      one target. This rate is higher, because operators inspect these requests. */
  static constexpr double kMaxNotableLinesPerSecond = 300.0;
  /** Maximum rate of lines on requests that may run only once and were sent again, or refused after
      they had been sent. Without them a breach of that promise can't be traced, so they have a rate
      of their own, above what one backend server is sent. */
  static constexpr double kMaxEvidenceLinesPerSecond = 1'000.0;
  static constexpr duration kFlushPeriod = std::chrono::milliseconds(200);
  /** Maximum number of batches that wait for the writer: 2 MB. */
  static constexpr std::size_t kMaxQueuedBatches = 128;

  decision_log(event_loop& loop, std::string instance);
  ~decision_log();
  decision_log(const decision_log&) = delete;
  decision_log& operator=(const decision_log&) = delete;

  /** The maximum rate that a line counts against. */
  enum class line_kind : std::uint8_t { kOrdinary, kNotable, kEvidence };

  /** Reserves a line on a request; false if the maximum rate is exceeded, and the line is then
      counted as suppressed. Called before the line is composed, so that a suppressed line costs
      nothing else. */
  bool TryReserveLine(line_kind kind);
  /** Writes a line on one request. Call this only after TryReserveLine() returned true. */
  void LogRequest(std::string_view event, nlohmann::ordered_json detail);
  /** Writes a line on a change of this process's state; such lines are never suppressed. */
  void LogChange(std::string_view event, nlohmann::ordered_json detail);
  /** Passes the current batch to the writer. */
  void Flush();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
