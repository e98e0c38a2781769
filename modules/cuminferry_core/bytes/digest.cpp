#include "cuminferry_core/bytes/digest.h"

#include <xxhash.h>

namespace cuminferry {

std::uint64_t DigestOf(std::span<const std::byte> bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t DigestOf(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace cuminferry
