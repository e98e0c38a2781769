#include "cuminferry_policy/claims/ticket_text.h"

#include <array>
#include <cassert>
#include <charconv>
#include <cstdio>

namespace cuminferry {
namespace {

/** Reads fixed-width hexadecimal numbers from the front of a text. */
class hex_reader {
 public:
  explicit hex_reader(std::string_view text) : rest_(text) {}

  template <typename Number>
  bool Take(Number& result) {
    constexpr std::size_t kDigits = 2 * sizeof(Number);
    const std::string_view digits = rest_.substr(0, kDigits);
    if (digits.size() != kDigits ||
        digits.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
      return false;
    }
    rest_.remove_prefix(kDigits);
    return std::from_chars(digits.begin(), digits.end(), result, 16).ec == std::errc();
  }

  bool Skip(char separator) {
    if (!rest_.starts_with(separator)) {
      return false;
    }
    rest_.remove_prefix(1);
    return true;
  }

  bool at_end() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

}  // namespace

std::string ticket_text::Write(const claim_ticket& ticket) {
  std::array<char, kLength + 1> text{};
  const int length =
      std::snprintf(text.data(), text.size(), "%08x-%04x.%016llx.%08x.%016llx%016llx",
                    ticket.home.address, static_cast<unsigned>(ticket.home.port),
                    static_cast<unsigned long long>(ticket.id.incarnation), ticket.id.window,
                    static_cast<unsigned long long>(ticket.id.nonce_high),
                    static_cast<unsigned long long>(ticket.id.nonce_low));
  assert(length == static_cast<int>(kLength));
  return std::string(text.data(), static_cast<std::size_t>(length));
}

bool ticket_text::Read(std::string_view text, claim_ticket& result) {
  claim_ticket parsed;
  hex_reader reader(text);
  const bool complete =
      reader.Take(parsed.home.address) && reader.Skip('-') && reader.Take(parsed.home.port) &&
      reader.Skip('.') && reader.Take(parsed.id.incarnation) && reader.Skip('.') &&
      reader.Take(parsed.id.window) && reader.Skip('.') && reader.Take(parsed.id.nonce_high) &&
      reader.Take(parsed.id.nonce_low) && reader.at_end();
  // No instance has incarnation 0 or window 0; in messages, incarnation 0 means "no ticket".
  if (!complete || parsed.id.incarnation == 0 || parsed.id.window == 0) {
    return false;
  }
  result = parsed;
  return true;
}

}  // namespace cuminferry
