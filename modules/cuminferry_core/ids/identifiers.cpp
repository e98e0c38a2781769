#include "cuminferry_core/ids/identifiers.h"

#include <arpa/inet.h>

#include <array>
#include <cstdio>

namespace cuminferry {

std::string endpoint::ToString() const {
  in_addr raw{};
  raw.s_addr = htonl(address);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &raw, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(port);
}

bool endpoint::Parse(const std::string& text, endpoint& parsed) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || text.size() - colon > 6 || colon + 1 == text.size()) {
    return false;
  }
  std::uint32_t port = 0;
  for (std::size_t at = colon + 1; at < text.size(); ++at) {
    if (text[at] < '0' || text[at] > '9') {
      return false;
    }
    port = port * 10 + static_cast<std::uint32_t>(text[at] - '0');
  }
  in_addr raw{};
  if (port > 0xFFFF || inet_pton(AF_INET, text.substr(0, colon).c_str(), &raw) != 1) {
    return false;
  }
  parsed = {ntohl(raw.s_addr), static_cast<std::uint16_t>(port)};
  return true;
}

std::string ToString(const request_id& id) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(id.high), static_cast<unsigned long long>(id.low));
  return text.data();
}

}  // namespace cuminferry
