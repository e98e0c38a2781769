#pragma once

#include <string>

#include "trial/deployment_plan.h"

namespace cuminferry::trial {

/** Starts a small deployment, files a permit, reads a map, edits the table, and explains each
    step on standard output.
    @param program_folder  build folder that contains the programs to start
    @return                the program's exit code */
int RunDemo(const deployment_plan& plan, const std::string& program_folder);

}  // namespace cuminferry::trial
