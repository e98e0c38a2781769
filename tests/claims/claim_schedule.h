#pragma once

#include <cstdint>
#include <string>

#include "claims/claim_fault.h"

namespace cuminferry::testing {

/** Event counts of a series of schedules; they show which cases the schedules covered. */
struct schedule_counts {
  std::uint64_t schedules = 0;
  std::uint64_t calls = 0;
  std::uint64_t completed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t runs = 0;
  std::uint64_t messages = 0;
  std::uint64_t lost = 0;
  std::uint64_t doubled = 0;
  std::uint64_t restarts = 0;
  std::uint64_t pauses = 0;
  std::uint64_t retries = 0;
  std::uint64_t rebinds = 0;

  void Add(const schedule_counts& other);
  std::string ToString() const;
};

/** Runs one random schedule of callers, two sending nodes and two home instances. The network
    loses, duplicates, delays and reorders messages; processes pause, crash and restart. When no
    message is in flight any more, every call is delivered again.

    Returns a description of the first violation found; empty if there is none.
*/
std::string PlayClaimSchedule(std::uint64_t seed, claim_fault fault, schedule_counts& counts);

}  // namespace cuminferry::testing
