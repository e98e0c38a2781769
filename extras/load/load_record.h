#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::load {

/** Outcome of a request, or of one attempt, as its caller sees it. */
enum class load_outcome : std::uint8_t {
  kSucceeded,      ///< a complete answer to this request
  kFailed,         ///< an error answer of a backend server
  kNotRun,         ///< reported as not run
  kUnknown,        ///< reported as possibly run, or no answer
  kInvalidAnswer,  ///< an incomplete answer, or the answer to another request
};

/** One attempt of a request. */
struct attempt_record {
  duration sent{0};
  duration ended{0};
  load_outcome outcome = load_outcome::kUnknown;
  result_code code = result_code::kOk;
};

/** One request with all its attempts. Times count from the start of the load. */
struct request_record {
  std::uint64_t number = 0;
  std::size_t kind = 0;
  std::size_t phase = 0;
  duration arrived{0};
  duration ended{0};
  load_outcome outcome = load_outcome::kUnknown;
  std::vector<attempt_record> attempts;

  /** Name of the request. The journals of backend servers have it with ".<attempt>" appended. */
  std::string name() const { return "w" + std::to_string(number); }
  duration latency() const { return ended - arrived; }
};

/** Results of one load run. */
struct load_result {
  std::vector<request_record> requests;
  /** Start time of each phase, followed by the end of the last phase. */
  std::vector<duration> phase_starts;
  /** Arrivals for which no caller was free: the load generator was the bottleneck. */
  std::uint64_t not_sent = 0;
  /** Maximum time between an arrival and the start of its processing by a caller thread. */
  duration max_start_delay{0};
};

}  // namespace cuminferry::load
