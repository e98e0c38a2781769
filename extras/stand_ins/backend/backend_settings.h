#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** A call to another service that is made for each request of a kind. */
struct outgoing_call {
  std::string service;
  std::string method = "GET";
  std::string path;
};

/** Distribution of the service time of one request around its mean. */
enum class service_time_distribution : std::uint8_t { kFixed, kUniform, kExponential };

/** One kind of request and the work that it causes. */
struct request_kind {
  std::string method;
  /** Path pattern, in the syntax of table rows. */
  std::string path;
  /** Mean time of this instance's own work; it sleeps and uses no processor time. */
  duration service_time{0};
  service_time_distribution distribution = service_time_distribution::kUniform;
  /** Calls made after half of the service time; the request takes effect only if all
      of them succeed. */
  std::vector<outgoing_call> calls;
  bool calls_in_parallel = false;
  std::uint32_t answer_bytes = 256;
};

/** Load that /health reports: the true load, 0, 1, or the last true value. */
enum class health_report : std::uint8_t { kHonest, kIdle, kFull, kFrozen };

struct backend_settings {
  std::string service;
  std::string instance;
  endpoint listen;
  /** Address at which its own node accepts outgoing calls; port 0: no calls are made. */
  endpoint egress;
  std::uint32_t slots = 8;
  /** Maximum number of requests that wait for a slot; further ones are shed with
      Cuminferry-Not-Run. */
  std::uint32_t max_queued_requests = 32;
  std::uint32_t max_connections = 256;
  /** Warm-up time after the start, in which work takes warm_up_factor times as long. */
  std::chrono::milliseconds warm_up_time{0};
  double warm_up_factor = 3.0;
  /** Whether work stops at the deadline and when the caller closes the connection. */
  bool honors_deadlines = true;
  health_report health = health_report::kHonest;
  std::uint64_t seed = 1;
  /** Maximum number of lines in the in-memory journal. */
  std::uint32_t max_journal_lines = 1'000'000;
  /** File to which each run is appended as well, so that it survives a kill; empty: none. */
  std::string journal_file;
  std::vector<request_kind> kinds;

  /** Parses JSON with comments. */
  static absl::StatusOr<backend_settings> Parse(std::string_view json);
  std::string ToJson() const;
};

/** Parses "honest", "idle", "full" or "frozen"; false for any other name. */
bool ParseHealthReport(std::string_view name, health_report& into);

}  // namespace cuminferry::stand_ins
