#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cuminferry {

/** The digest that nodes store in place of a customer's key. A node can check a key against the
    digest, but no replica, message, log or memory dump of a node discloses a usable key.

    The digest is BLAKE2b of the key, 128 bits. Random keys can't be computed from their digests; a
    key that a person made up could be guessed.
*/
class key_digest {
 public:
  static constexpr std::size_t kBytes = 16;

  static key_digest Of(std::string_view key);
  /** Parses the form that ToText() returns; returns nothing for any other text. */
  static std::optional<key_digest> Parse(std::string_view text);
  /** Returns the digest as hexadecimal text. */
  std::string ToText() const;

  bool operator==(const key_digest&) const = default;
  auto operator<=>(const key_digest&) const = default;

  template <typename Hash>
  friend Hash AbslHashValue(Hash hash, const key_digest& digest) {
    return Hash::combine(std::move(hash), digest.bytes_);
  }

 private:
  std::array<unsigned char, kBytes> bytes_{};
};

}  // namespace cuminferry
