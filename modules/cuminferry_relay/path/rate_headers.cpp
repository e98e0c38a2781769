#include "cuminferry_relay/path/rate_headers.h"

#include <spdlog/fmt/fmt.h>

#include <vector>

namespace cuminferry {
namespace {

// Encodes that no rate is known.
constexpr double kNoRate = -1.0;
constexpr std::size_t kRequestParts = 4;
constexpr std::size_t kReportParts = 4;

std::optional<duration> ParseAge(std::string_view text) {
  const auto micros = ParseInteger<duration::rep>(text);
  return micros && *micros >= 0 ? std::optional(duration(*micros)) : std::nullopt;
}

}  // namespace

std::string rate_request::ToText() const {
  const rate_belief told = declared.value_or(rate_belief{.rate = kNoRate});
  return fmt::format("{:.6f},{},{},{}", told.rate, told.age.count(), started_millis,
                     awaits_turn ? 1 : 0);
}

std::optional<rate_request> rate_request::Parse(std::string_view text) {
  const std::vector<std::string_view> parts = SplitText(text, ',');
  if (parts.size() < kRequestParts) {
    return std::nullopt;
  }
  const auto rate = ParseDecimalNumber(parts[0]);
  const auto age = ParseAge(parts[1]);
  const auto started = ParseInteger<std::int64_t>(parts[2]);
  if (!rate || !age || !started) {
    return std::nullopt;
  }
  rate_request request{
      .declared = std::nullopt, .started_millis = *started, .awaits_turn = parts[3] == "1"};
  if (*rate >= 0.0) {
    request.declared = rate_belief{.rate = *rate, .age = *age};
  }
  return request;
}

std::string ToText(const rate_report& report) {
  return fmt::format("{:.6f},{},{:.6f},{:.3f}", report.declared.rate, report.declared.age.count(),
                     report.caller_rate, report.use);
}

std::optional<rate_report> ParseRateReport(std::string_view text) {
  const std::vector<std::string_view> parts = SplitText(text, ',');
  if (parts.size() < kReportParts) {
    return std::nullopt;
  }
  const auto rate = ParseDecimalNumber(parts[0]);
  const auto age = ParseAge(parts[1]);
  const auto caller_rate = ParseDecimalNumber(parts[2]);
  const auto use = ParseDecimalNumber(parts[3]);
  if (!rate || *rate < 0.0 || !age || !caller_rate || *caller_rate < 0.0 || !use) {
    return std::nullopt;
  }
  return rate_report{
      .declared = {.rate = *rate, .age = *age}, .caller_rate = *caller_rate, .use = *use};
}

}  // namespace cuminferry
