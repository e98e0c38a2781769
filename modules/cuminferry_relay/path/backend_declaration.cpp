#include "cuminferry_relay/path/backend_declaration.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {
namespace {

// Longer texts hold no rate that anybody means, and the log is to stay readable.
constexpr std::size_t kMaxRateLength = 32;
constexpr std::string_view kIsLeaving = "1";

std::optional<double> ParseRate(std::string_view text) {
  double rate = 0.0;
  const char* end = text.data() + text.size();
  const auto [read_to, failure] = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  const bool is_number = failure == std::errc() && read_to == end && std::isfinite(rate);
  return is_number && rate >= 0.0 ? std::optional(rate) : std::nullopt;
}

}  // namespace

backend_declaration backend_declaration::ReadFrom(const http_head& answer,
                                                  const relay_header_names& names) {
  backend_declaration found;
  const std::vector<std::string_view> leaving = answer.FindAll(names.leaving);
  found.leaving = std::ranges::any_of(
      leaving, [](std::string_view value) { return TrimBlanks(value) == kIsLeaving; });
  const std::vector<std::string_view> rates = answer.FindAll(names.rate);
  if (rates.empty()) {
    return found;
  }
  const std::string_view text = TrimBlanks(rates.front());
  if (rates.size() == 1 && text.size() <= kMaxRateLength) {
    found.rate = ParseRate(text);
  }
  if (!found.rate) {
    found.error = MakeStatus(result_code::kBadAnswerHeader,
                             names.rate + ": " + std::string(text.substr(0, kMaxRateLength)));
  }
  return found;
}

}  // namespace cuminferry
