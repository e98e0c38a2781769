#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminferry {

/** The parts of a request that identify it. They are equal at every node that receives the same
    request. */
struct request_parts {
  std::string_view method;
  std::string_view host;
  /** Includes the query string. */
  std::string_view path;
  /** Name of the customer whose key the request carries; empty where it carries no key. */
  std::string_view customer;
  /** At most the first kMaxDigestedBodyBytes of the body. @see request_digest */
  std::string_view body;
  /** Whether the body continues after `body`. */
  bool is_body_truncated = false;
};

/** Identifies a request by a cryptographic hash, so that a client can't craft another request
    with the same digest and get a stranger's request refused.

    The digest is the 128-bit BLAKE2b hash of all parts, each preceded by its length. Only the
    beginning of a longer body is hashed, so that nodes need not store such a body whole.
*/
class request_digest {
 public:
  static constexpr std::size_t kBytes = 16;
  /** Bytes of the body that are hashed. The value is below the amount that a node buffers of a
      body before it applies backpressure to the sender. */
  static constexpr std::size_t kMaxDigestedBodyBytes = 48 * 1024;

  static request_digest Of(const request_parts& parts);
  /** Parses the output of ToText(); returns nothing for any other text. */
  static std::optional<request_digest> Parse(std::string_view text);
  /** Returns the digest in hexadecimal. */
  std::string ToText() const;
  /** Returns the first 64 bits of the digest, as a seed for choices that must be the same at all
      nodes. */
  std::uint64_t first_64_bits() const;

  bool operator==(const request_digest&) const = default;
  auto operator<=>(const request_digest&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    for (unsigned char& byte : bytes_) {
      archive(byte);
    }
  }

 private:
  std::array<unsigned char, kBytes> bytes_{};
};

/** Returns a cheap non-cryptographic hash of a request's host, path and customer. Different
    requests may share it; request_digest distinguishes them. */
std::uint64_t RouteHashOf(const request_parts& parts);

}  // namespace cuminferry
