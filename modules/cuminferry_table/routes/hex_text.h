#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cuminferry {

/** Hexadecimal, two digits a byte. */
std::string ToHexText(std::span<const unsigned char> bytes);

/** Reads what ToHexText() gives of as many bytes; false where the text is something else. */
bool ReadHexText(std::string_view text, std::span<unsigned char> into);

}  // namespace cuminferry
