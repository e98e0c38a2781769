#include "cuminferry_table/routes/hex_text.h"

#include <sodium.h>

#include <cstddef>

namespace cuminferry {

std::string ToHexText(std::span<const unsigned char> bytes) {
  // With the terminator that the library writes.
  std::string text(2 * bytes.size() + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

bool ReadHexText(std::string_view text, std::span<unsigned char> into) {
  std::size_t read = 0;
  const int failed =
      sodium_hex2bin(into.data(), into.size(), text.data(), text.size(), nullptr, &read, nullptr);
  return failed == 0 && read == into.size() && text.size() == 2 * into.size();
}

}  // namespace cuminferry
