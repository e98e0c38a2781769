#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::load {

/** How a whole request, or one attempt of it, ended for its caller. */
enum class end_kind : std::uint8_t {
  kWell,     ///< the whole answer, and the caller's own
  kFailed,   ///< an answer, but an error of a backend server
  kNotRun,   ///< told that it was not run
  kUnknown,  ///< told that it may have run, or told nothing
  kForeign,  ///< an answer that is partial or another caller's
};

/** One attempt of a whole request. */
struct attempt_record {
  duration sent{0};
  duration ended{0};
  end_kind end = end_kind::kUnknown;
  result_code code = result_code::kOk;
};

/** One whole request. Times count from the start of the load. */
struct request_record {
  std::uint64_t number = 0;
  std::size_t kind = 0;
  std::size_t phase = 0;
  duration arrived{0};
  duration ended{0};
  end_kind end = end_kind::kUnknown;
  std::vector<attempt_record> attempts;

  /** Its name in the journals of backend servers is this and ".<attempt>". */
  std::string name() const { return "w" + std::to_string(number); }
  duration latency() const { return ended - arrived; }
};

/** All that a load has shown. */
struct load_result {
  std::vector<request_record> requests;
  /** When each phase began; one more for the end of the last. */
  std::vector<duration> phase_starts;
  /** Arrivals for which no caller was free: the load tool was the bottleneck. */
  std::uint64_t not_sent = 0;
  /** Longest time between an arrival and its first attempt. */
  duration worst_lag{0};
};

}  // namespace cuminferry::load
