#pragma once

#include <string>
#include <vector>

namespace cuminferry::testing {

/** What a scenario file found. */
struct scenario_result {
  /** Expectations that did not hold; the error, where the script has one. */
  std::vector<std::string> failures;
  /** "what: value" lines, as note() gave them. */
  std::vector<std::string> notes;
};

/** Runs one scenario file: Lua with the verbs of scenario_script.cpp over a scenario_world.
    @param control which control the nodes run; empty: "full" */
scenario_result RunScenario(const std::string& file, const std::string& control,
                            std::uint64_t seed);

}  // namespace cuminferry::testing
