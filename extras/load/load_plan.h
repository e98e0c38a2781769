#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_caller/cuminferry_caller.h"

namespace cuminferry::load {

/** One kind of request as callers send it. */
struct load_kind {
  /** Name of its row in the table. */
  std::string row;
  std::uint16_t weight = 0;
  std::string service;
  std::string method;
  /** "{n}" is replaced by a random number below 1000. */
  std::string path;
  bool idempotent = true;
  /** Share of all arrivals, relative to the shares of the other kinds. */
  double arrival_share = 1.0;
  /** An answer counts as in time if it comes within this time after the arrival. */
  std::chrono::milliseconds deadline{2000};
  /** The caller's timeout for one attempt. */
  std::chrono::milliseconds attempt_timeout{2000};
  std::uint32_t body_bytes = 64;
};

/** A period with a constant arrival rate. */
struct load_phase {
  std::string name;
  std::chrono::milliseconds length{1000};
  /** Requests per second over all kinds, retries not counted; arrivals are a Poisson process. */
  double rate = 0.0;
};

/** The load that callers generate. */
struct load_plan {
  std::vector<load_kind> kinds;
  std::vector<load_phase> phases;
  retry_policy retries;
  std::uint64_t seed = 1;
  /** Maximum number of requests in progress; further ones are counted as not sent. */
  std::size_t max_concurrent_requests = 6000;
};

/** Up to 4 attempts with backoffs of 100 to 200 ms, without regard to Retry-After. */
retry_policy AggressiveRetryPolicy();
/** Up to 3 attempts, at the time that Retry-After gives. */
retry_policy CooperativeRetryPolicy();

}  // namespace cuminferry::load
