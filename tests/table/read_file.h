#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace cuminferry::testing {

/** Returns the text of a file; the name is relative to the root of the repository. */
inline std::string ReadFile(const std::string& name) {
  std::ifstream file(std::string(CUMINFERRY_SOURCE_DIR "/") + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace cuminferry::testing
