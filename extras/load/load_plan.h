#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_caller/cuminferry_caller.h"

namespace cuminferry::load {

/** One kind of whole request as callers send it. */
struct load_kind {
  /** Name of its row in the table. */
  std::string row;
  std::uint16_t weight = 0;
  std::string service;
  std::string method;
  /** "{n}" is replaced by a number below a thousand. */
  std::string path;
  bool idempotent = true;
  /** Part of all arrivals, in relation to the other kinds' shares. */
  double share = 1.0;
  /** Within this time from its arrival an answer is of use. */
  std::chrono::milliseconds deadline{2000};
  /** How long a caller waits for one attempt. */
  std::chrono::milliseconds patience{2000};
  std::uint32_t body_bytes = 64;
};

/** A stretch of time with one rate of arrivals. */
struct load_phase {
  std::string name;
  std::chrono::milliseconds length{1000};
  /** Whole requests a second, over all kinds; arrivals are a Poisson process. */
  double rate = 0.0;
};

/** What the callers do. */
struct load_plan {
  std::vector<load_kind> kinds;
  std::vector<load_phase> phases;
  retry_policy manners;
  std::uint64_t seed = 1;
  /** Most whole requests under way at once; further ones are counted as not sent. */
  std::size_t callers = 6000;
};

/** Callers that come back soon and often, whatever they are told. */
retry_policy HardManners();
/** Callers that come back when they are told to. */
retry_policy PoliteManners();

}  // namespace cuminferry::load
