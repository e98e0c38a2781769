#pragma once

#include <string>
#include <vector>

namespace cuminferry::testing {

/** The outcome of a scenario file. */
struct scenario_result {
  /** Texts of the expectations that did not hold, or the error message if the script failed. */
  std::vector<std::string> failures;
  /** Lines of the form "what: value", one for each note() of the script. */
  std::vector<std::string> notes;
};

/** Runs one scenario file: a Lua script that calls the functions of scenario_script.cpp on a
    scenario_world.
    @param control the control mode of the nodes; empty means "full" */
scenario_result RunScenario(const std::string& file, const std::string& control,
                            std::uint64_t seed);

}  // namespace cuminferry::testing
