#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cuminferry {

/** XXH3, 64 bits: finds damage, not forgery. */
std::uint64_t DigestOf(std::span<const std::byte> bytes);
std::uint64_t DigestOf(std::string_view text);

}  // namespace cuminferry
