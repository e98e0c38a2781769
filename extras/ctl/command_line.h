#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::ctl {

/** What cuminferry-ctl ends with. Numbers never change their meaning. */
enum class exit_code : int {
  kDone = 0,             ///< done, and all is well
  kFoundProblems = 1,    ///< done, and what was looked at is not well
  kBadCommandLine = 2,   ///< options or arguments that the command does not take
  kFileUnreadable = 3,   ///< a named file cannot be read
  kNoNodeAnswered = 4,   ///< none of the nodes asked answered
  kSomeNodesSilent = 5,  ///< done with the nodes that answered; some did not
  kNodesDiffer = 6,      ///< all answered, and different tables are in force
};

/** Where a command writes: results to `out`, complaints to `err`. */
struct streams {
  std::ostream& out;
  std::ostream& err;
};

/** One command, such as "table check". */
struct command {
  /** As typed, words separated by one space. */
  std::string name;
  /** Positional arguments as the usage line shows them. */
  std::string arguments;
  std::string summary;
  /** Closes the help text. */
  std::string examples;
  std::function<void(cxxopts::Options&)> declare;
  std::function<exit_code(const cxxopts::ParseResult&, streams)> run;
};

/** All commands, as help lists them. */
std::span<const command> AllCommands();

/** Runs the program with the arguments after its name. */
exit_code RunCtl(std::span<const std::string> arguments, streams to);

/** Writes an error as one line with its number. */
void Complain(streams to, result_code code, const std::string& detail);

/** Most arguments a command takes; fewer or more than asked for is complained of. */
bool TakeArguments(const cxxopts::ParseResult& parsed, std::size_t count, streams to,
                   std::vector<std::string>& into);

}  // namespace cuminferry::ctl
