#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace cuminferry::testing {

/** The text of a file of the repository. */
inline std::string ReadFile(const std::string& name) {
  std::ifstream file(std::string(CUMINFERRY_SOURCE_DIR "/") + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace cuminferry::testing
