#pragma once

#include <string>

#include "trial/deployment_plan.h"

namespace cuminferry::trial {

/** Measures what two nodes add to a call: backend servers work for no time, and
    the time that one waits for its call of the bottleneck through its node and the
    callee's is compared with direct calls of the same backend servers.
    @param rate  whole requests a second, open loop
    @return the program's exit code */
int RunHopCost(const deployment_plan& plan, const std::string& programs, double rate);

}  // namespace cuminferry::trial
