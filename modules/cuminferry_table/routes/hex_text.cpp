#include "cuminferry_table/routes/hex_text.h"

#include <sodium.h>

#include <cstddef>

namespace cuminferry {

std::string ToHexText(std::span<const unsigned char> bytes) {
  // One character more for the terminator that sodium_bin2hex() writes.
  std::string text(2 * bytes.size() + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

bool ReadHexText(std::string_view text, std::span<unsigned char> destination) {
  std::size_t bytes_read = 0;
  const int failed = sodium_hex2bin(destination.data(), destination.size(), text.data(),
                                    text.size(), nullptr, &bytes_read, nullptr);
  return failed == 0 && bytes_read == destination.size() && text.size() == 2 * destination.size();
}

}  // namespace cuminferry
