#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry::stand_ins {

/** Query parameter with the name of a request: "?request=<name>". */
inline constexpr char kRequestParameter[] = "request";

/** An answer that a caller can check for completeness and match with its request. The first
    line has the size and the digest of the rest, which is the request's name on its own line
    and `bytes` bytes of filler. */
inline std::string MakeAnswerText(std::string_view request, std::size_t bytes) {
  std::string filler(bytes, 'a');
  for (std::size_t at = 0; at < filler.size(); ++at) {
    filler[at] = static_cast<char>('a' + (at + request.size()) % 26);
  }
  const std::string content = std::string(request) + "\n" + filler;
  return std::to_string(content.size()) + " " + std::to_string(DigestOf(content)) + "\n" + content;
}

/** The name of the request that a text answers; empty if the text is not a complete
    answer. */
inline std::string_view RequestNameOfAnswer(std::string_view text) {
  const std::size_t line = text.find('\n');
  if (line == std::string_view::npos) {
    return {};
  }
  const std::string_view content = text.substr(line + 1);
  const std::string head = std::to_string(content.size()) + " " + std::to_string(DigestOf(content));
  const std::size_t name_end = content.find('\n');
  if (text.substr(0, line) != head || name_end == std::string_view::npos) {
    return {};
  }
  return content.substr(0, name_end);
}

}  // namespace cuminferry::stand_ins
