#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cuminferry {

/** What makes one request the same as another, whichever node it comes to. */
struct request_parts {
  std::string_view method;
  std::string_view host;
  /** With its query. */
  std::string_view path;
  /** Name of the customer whose key it carries; empty where it carries none. */
  std::string_view customer;
  /** The first kBodyBytes of it at most. @see request_digest */
  std::string_view body;
  /** The body has more than that. */
  bool is_longer = false;
};

/** Stands for a request: the same for the same one, and nobody can make another request that
    has it, which would let them have a stranger's request refused.

    BLAKE2b of all parts with their lengths, 128 bits. A longer body is known by its beginning,
    so that it need not be kept whole.
*/
class request_digest {
 public:
  static constexpr std::size_t kBytes = 16;
  /** Below what a node takes of a body before it makes its sender wait. */
  static constexpr std::size_t kBodyBytes = 48 * 1024;

  static request_digest Of(const request_parts& parts);
  /** Reads ToText(); nothing where the text is something else. */
  static std::optional<request_digest> Parse(std::string_view text);
  /** Hexadecimal. */
  std::string ToText() const;
  /** For choices that all nodes make alike. */
  std::uint64_t number() const;

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

/** Where a request goes and whose it is, without its body. Cheap, and no more than a hint:
    requests of the same place may be told apart by request_digest. */
std::uint64_t PlaceOf(const request_parts& parts);

}  // namespace cuminferry
