#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** How one run in a backend server ended. */
enum class run_end : std::uint8_t {
  kDone,        ///< it had its effect and was answered
  kCallFailed,  ///< a call out failed; it had no effect
  kCancelled,   ///< its caller went away first; it had no effect
  kExpired,     ///< its deadline passed first; it had no effect
  kUnanswered,  ///< it had its effect, and its caller was gone by then
};

/** One run that took a slot. */
struct run_record {
  /** The whole request's name, as the load tool chose it. */
  std::string request;
  std::string method;
  std::string path;
  run_end end = run_end::kDone;
  /** Time that the instance itself worked on it, its calls out left out. */
  duration busy{0};
  /** Time that it waited for its calls out. */
  duration waited{0};

  /** Whether the work took effect: a permit filed, a deposit charged. */
  bool had_effect() const { return end == run_end::kDone || end == run_end::kUnanswered; }
};

/** The runs of one backend server, kept in memory up to a bound and, where a
    file is named, appended to it with one write each. */
class run_journal {
 public:
  run_journal(std::size_t bound, const std::string& file);
  ~run_journal();
  run_journal(const run_journal&) = delete;
  run_journal& operator=(const run_journal&) = delete;

  /** A run takes effect now; written before anything is answered. */
  void AddEffect(const run_record& run);
  /** A run has ended. */
  void AddEnd(const run_record& run);

  /** One JSON object a line: what = "effect" or "end". */
  std::string Text() const;
  /** Forgets all runs. */
  void Clear();

 private:
  void Add(std::string line);

  const std::size_t bound_;
  const int file_;
  mutable std::mutex mutex_;
  std::deque<std::string> lines_;
  std::uint64_t dropped_ = 0;
};

}  // namespace cuminferry::stand_ins
