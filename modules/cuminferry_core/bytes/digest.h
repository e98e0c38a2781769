#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cuminferry {

/** Returns the 64-bit XXH3 digest. It detects damage but does not protect against forgery. */
std::uint64_t DigestOf(std::span<const std::byte> bytes);
std::uint64_t DigestOf(std::string_view text);

}  // namespace cuminferry
