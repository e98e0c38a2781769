#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::trial {

/** One line of a backend server's journal. */
struct journal_entry {
  std::string service;
  /** Name of the whole request, without the number of the attempt. */
  std::string request;
  std::uint32_t attempt = 0;
  /** Whether the line records that the work took effect; otherwise it records the outcome of a
      run. */
  bool is_effect = false;
  /** Whether the run completed. */
  bool is_done = false;
  /** Time that the run spent working. */
  duration busy{0};
  /** Time that the run spent waiting for its calls of other services. */
  duration waited{0};
};

/** The entries of one or more journals. */
struct journal_contents {
  std::vector<journal_entry> entries;
  /** Number of lines that could not be parsed, such as a line truncated by SIGKILL. */
  std::uint64_t unreadable_line_count = 0;
};

/** Appends the entries of one journal file to `journal`. */
void ReadJournal(const std::string& file, const std::string& service, journal_contents& journal);

}  // namespace cuminferry::trial
