#pragma once

#include <cxxopts.hpp>
#include <functional>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::ctl {

/** Exit codes of cuminferry-ctl. The meaning of a number never changes. */
enum class exit_code : int {
  kDone = 0,             ///< done, no problems found
  kFoundProblems = 1,    ///< done, problems found
  kBadCommandLine = 2,   ///< invalid options or arguments
  kFileUnreadable = 3,   ///< a named file cannot be read
  kNoNodeAnswered = 4,   ///< none of the queried nodes answered
  kSomeNodesSilent = 5,  ///< done for the nodes that answered; some did not
  kNodesDiffer = 6,      ///< all nodes answered, and their tables in force differ
};

/** Output streams of a command: results go to `out`, errors to `err`. */
struct streams {
  std::ostream& out;
  std::ostream& err;
};

/** One command, such as "table check". */
struct command {
  /** As typed; words are separated by one space. */
  std::string name;
  /** Positional arguments as the usage line shows them. */
  std::string arguments;
  std::string summary;
  /** Printed at the end of the help text. */
  std::string examples;
  std::function<void(cxxopts::Options&)> declare;
  std::function<exit_code(const cxxopts::ParseResult&, streams)> run;
};

/** All commands, as help lists them. */
std::span<const command> AllCommands();

/** Runs the program with the arguments after its name. */
exit_code RunCtl(std::span<const std::string> arguments, streams output);

/** Prints an error with its code as one line on the error stream. */
void PrintError(streams output, result_code code, const std::string& detail);

/** Reads the positional arguments. Prints an error and returns false unless there are exactly
    `count` of them. */
bool ReadArguments(const cxxopts::ParseResult& parsed, std::size_t count, streams output,
                   std::vector<std::string>& into);

}  // namespace cuminferry::ctl
