#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::trial {

/** One line of a backend server's journal. */
struct journal_entry {
  std::string service;
  /** Name of the whole request, without its attempt. */
  std::string request;
  std::uint32_t attempt = 0;
  /** The work took effect; otherwise: the run has ended. */
  bool is_effect = false;
  bool is_done = false;
  duration busy{0};
  duration waited{0};
};

/** The entries of the journals of a deployment. */
struct journal_text {
  std::vector<journal_entry> entries;
  /** Lines that could not be read, such as one that a kill cut short. */
  std::uint64_t unreadable = 0;
};

/** Adds the entries of one file. */
void ReadJournal(const std::string& file, const std::string& service, journal_text& into);

}  // namespace cuminferry::trial
