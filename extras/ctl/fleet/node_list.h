#pragma once

#include <cxxopts.hpp>
#include <vector>

#include "ctl/command_line.h"
#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry::ctl {

/** Declares the options that select the nodes to query: --nodes, --from-settings,
    --timeout-ms. */
void DeclareNodeOptions(cxxopts::Options& options);

/** Appends the admin addresses that the options select, sorted and without duplicates. Unless
    it returns kDone, an error has been printed. */
exit_code ReadNodes(const cxxopts::ParseResult& parsed, streams output,
                    std::vector<endpoint>& into);

/** The value of --timeout-ms: the maximum wait for one node. */
std::chrono::milliseconds ReadTimeout(const cxxopts::ParseResult& parsed);

/** Parses an address argument; prints an error and returns false if it is invalid. */
bool ParseAddress(const std::string& text, streams output, endpoint& into);

/** Reads a whole file; prints an error and returns false on failure. */
bool ReadFile(const std::string& name, streams output, std::string& into);

}  // namespace cuminferry::ctl
