#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cuminferry {

/** Returns bytes as hexadecimal text, two digits for each byte. */
std::string ToHexText(std::span<const unsigned char> bytes);

/** Parses the text that ToHexText() returns for as many bytes as `destination` has. Returns false
    for any other text. */
bool ReadHexText(std::string_view text, std::span<unsigned char> destination);

}  // namespace cuminferry
