#pragma once

#include <cstdint>
#include <string>

#include "claims/claim_fault.h"

namespace cuminferry::testing {

/** What a run of schedules saw, to show that it reached what it is about. */
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

/** Plays one random schedule of callers, two sending nodes and two homes over a
    network that loses, doubles, delays and reorders, with pauses, crashes and
    restarts, until nothing is in flight, then delivers every call again.

    Returns what was violated; empty: nothing.
*/
std::string PlayClaimSchedule(std::uint64_t seed, claim_fault fault, schedule_counts& counts);

}  // namespace cuminferry::testing
