#pragma once

#include <cxxopts.hpp>
#include <vector>

#include "ctl/command_line.h"
#include "cuminferry_fleet/cuminferry_fleet.h"

namespace cuminferry::ctl {

/** The options with which a command is told whom to ask: --nodes,
    --from-settings, --timeout-ms. */
void DeclareNodeOptions(cxxopts::Options& options);

/** The admin addresses that the options name. Anything but kDone was complained of. */
exit_code NodesFrom(const cxxopts::ParseResult& parsed, streams to, std::vector<endpoint>& into);

/** --timeout-ms */
std::chrono::milliseconds LongestWait(const cxxopts::ParseResult& parsed);

/** An address argument; false where it was complained of. */
bool ParseAddress(const std::string& text, streams to, endpoint& into);

/** A whole file; false where it was complained of. */
bool ReadFile(const std::string& name, streams to, std::string& into);

}  // namespace cuminferry::ctl
