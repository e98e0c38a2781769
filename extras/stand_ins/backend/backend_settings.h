#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** A call of another service that a kind of request makes. */
struct call_out {
  std::string service;
  std::string method = "GET";
  std::string path;
};

/** How the service time of one request is drawn around its mean. */
enum class service_spread : std::uint8_t { kFixed, kUniform, kExponential };

/** One kind of request and what working on it takes. */
struct request_kind {
  std::string method;
  /** As a table row's path pattern. */
  std::string path;
  /** Mean of the time that this instance itself works; a sleep, not processor time. */
  duration service_time{0};
  service_spread spread = service_spread::kUniform;
  /** Calls made after half of the service time; the work has its effect when
      all have come back well. */
  std::vector<call_out> calls;
  bool calls_in_parallel = false;
  std::uint32_t answer_bytes = 256;
};

/** What /health says of this instance. */
enum class health_report : std::uint8_t { kHonest, kIdle, kFull, kFrozen };

struct backend_settings {
  std::string service;
  std::string instance;
  endpoint listen;
  /** Where its own node takes calls out; port 0: it makes none. */
  endpoint egress;
  std::uint32_t slots = 8;
  /** Requests that may wait for a slot; one more is shed with Cuminferry-Not-Run. */
  std::uint32_t queue = 32;
  std::uint32_t connections = 256;
  /** For this long after the start, work takes cold_factor times as long. */
  std::chrono::milliseconds cold{0};
  double cold_factor = 3.0;
  /** Whether it gives up at the deadline and when its caller is gone. */
  bool heeds_deadlines = true;
  health_report health = health_report::kHonest;
  std::uint64_t seed = 1;
  /** Most runs kept in the journal. */
  std::uint32_t journal_bound = 1'000'000;
  /** Each run is appended here too, so that it outlives a kill; empty: nowhere. */
  std::string journal_file;
  std::vector<request_kind> kinds;

  /** Reads JSON with comments. */
  static absl::StatusOr<backend_settings> Parse(std::string_view json);
  std::string ToJson() const;
};

/** "honest", "idle", "full", "frozen"; false for another name. */
bool ParseHealthReport(std::string_view name, health_report& into);

}  // namespace cuminferry::stand_ins
