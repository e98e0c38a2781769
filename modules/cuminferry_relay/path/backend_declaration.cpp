#include "cuminferry_relay/path/backend_declaration.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {
namespace {

// Longer texts hold no rate that anybody means, and the log is to stay readable.
constexpr std::size_t kMaxRateLength = 32;
constexpr std::string_view kIsLeaving = "1";

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
    found.rate = ParseDecimalNumber(text);
  }
  if (!found.rate || *found.rate < 0.0) {
    found.rate.reset();
    found.error = MakeStatus(result_code::kBadAnswerHeader,
                             names.rate + ": " + std::string(text.substr(0, kMaxRateLength)));
  }
  return found;
}

}  // namespace cuminferry
