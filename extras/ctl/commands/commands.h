#pragma once

#include <vector>

#include "ctl/command_line.h"

namespace cuminferry::ctl {

std::vector<command> TableCommands();
command StatusCommand();
command TimelineCommand();
command DrainCommand();
std::vector<command> TicketCommands();
command ExplainCommand();
command CompletionCommand();

}  // namespace cuminferry::ctl
