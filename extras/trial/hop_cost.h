#pragma once

#include <string>

#include "trial/deployment_plan.h"

namespace cuminferry::trial {

/** Measures the latency that two nodes add to a call. All service times are set to zero. The
    latency of calls of the bottleneck through the calling node and the target's node is compared
    with that of direct requests to the same backend servers.
    @param program_folder  build folder that contains the programs to start
    @param rate            whole requests per second, open loop
    @return the program's exit code */
int RunHopCost(const deployment_plan& plan, const std::string& program_folder, double rate);

}  // namespace cuminferry::trial
