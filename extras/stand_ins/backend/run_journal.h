#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** Outcome of one run in a backend server. */
enum class run_outcome : std::uint8_t {
  kDone,        ///< it took effect and was answered
  kCallFailed,  ///< an outgoing call failed; the run had no effect
  kCancelled,   ///< its caller closed the connection first; the run had no effect
  kExpired,     ///< its deadline passed first; the run had no effect
  kUnanswered,  ///< it took effect, and its caller had closed the connection by then
};

/** One run of a request that occupied a slot. */
struct run_record {
  /** The request's name, as the load generator chose it. */
  std::string request;
  std::string method;
  std::string path;
  run_outcome outcome = run_outcome::kDone;
  /** Time of the instance's own work, without its outgoing calls. */
  duration busy{0};
  /** Time spent waiting for outgoing calls. */
  duration waited{0};

  /** Whether the work took effect, for example filed a permit or charged a deposit. */
  bool had_effect() const {
    return outcome == run_outcome::kDone || outcome == run_outcome::kUnanswered;
  }
};

/** The runs of one backend server, stored in memory up to a maximum number of lines. If a
    file is named, each line is also appended to it with one write. */
class run_journal {
 public:
  run_journal(std::size_t max_lines, const std::string& file);
  ~run_journal();
  run_journal(const run_journal&) = delete;
  run_journal& operator=(const run_journal&) = delete;

  /** Records that a run takes effect; must be called before the run is answered. */
  void AddEffect(const run_record& run);
  /** Records the outcome of a run. */
  void AddOutcome(const run_record& run);

  /** One JSON object per line; its field "what" is "effect" or "end". If lines were dropped,
      a last line has "dropped" and their count. */
  std::string Text() const;
  /** Removes all runs from memory; the file is not changed. */
  void Clear();

 private:
  void Add(std::string line);

  const std::size_t max_lines_;
  const int file_;
  mutable std::mutex mutex_;
  std::deque<std::string> lines_;
  std::uint64_t dropped_ = 0;
};

}  // namespace cuminferry::stand_ins
