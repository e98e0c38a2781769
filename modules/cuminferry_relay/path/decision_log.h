#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_relay/io/event_loop.h"

namespace cuminferry {

/** A figure as a line shows it: thousandths are enough, and short. */
double ForLog(double figure);

/** Structured lines on standard output, one JSON object each.

    Never blocks the caller: lines are gathered and handed to a writer thread a
    few times a second, through a bounded queue whose oldest entries give way
    when standard output stands still. Lines over the rate are counted and the
    count is told in a line of its own.
*/
class decision_log {
 public:
  /** Lines a second at most for requests that went well. They are samples: a
      node sees some hundred a second. */
  static constexpr double kOrdinaryPerSecond = 50.0;
  /** And for those that were refused, failed, late or tried again: what someone
      will ask about. */
  static constexpr double kNotablePerSecond = 300.0;
  static constexpr duration kFlushPeriod = std::chrono::milliseconds(200);
  /** Batches that wait for the writer: 2 MB at most. */
  static constexpr std::size_t kQueuedBatches = 128;

  decision_log(event_loop& loop, std::string instance);
  ~decision_log();
  decision_log(const decision_log&) = delete;
  decision_log& operator=(const decision_log&) = delete;

  /** Whether a line on a request may be written now. Counts it as left out if
      not; asked first, so that a line left out costs nothing else. */
  bool Wants(bool notable);
  /** A decision on one request, after Wants(). */
  void OnRequest(std::string_view event, nlohmann::ordered_json detail);
  /** A change of what this process does or believes; never left out. */
  void OnChange(std::string_view event, nlohmann::ordered_json detail);
  /** Hands over what was gathered. */
  void Flush();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace cuminferry
